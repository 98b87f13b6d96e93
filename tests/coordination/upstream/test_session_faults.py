"""Injects random faults into calls of an upstream and compares reports with its runs.

A lost or delayed start may be executed after a refusal. A run that was reported as
refused would then run although the planner starts it elsewhere.
"""

from __future__ import annotations

import asyncio
import random

import pytest

from hyssoprill.clock import boottime_s
from hyssoprill.coordination.upstream import session as session_module
from hyssoprill.coordination.upstream.planner_grant import PlannerGrant
from hyssoprill.coordination.upstream.session import UpstreamSession
from hyssoprill.errors import UpstreamSilentError
from hyssoprill.ports.upstream import (
    RUN_ALREADY_ENDED,
    CheckIn,
    RunListing,
    StartAnswer,
)
from hyssoprill.protocol.job import ResourceAmounts
from hyssoprill.protocol.upstream_key import UpstreamKey
from hyssoprill.protocol.upstream_messages import (
    EndReport,
    RunOrder,
    RunReport,
    UpstreamOrders,
)

TASK = "00000000000000a1.0.0.0"
KEY = UpstreamKey("vm-1", "127.0.0.1:1", 100, "i-1")
RUNS = 12
MAX_START_DELAY_S = 0.06
"""Longest delay with which an unanswered start is executed."""
RUN_S = 0.02


class FaultyUpstream:
    """Upstream that keeps the protocol, but loses answers and delays starts.

    Attributes
    ----------
    started : set of int
        Numbers of the runs that ever started.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.started: set[int] = set()
        self.running: dict[int, float] = {}
        self.ended_runs: set[int] = set()
        self.ended: list[EndReport] = []

    async def start(self, order, *, term, lease_until_ms, timeout_s):
        fault = self.rng.random()
        if fault < 0.25:
            delay_s = self.rng.choice((0.0, self.rng.uniform(0.0, MAX_START_DELAY_S)))
            asyncio.get_running_loop().call_later(delay_s, self._start_run, order.run)
            raise UpstreamSilentError("no answer")
        if fault < 0.5:
            return StartAnswer(False, self.rng.choice(("room", "status 503")))
        if not self._start_run(order.run):
            return StartAnswer(False, RUN_ALREADY_ENDED)
        return StartAnswer(True, "")

    def _start_run(self, run: int) -> bool:
        self._advance()
        if run in self.running:
            return True
        if any(other >= run for other in self.ended_runs):
            return False
        self.started.add(run)
        self.running[run] = boottime_s() + RUN_S
        return True

    async def stop(self, task, run, *, term, timeout_s):
        if self.rng.random() < 0.2:
            raise UpstreamSilentError("no answer")
        self._advance()
        self.ended_runs.add(run)
        if self.running.pop(run, None) is not None:
            self._end(run, "stopped")
        return True

    async def renew_lease(
        self, *, term, stored_upto, lease_until_ms, wait_s, timeout_s
    ):
        await asyncio.sleep(0.002)
        if self.rng.random() < 0.4:
            raise UpstreamSilentError("no answer")
        self._advance()
        self.ended = [row for row in self.ended if row.number > stored_upto]
        rows = tuple(RunReport(TASK, run, "", 0) for run in self.running)
        return RunListing(1_000_000, rows, tuple(self.ended))

    def _advance(self) -> None:
        for run in [one for one, end_s in self.running.items() if end_s < boottime_s()]:
            del self.running[run]
            self.ended_runs.add(run)
            self._end(run, "done")

    def _end(self, run: int, how: str) -> None:
        self.ended.append(EndReport(len(self.ended_runs), TASK, run, how, ""))

    def close(self) -> None:
        pass


async def order_until_settled(session: UpstreamSession, run: int) -> str:
    """Order a run until the session reports its end or a refusal; return which."""
    orders = UpstreamOrders(str(KEY), [RunOrder(TASK, run, "x", "")], [], 0)
    while True:
        session.apply_orders(orders, boottime_s(), 0)
        await asyncio.sleep(0.005)
        report = session.report()
        for row in report.ended:
            if row.run == run:
                return row.outcome
        if any(refusal[1] == run for refusal in report.refused):
            return "refused"
        if any(number == run for _task, number in report.closed):
            return "refused"


@pytest.mark.parametrize("seed", range(8))
def test_refused_run_never_starts_when_calls_are_lost_or_late(seed, monkeypatch):
    monkeypatch.setattr(session_module, "RETRY_DELAY_S", 0.003)
    monkeypatch.setattr(session_module, "MIN_RENEW_INTERVAL_S", 0.002)

    async def body() -> None:
        upstream = FaultyUpstream(random.Random(seed))
        check_in = CheckIn(
            "i-1",
            100,
            1,
            "127.0.0.1:1",
            "g",
            "z",
            False,
            ResourceAmounts(8, 8000, 8000),
        )
        grant = PlannerGrant(1, boottime_s() + 3600.0)
        session = UpstreamSession(KEY, check_in, upstream, grant, 6.0, lambda: None)
        refused = set()
        for run in range(1, RUNS + 1):
            session.apply_orders(UpstreamOrders(str(KEY), [], [], 0), boottime_s(), 0)
            if await order_until_settled(session, run) == "refused":
                assert run not in upstream.started
                refused.add(run)
        await asyncio.sleep(MAX_START_DELAY_S)
        assert not refused & upstream.started
        await session.close()

    asyncio.run(body())
