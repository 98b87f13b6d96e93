"""Tests of the age of ordered starts."""

from __future__ import annotations

import pytest

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.upstream.order_ages import OrderAges
from hyssoprill.protocol.upstream_messages import RunOrder

KEY = ("t", 1)
NOW_S = 1000.0


def order(decided_ms: int) -> RunOrder:
    return RunOrder(*KEY, "x", "", decided_ms)


@pytest.mark.parametrize(
    ("decided_ms", "expected_s"),
    [(50_000, 0.5), (48_000, 2.5), (60_000, 0.5), (0, 0.5)],
    ids=["decided-now", "sent-later", "clock-set-back", "not-known"],
)
def test_age_counts_from_the_echoed_clock_and_includes_the_age_when_sent(
    decided_ms, expected_s
):
    with simulated_time(lambda: NOW_S):
        ages = OrderAges()
        ages.update([order(decided_ms)], NOW_S - 0.5, 50_000)
        assert ages.age_s(KEY) == pytest.approx(expected_s)


@pytest.mark.parametrize("decided_ms", [0, 50_000, 70_000])
def test_order_does_not_become_younger_when_it_is_sent_again(decided_ms):
    with simulated_time(lambda: NOW_S):
        ages = OrderAges()
        ages.update([order(50_000)], NOW_S - 4.0, 50_000)
        ages.update([order(decided_ms)], NOW_S, 50_000)
        assert ages.age_s(KEY) == pytest.approx(4.0)


def test_order_counts_from_the_receipt_of_the_echoed_message():
    with simulated_time(lambda: NOW_S):
        ages = OrderAges()
        ages.update([order(49_900)], NOW_S - 0.8, 50_000, echo_age_s=0.7)
        assert ages.age_s(KEY) == pytest.approx(0.2)


@pytest.mark.parametrize("decided_ms", [0, 60_000], ids=["not-known", "clock-set-back"])
def test_order_counts_from_the_echo_where_its_decision_is_in_doubt(decided_ms):
    with simulated_time(lambda: NOW_S):
        ages = OrderAges()
        ages.update([order(decided_ms)], NOW_S - 0.8, 50_000, echo_age_s=0.7)
        assert ages.age_s(KEY) == pytest.approx(0.8)


def test_newer_decision_of_the_same_run_counts_from_its_own_time():
    with simulated_time(lambda: NOW_S):
        ages = OrderAges()
        ages.update([order(46_000)], NOW_S, 50_000)
        ages.update([order(49_500)], NOW_S, 50_000)
        assert ages.age_s(KEY) == pytest.approx(0.5)
        ages.update([order(46_000)], NOW_S, 50_000)
        assert ages.age_s(KEY) == pytest.approx(0.5)


def test_newer_decision_counts_for_nothing_once_the_upstream_was_called():
    with simulated_time(lambda: NOW_S):
        ages = OrderAges()
        ages.update([order(46_000)], NOW_S, 50_000)
        ages.hold(KEY)
        ages.update([order(49_500)], NOW_S, 50_000)
        assert ages.age_s(KEY) == pytest.approx(4.0)
