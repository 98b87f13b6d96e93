"""Tests of the detection of stalled runs."""

from __future__ import annotations

import pytest

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.upstream.progress import (
    MAX_STALL_TIMEOUT_S,
    ProgressTracker,
)
from hyssoprill.ports.upstream import RunListing
from hyssoprill.protocol.upstream_messages import RunReport


@pytest.mark.parametrize(("percent", "is_stalled"), [(40, True), (100, False)])
def test_run_without_progress_is_stalled_unless_it_reports_100_percent(
    percent, is_stalled
):
    now_s = [100.0]
    with simulated_time(lambda: now_s[0]):
        tracker = ProgressTracker()
        listing = RunListing(0, (RunReport("t", 1, "", percent),), ())
        tracker.update(listing)
        now_s[0] += MAX_STALL_TIMEOUT_S + 0.1
        assert tracker.update(listing) == is_stalled
        assert bool(tracker.stalled_runs()) == is_stalled


def test_run_is_not_stalled_while_its_upstream_sends_no_listing():
    now_s = [100.0]
    with simulated_time(lambda: now_s[0]):
        tracker = ProgressTracker()
        tracker.update(RunListing(0, (RunReport("t", 1, "", 40),), ()))
        now_s[0] += MAX_STALL_TIMEOUT_S + 0.1
        assert tracker.stalled_runs() == []
        tracker.update(RunListing(0, (RunReport("t", 1, "", 41),), ()))
        assert tracker.stalled_runs() == []
