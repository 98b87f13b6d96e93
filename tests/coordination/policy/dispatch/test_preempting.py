"""The choice of what stops, against one that looks at all upstreams each time."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st
from tests.coordination.policy.dispatch.conftest import WHOLE, World

from hyssoprill.coordination.policy.dispatch import preempting
from hyssoprill.coordination.policy.dispatch.placement import free_after_stops
from hyssoprill.protocol.job import ZERO_AMOUNTS, ResourceAmounts

MAX_UPSTREAMS = 6


def vacate_plainly(step, domain, units):
    """Return the units to stop, all options looked for after each choice."""
    chosen = []
    before = [(one, one.leaving) for one in domain]
    try:
        while len(preempting._places(step, domain)) < len(step.indices):
            by_upstream = preempting._by_upstream(units)
            options = [
                preempting._victims(
                    step,
                    upstream,
                    by_upstream.get(upstream.key, []),
                    {id(one): one for one in chosen},
                )
                for upstream in domain
            ]
            found = [one for one in options if one is not None]
            if not found:
                return None
            cheapest = min(found, key=preempting._cost)
            chosen += cheapest
            for unit in cheapest:
                for view in domain:
                    times = unit.places.count(view.key)
                    view.leaving = view.leaving.plus(unit.need, times)
        return chosen
    finally:
        for one, leaving in before:
            one.leaving = leaving


@st.composite
def worlds(draw):
    world = World()
    count = draw(st.integers(1, MAX_UPSTREAMS))
    for number in range(count):
        world.upstream(f"u{number}", f"r{number % 2}", free=ZERO_AMOUNTS)
    for number in range(draw(st.integers(0, 10))):
        places = draw(st.lists(st.integers(0, count - 1), min_size=1, max_size=3))
        need = ResourceAmounts(
            draw(st.integers(1, 8)), 1000 * draw(st.integers(1, 32)), 1000
        )
        cost = float(draw(st.integers(0, 50)))
        keys = (f"u{one}" for one in places)
        world.running(f"j{number}", *keys, need=need, cost=cost)
    for view in world.upstreams:
        view.free = ZERO_AMOUNTS
    gang = draw(st.booleans())
    step = world.step(
        count=draw(st.integers(1, 5)),
        need=ResourceAmounts(draw(st.integers(1, 8)), 2000, 1000),
        gang=gang,
        rack_sensitive=gang and draw(st.booleans()),
        max_per_upstream=draw(st.integers(0, 2)),
    )
    return world, step


@given(worlds())
@settings(max_examples=150, deadline=None)
def test_choice_is_that_of_looking_at_all_upstreams_each_time(case):
    world, step = case
    plain = vacate_plainly(step, world.upstreams, world.units)
    by_upstream = preempting._by_upstream(world.units)
    quick = preempting._vacate(step, world.upstreams, by_upstream)
    if plain is None:
        assert quick is None
    else:
        assert [id(one) for one in quick] == [id(one) for one in plain]


def test_wide_gang_finds_room_in_a_large_pool_without_looking_at_it_again(monkeypatch):
    world = World()
    for number in range(60):
        world.upstream(f"u{number}", f"r{number // 16}")
        for part in range(8):
            need = ResourceAmounts(1, 8000, 1000)
            world.running(f"j{number}-{part}", f"u{number}", need=need, cost=1.0)
    looks = []
    option = preempting._option
    monkeypatch.setattr(
        preempting, "_option", lambda *args: looks.append(1) or option(*args)
    )
    gang = world.step(count=24, need=WHOLE, gang=True)
    assert preempting.make_room(gang, world.upstreams, world.units) is not None
    assert len(looks) <= 60 + 24


def test_room_of_the_units_to_stop_is_taken_for_the_step():
    world = World()
    world.upstream("a")
    world.running("long", "a", cost=5.0)
    step = world.step(need=WHOLE)
    assert preempting.make_room(step, world.upstreams, world.units) == world.units
    assert free_after_stops(world.upstreams[0]) == ZERO_AMOUNTS
