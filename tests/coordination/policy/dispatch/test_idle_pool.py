from __future__ import annotations

import pytest

from hyssoprill.coordination.policy.dispatch import dispatch
from hyssoprill.protocol.job import ResourceAmounts

SMALL = ResourceAmounts(1, 1000, 1000)
WHOLE = ResourceAmounts(8, 64_000, 262_144)


def plan_round(steps, upstreams, units):
    return dispatch.plan_round(steps, upstreams, units, reclaim_s=3.0)


def crowded_racks(pool, racks, used):
    """Add racks of four upstreams with a small task on `used` of each."""
    for rack in range(racks):
        for number in range(4):
            view = pool.add_upstream(f"u{rack}{number}", rack=f"r{rack}")
            if number < used:
                view.free = view.free.minus(SMALL)


@pytest.mark.parametrize(("waited_s", "expected"), [(1.0, 0), (2.5, 3)])
def test_gang_does_not_wait_for_a_rack_beside_an_idle_pool(pool, waited_s, expected):
    crowded_racks(pool, racks=4, used=2)
    gang = pool.waiting_step(
        count=3, need=WHOLE, gang=True, rack_sensitive=True, waited_s=waited_s
    )
    plan = plan_round([gang], pool.upstreams, [])
    assert len(plan.starts) == expected


def test_gang_waits_for_a_rack_in_a_busy_pool(pool):
    crowded_racks(pool, racks=2, used=2)
    gang = pool.waiting_step(
        count=3, need=WHOLE, gang=True, rack_sensitive=True, waited_s=4.0
    )
    assert plan_round([gang], pool.upstreams, []).starts == []


@pytest.mark.parametrize(("waited_s", "expected"), [(1.0, 0), (2.5, 1)])
def test_step_does_not_leave_headroom_in_an_idle_pool(pool, waited_s, expected):
    for number in range(10):
        view = pool.add_upstream(f"u{number}")
        if number < 7:
            view.free = view.free.minus(SMALL)
            view.hosts_costly_work = True
    step = pool.waiting_step(need=WHOLE, waited_s=waited_s, slack_s=30.0)
    assert len(plan_round([step], pool.upstreams, []).starts) == expected
