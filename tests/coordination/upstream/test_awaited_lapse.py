"""Tests of a lease that has to lapse before ends of its upstream are acknowledged."""

from __future__ import annotations

import asyncio
import time

import pytest

from hyssoprill.clock import boottime_s, unix_ms
from hyssoprill.coordination.upstream import lease
from hyssoprill.coordination.upstream.lease import LeaseTracker
from hyssoprill.coordination.upstream.planner_grant import PlannerGrant
from hyssoprill.coordination.upstream.session import UpstreamSession
from hyssoprill.errors import UpstreamSilentError
from hyssoprill.ports.upstream import CheckIn, RunListing, StartAnswer
from hyssoprill.protocol.job import ResourceAmounts
from hyssoprill.protocol.upstream_key import UpstreamKey
from hyssoprill.protocol.upstream_messages import (
    EndReport,
    RunOrder,
    RunReport,
    UpstreamOrders,
)

TASK, OTHER = "00000000000000a1.0.0.0", "00000000000000a2.0.0.0"
KEY = UpstreamKey("vm-1", "127.0.0.1:1", 100, "i-1")
MAX_LEASE_S = 0.6
CALL_DELAY_S = 0.5


@pytest.fixture(autouse=True)
def short_delays(monkeypatch):
    monkeypatch.setattr(lease, "MAX_CALL_DELAY_S", CALL_DELAY_S)


class LeasingUpstream:
    """Upstream port that keeps a lease, and may carry renewals out late.

    Attributes
    ----------
    late_s : float
        Where above 0, the next renewal that extends the lease gets no answer, and is
        carried out so much later.
    lapses : list of float
        When the lease has lapsed.
    acknowledged_s : dict
        When each end was first acknowledged, by its number.
    """

    def __init__(self) -> None:
        self.running: list[RunReport] = []
        self.ended: list[EndReport] = []
        self.late_s = 0.0
        self.lease_until_s = 0.0
        self.lapses: list[float] = []
        self.acknowledged_s: dict[int, float] = {}
        self.started: list[tuple[str, int]] = []

    @property
    def clock_ms(self) -> int:
        return int(time.monotonic() * 1000)

    def extend(self, length_s: float) -> None:
        self.watch()
        self.lease_until_s = max(self.lease_until_s, time.monotonic() + length_s)

    def watch(self) -> None:
        """Note that the lease has lapsed."""
        if self.lease_until_s and time.monotonic() > self.lease_until_s:
            self.lapses.append(self.lease_until_s)
            self.lease_until_s = 0.0

    async def start(self, order, *, term, lease_until_ms, timeout_s):
        self.extend((lease_until_ms - self.clock_ms) / 1000)
        self.started.append((order.task, order.run))
        self.running.append(RunReport(order.task, order.run, "", 0))
        return StartAnswer(True, "")

    async def stop(self, task, run, *, term, timeout_s):
        return True

    async def renew_lease(
        self, *, term, stored_upto, lease_until_ms, wait_s, timeout_s
    ):
        await asyncio.sleep(0.02)
        self.watch()
        for row in self.ended:
            if row.number <= stored_upto:
                self.acknowledged_s.setdefault(row.number, time.monotonic())
        if lease_until_ms is not None:
            length_s = (lease_until_ms - self.clock_ms) / 1000
            if self.late_s:
                loop = asyncio.get_running_loop()
                loop.call_later(self.late_s, self.extend, length_s)
                self.late_s = 0.0
                raise UpstreamSilentError("no answer")
            self.extend(length_s)
        return RunListing(self.clock_ms, tuple(self.running), tuple(self.ended))

    def close(self) -> None:
        pass


def run_scenario(scenario) -> None:
    """Run a coroutine function with a session and its upstream."""

    async def body() -> None:
        grant = PlannerGrant(term=1, began_s=boottime_s() - 60.0)
        grant.update(1, boottime_s())
        upstream = LeasingUpstream()
        check_in = CheckIn(
            id="i-1",
            started_ms=100,
            sequence=1,
            address="127.0.0.1:1",
            group="g",
            zone="z",
            draining=False,
            capacity=ResourceAmounts(8, 8000, 8000),
        )
        session = UpstreamSession(
            KEY, check_in, upstream, grant, MAX_LEASE_S, lambda: None
        )
        try:
            async with asyncio.timeout(20):
                while not upstream.lease_until_s:
                    await asyncio.sleep(0.01)
                await scenario(session, upstream)
        finally:
            await session.close()

    asyncio.run(body())


