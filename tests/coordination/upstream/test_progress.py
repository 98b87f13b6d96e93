from __future__ import annotations

import pytest

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.upstream.progress import MAX_STALL_S, ProgressTracker
from hyssoprill.ports.upstream import RunListing
from hyssoprill.protocol.upstream_messages import RunReport


@pytest.mark.parametrize(("percent", "is_stalled"), [(40, True), (100, False)])
def test_run_that_stands_still_has_stalled_unless_it_is_wholly_at_work(
    percent, is_stalled
):
    now_s = [100.0]
    with simulated_time(lambda: now_s[0]):
        watch = ProgressTracker()
        listing = RunListing(0, (RunReport("t", 1, "", percent),), ())
        watch.update(listing)
        now_s[0] += MAX_STALL_S + 0.1
        assert watch.update(listing) == is_stalled
        assert bool(watch.stalled_runs()) == is_stalled
