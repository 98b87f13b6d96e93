"""Compares the incremental selection of victims with an exhaustive one."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.coordination.policy.dispatch.conftest import WHOLE, Pool

from hyssoprill.coordination.policy.dispatch import preemption
from hyssoprill.coordination.policy.dispatch.placement import free_after_stops
from hyssoprill.protocol.job import ZERO_AMOUNTS, ResourceAmounts

MAX_UPSTREAMS = 6


def choose_victims_exhaustively(step, domain, units):
    """Return the units to stop, with all options computed again after each choice."""
    chosen = []
    before = [(one, one.releasing) for one in domain]
    try:
        while len(preemption._place_after_stops(step, domain)) < len(step.indices):
            by_upstream = preemption._units_by_upstream(units)
            options = [
                preemption._victims_for_one_task(
                    step,
                    upstream,
                    by_upstream.get(upstream.key, []),
                    {id(one): one for one in chosen},
                )
                for upstream in domain
            ]
            available = [one for one in options if one is not None]
            if not available:
                return None
            cheapest = min(available, key=preemption._cost_of)
            chosen += cheapest
            for unit in cheapest:
                for view in domain:
                    times = unit.upstreams.count(view.key)
                    view.releasing = view.releasing.plus(unit.need, times)
        return chosen
    finally:
        for one, releasing in before:
            one.releasing = releasing


@st.composite
def pools(draw):
    pool = Pool()
    count = draw(st.integers(1, MAX_UPSTREAMS))
    for number in range(count):
        pool.add_upstream(f"u{number}", f"r{number % 2}", free=ZERO_AMOUNTS)
    for number in range(draw(st.integers(0, 10))):
        places = draw(st.lists(st.integers(0, count - 1), min_size=1, max_size=3))
        need = ResourceAmounts(
            draw(st.integers(1, 8)), 1000 * draw(st.integers(1, 32)), 1000
        )
        cost = float(draw(st.integers(0, 50)))
        keys = (f"u{one}" for one in places)
        pool.add_running(f"j{number}", *keys, need=need, cost=cost)
    for view in pool.upstreams:
        view.free = ZERO_AMOUNTS
    gang = draw(st.booleans())
    step = pool.waiting_step(
        count=draw(st.integers(1, 5)),
        need=ResourceAmounts(draw(st.integers(1, 8)), 2000, 1000),
        gang=gang,
        rack_sensitive=gang and draw(st.booleans()),
        max_per_upstream=draw(st.integers(0, 2)),
    )
    return pool, step


@given(pools())
@settings(max_examples=150, deadline=None)
def test_incremental_choice_equals_the_exhaustive_one(case):
    pool, step = case
    exhaustive = choose_victims_exhaustively(step, pool.upstreams, pool.units)
    by_upstream = preemption._units_by_upstream(pool.units)
    incremental = preemption._choose_victims(step, pool.upstreams, by_upstream)
    if exhaustive is None:
        assert incremental is None
    else:
        assert [id(one) for one in incremental] == [id(one) for one in exhaustive]


def test_wide_gang_in_a_large_pool_computes_few_options_again(monkeypatch):
    pool = Pool()
    for number in range(60):
        pool.add_upstream(f"u{number}", f"r{number // 16}")
        for part in range(8):
            need = ResourceAmounts(1, 8000, 1000)
            pool.add_running(f"j{number}-{part}", f"u{number}", need=need, cost=1.0)
    calls = []
    original = preemption._cheapest_victims
    monkeypatch.setattr(
        preemption,
        "_cheapest_victims",
        lambda *args: calls.append(1) or original(*args),
    )
    gang = pool.waiting_step(count=24, need=WHOLE, gang=True)
    assert preemption.select_preemptions(gang, pool.upstreams, pool.units) is not None
    assert len(calls) <= 60 + 24


def test_capacity_of_the_units_to_stop_is_reserved_for_the_step():
    pool = Pool()
    pool.add_upstream("a")
    pool.add_running("long", "a", cost=5.0)
    step = pool.waiting_step(need=WHOLE)
    assert preemption.select_preemptions(step, pool.upstreams, pool.units) == pool.units
    assert free_after_stops(pool.upstreams[0]) == ZERO_AMOUNTS