def order(session, *runs: str, stored_upto: int = 0, must_lapse: bool = False) -> None:
    rows = [RunOrder(task, 1, "x", "", unix_ms()) for task in runs]
    orders = UpstreamOrders(str(KEY), rows, [], stored_upto, must_lapse)
    session.apply_orders(orders, boottime_s(), unix_ms())


async def acknowledge_after_lapse(session, number: int) -> None:
    """Order what a planner does that withholds an end."""
    order(session, must_lapse=True)
    while session.report().lapsed_upto < number:
        await asyncio.sleep(0.01)
    order(session, stored_upto=number)
    await asyncio.sleep(0.2)


@pytest.mark.parametrize("late_s", [0.05, 0.2, 0.45])
def test_end_is_acknowledged_after_the_lease_that_a_late_renewal_has_extended(late_s):
    async def scenario(session, upstream):
        upstream.late_s = late_s
        while upstream.late_s:
            await asyncio.sleep(0.01)
        upstream.ended = [EndReport(1, TASK, 1, "done", "")]
        ended_s = time.monotonic()
        await acknowledge_after_lapse(session, 1)
        assert any(ended_s < at < upstream.acknowledged_s[1] for at in upstream.lapses)
        # The lease is extended again once the end may be acknowledged.
        assert upstream.lease_until_s
        assert session.report().accepting

    run_scenario(scenario)


def test_no_run_is_started_before_the_lease_has_lapsed():
    async def scenario(session, upstream):
        upstream.ended = [EndReport(1, TASK, 1, "done", "")]
        order(session, OTHER, must_lapse=True)
        assert not session.report().accepting
        while session.report().lapsed_upto < 1:
            assert not upstream.started
            await asyncio.sleep(0.01)
        order(session, OTHER, stored_upto=1)
        while not upstream.started:
            await asyncio.sleep(0.01)
        assert upstream.lapses

    run_scenario(scenario)


def test_lease_of_a_run_that_goes_on_is_kept_until_it_has_ended():
    async def scenario(session, upstream):
        upstream.running = [RunReport(OTHER, 1, "", 10)]
        upstream.ended = [EndReport(1, TASK, 1, "done", "")]
        order(session, OTHER, must_lapse=True)
        await asyncio.sleep(2 * MAX_LEASE_S)
        assert not upstream.lapses
        assert not session.report().accepting
        upstream.running = []
        await acknowledge_after_lapse(session, 1)
        assert upstream.lapses

    run_scenario(scenario)


def test_lapse_out_of_contact_is_reported_without_an_order():
    async def scenario(session, upstream):
        upstream.ended = [EndReport(1, TASK, 1, "done", "")]
        session._grant.echoed_clock_s = boottime_s() - 60.0
        while session.report().lapsed_upto < 1:
            await asyncio.sleep(0.01)
        upstream.watch()
        assert upstream.lapses
        session._grant.update(1, boottime_s())
        while not upstream.lease_until_s:
            await asyncio.sleep(0.01)
        upstream.ended.append(EndReport(2, OTHER, 1, "done", ""))
        await asyncio.sleep(0.3)
        assert len(session.report().ended) == 2
        assert session.report().lapsed_upto == 1

    run_scenario(scenario)


def make_tracker(agent_age_s: float = 60.0) -> LeaseTracker:
    grant = PlannerGrant(began_s=boottime_s() - agent_age_s)
    return LeaseTracker(grant, MAX_LEASE_S, 0.0)


def test_lease_has_not_lapsed_while_calls_of_an_earlier_agent_may_extend_it():
    assert make_tracker().has_lapsed
    assert not make_tracker(agent_age_s=CALL_DELAY_S).has_lapsed


def test_call_that_asks_for_no_lease_keeps_none():
    tracker = make_tracker()
    tracker.record_answered_call(0.0)
    tracker.record_unanswered_call(boottime_s(), 0.0)
    assert tracker.has_lapsed
    tracker.record_answered_call(MAX_LEASE_S)
    assert not tracker.has_lapsed


def test_call_without_an_answer_keeps_the_lease_for_its_delay_as_well():
    tracker = make_tracker()
    tracker.record_unanswered_call(boottime_s(), MAX_LEASE_S)
    time.sleep(MAX_LEASE_S + 0.1)
    assert not tracker.has_lapsed
    time.sleep(CALL_DELAY_S)
    assert tracker.has_lapsed
