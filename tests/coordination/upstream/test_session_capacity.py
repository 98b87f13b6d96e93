"""Tests of a session whose upstream shrinks while starts are retried."""

from __future__ import annotations

import asyncio
from dataclasses import replace

import pytest

from hyssoprill.clock import boottime_s
from hyssoprill.coordination.upstream.planner_grant import PlannerGrant
from hyssoprill.coordination.upstream.session import UpstreamSession
from hyssoprill.ports.upstream import CheckIn, RunListing, StartAnswer
from hyssoprill.protocol.job import ResourceAmounts
from hyssoprill.protocol.upstream_key import UpstreamKey
from hyssoprill.protocol.upstream_messages import RunOrder, RunReport, UpstreamOrders

TASK = "00000000000000a1.0.0.0"
KEY = UpstreamKey("vm-1", "127.0.0.1:1", 100, "i-1")
EIGHT = ResourceAmounts(8, 64_000, 262_144)
FOUR = ResourceAmounts(4, 64_000, 262_144)


class IdleUpstream:
    """Upstream that accepts all starts and lists what it was told to."""

    def __init__(self, *running: RunReport) -> None:
        self.started: list[int] = []
        self.running = running

    async def start(self, order, *, term, lease_until_ms, timeout_s):
        self.started.append(order.run)
        return StartAnswer(True, "")

    async def renew_lease(
        self, *, term, stored_upto, lease_until_ms, wait_s, timeout_s
    ):
        await asyncio.sleep(0.01)
        return RunListing(1_000_000, self.running, ())

    def close(self) -> None:
        pass


@pytest.mark.parametrize(
    ("capacity", "running", "expected"),
    [
        (FOUR, (), (0, 1)),
        (EIGHT, (), (1, 0)),
        (FOUR, (RunReport(TASK, 1, "", 5),), (1, 0)),
    ],
    ids=["shrunk", "unchanged", "shrunk-while-it-runs"],
)
def test_run_yet_to_start_is_refused_when_the_upstream_shrinks(
    capacity, running, expected
):
    async def body() -> None:
        upstream = IdleUpstream(*running)
        grant = PlannerGrant()
        grant.update(1, boottime_s() - 5.0)
        check_in = CheckIn("i-1", 100, 1, "127.0.0.1:1", "g", "z", False, EIGHT)
        session = UpstreamSession(KEY, check_in, upstream, grant, 9.0, lambda: None)
        order = RunOrder(TASK, 1, "x", "")
        session.apply_orders(UpstreamOrders(str(KEY), [], [], 0), boottime_s(), 0)
        session.apply_orders(UpstreamOrders(str(KEY), [order], [], 0), boottime_s(), 0)
        await asyncio.sleep(0.3)
        session.update_check_in(replace(check_in, sequence=2, capacity=capacity))
        grant.update(1, boottime_s())
        await asyncio.sleep(0.5)
        refused = session.report().refused
        await session.close()
        assert (len(upstream.started), len(refused)) == expected

    asyncio.run(body())
