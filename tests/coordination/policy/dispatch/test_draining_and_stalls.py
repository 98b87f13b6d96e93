from __future__ import annotations

import pytest

from hyssoprill.coordination.policy.dispatch.draining import should_migrate
from hyssoprill.coordination.policy.dispatch.stalled_runs import should_restart
from hyssoprill.protocol.job import Step

WITH_CHECKPOINTS = Step(checkpoints=True, estimate_ms=10_000)
WITHOUT_CHECKPOINTS = Step(estimate_ms=10_000)


@pytest.mark.parametrize(
    ("step", "ran_s", "stalled_s", "expected"),
    [
        (WITH_CHECKPOINTS, 20.0, 1.5, True),
        (WITHOUT_CHECKPOINTS, 20.0, 3.0, False),
        (WITHOUT_CHECKPOINTS, 3.0, 3.0, True),
        (WITHOUT_CHECKPOINTS, 6.0, 3.0, False),
        (WITHOUT_CHECKPOINTS, 7.0, 4.0, True),
    ],
)
def test_stalled_run_is_restarted_if_little_work_is_lost(
    step, ran_s, stalled_s, expected
):
    assert should_restart(step, ran_s, stalled_s) is expected


@pytest.mark.parametrize(
    ("step", "run_remaining_s", "upstream_remaining_s", "expected"),
    [
        (WITH_CHECKPOINTS, 8.0, 2.0, True),
        (WITH_CHECKPOINTS, 0.5, 2.0, False),
        (WITHOUT_CHECKPOINTS, 8.0, 2.0, False),
        (WITHOUT_CHECKPOINTS, 30.0, 2.0, True),
    ],
)
def test_run_migrates_off_a_draining_upstream_if_it_would_be_cut_off(
    step, run_remaining_s, upstream_remaining_s, expected
):
    assert should_migrate(step, run_remaining_s, upstream_remaining_s) is expected
