from __future__ import annotations

import pytest

from hyssoprill.coordination.policy.dispatch.leaving import is_better_moved, time_left_s
from hyssoprill.coordination.policy.dispatch.stalling import is_better_restarted
from hyssoprill.protocol.job import Step

SAVING = Step(checkpoints=True, estimate_ms=10_000)
PLAIN = Step(estimate_ms=10_000)


@pytest.mark.parametrize(
    ("step", "ran_s", "stalled_s", "expected"),
    [
        (SAVING, 20.0, 1.5, True),
        (PLAIN, 20.0, 3.0, False),
        (PLAIN, 3.0, 3.0, True),
        (PLAIN, 6.0, 3.0, True),
    ],
)
def test_stalled_work_is_restarted_where_little_is_lost(
    step, ran_s, stalled_s, expected
):
    assert is_better_restarted(step, ran_s, stalled_s) is expected


@pytest.mark.parametrize(
    ("step", "left_s", "remaining_s", "expected"),
    [
        (SAVING, 8.0, 2.0, True),
        (SAVING, 0.5, 2.0, False),
        (PLAIN, 8.0, 2.0, False),
        (PLAIN, 30.0, 2.0, True),
    ],
)
def test_work_leaves_a_draining_upstream_where_it_would_be_cut_off(
    step, left_s, remaining_s, expected
):
    assert is_better_moved(step, left_s, remaining_s) is expected


def test_time_left_follows_progress_once_there_is_some():
    assert time_left_s(PLAIN, 5.0, 50) == 5.0
    assert time_left_s(PLAIN, 4.0, 0) == 6.0
    assert time_left_s(PLAIN, 40.0, 0) == 0.0
