from __future__ import annotations

import random

import pytest

from hyssoprill.coordination.policy.dispatch.run_time_model import (
    RunTimeModel,
    estimate_remaining_s,
)


def test_remaining_time_is_extrapolated_from_reliable_progress():
    assert estimate_remaining_s(10.0, 5.0, 50) == 5.0
    assert estimate_remaining_s(10.0, 4.0, 0) == 6.0
    assert estimate_remaining_s(10.0, 40.0, 0) == 0.0


def test_remaining_time_of_a_resumed_run_counts_earlier_progress():
    assert estimate_remaining_s(10.0, 1.0, 60, is_resumed=True) == 4.0


def test_estimate_is_believed_while_nothing_is_known():
    model = RunTimeModel()
    model.record("other", 1.0, 20.0)
    assert model.expected_s("queue", 7.0) == 7.0


def test_useless_estimates_give_way_to_the_history_of_the_queue():
    rng = random.Random(1)
    model = RunTimeModel()
    for _ in range(40):
        model.record("queue", 5.0 * rng.lognormvariate(0.0, 0.9), 5.0)
    assert model.expected_s("queue", 0.5) == pytest.approx(5.0, rel=0.35)
    assert model.expected_s("queue", 50.0) == pytest.approx(5.0, rel=0.35)


def test_exact_estimates_stay_believed():
    model = RunTimeModel()
    for estimate_s in (1.0, 3.0, 9.0, 27.0):
        model.record("queue", estimate_s, estimate_s)
    assert model.expected_s("queue", 15.0) == pytest.approx(15.0)


def test_constant_error_of_estimates_is_corrected():
    model = RunTimeModel()
    for estimate_s in (1.0, 3.0, 9.0, 27.0) * 5:
        model.record("queue", estimate_s, 2.0 * estimate_s)
    assert model.expected_s("queue", 10.0) == pytest.approx(20.0, rel=0.15)


def test_tasks_of_one_step_count_as_one_job():
    one_by_one, together = RunTimeModel(), RunTimeModel()
    one_by_one.record("queue", 2.0, 8.0)
    for _ in range(50):
        together.record("queue", 2.0, 8.0, weight=1 / 50)
    assert together.expected_s("queue", 3.0) == pytest.approx(
        one_by_one.expected_s("queue", 3.0)
    )
