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
