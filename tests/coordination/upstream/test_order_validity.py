"""Tests of starts that cannot be carried out while their orders are valid."""

from __future__ import annotations

import asyncio

import pytest

from hyssoprill.clock import boottime_s, unix_ms
from hyssoprill.coordination.upstream import session
from hyssoprill.coordination.upstream.planner_grant import PlannerGrant
from hyssoprill.coordination.upstream.session import RENEW_WAIT_S, UpstreamSession
from hyssoprill.errors import (
    UpstreamBrokenOffError,
    UpstreamSilentError,
    UpstreamUnreachedError,
)
from hyssoprill.ports.upstream import CheckIn, RunListing, StartAnswer
from hyssoprill.protocol.job import ResourceAmounts
from hyssoprill.protocol.upstream_key import UpstreamKey
from hyssoprill.protocol.upstream_messages import (
    ORDER_EXPIRED,
    RunOrder,
    RunReport,
    UpstreamOrders,
)

TASK = "00000000000000a1.0.0.0"
RUN = (TASK, 1)
KEY = UpstreamKey("vm-1", "127.0.0.1:1", 100, "i-1")
VALIDITY_S = 0.4
SETTLING_S = 1.5
"""Covers the pauses between calls and the listings that settle a run."""


class FaultyUpstream:
    """Upstream whose starts and stops fail while `fault` is set.

    Attributes
    ----------
    executes : bool
        Whether starts are carried out although they fail.
    answers_renewals : bool
        Whether renewals are answered although other calls fail.
    renewal_wait_s : float
        Longest time for which renewals wait when they are asked to.
    """

    def __init__(self) -> None:
        self.fault: Exception | None = None
        self.executes = False
        self.answers_renewals = True
        self.renewal_wait_s = 0.01
        self.start_times_s: list[float] = []
        self.stopped: list[tuple[str, int]] = []
        self.running: set[tuple[str, int]] = set()

    async def start(self, order, *, term, lease_until_ms, timeout_s):
        self.start_times_s.append(boottime_s())
        if self.fault is None or self.executes:
            self.running.add((order.task, order.run))
        if self.fault is not None:
            raise self.fault
        return StartAnswer(True, "")

    async def stop(self, task, run, *, term, timeout_s):
        if self.fault is not None:
            raise self.fault
        self.stopped.append((task, run))
        self.running.discard((task, run))
        return True

    async def renew_lease(
        self, *, term, stored_upto, lease_until_ms, wait_s, timeout_s
    ):
        if self.fault is not None and not self.answers_renewals:
            raise self.fault
        await asyncio.sleep(min(wait_s, self.renewal_wait_s))
        rows = tuple(RunReport(task, run, "", 5) for task, run in self.running)
        return RunListing(1_000_000, rows, ())

    def close(self) -> None:
        pass


class SessionHarness:
    def __init__(self, upstream: FaultyUpstream) -> None:
        self.grant = PlannerGrant(order_validity_s=VALIDITY_S)
        self.grant.update(1, boottime_s())
        capacity = ResourceAmounts(8, 64_000, 262_144)
        check_in = CheckIn("i-1", 100, 1, "127.0.0.1:1", "g", "z", False, capacity)
        self.session = UpstreamSession(
            KEY, check_in, upstream, self.grant, 9.0, lambda: None
        )

    def order(self, *runs: RunOrder) -> None:
        orders = UpstreamOrders(str(KEY), list(runs), [], 0)
        self.session.apply_orders(orders, boottime_s(), unix_ms())

    async def hold_orders(self, duration_s: float, *runs: RunOrder) -> None:
        """Repeat the orders, as planners that follow each other do."""
        until_s = boottime_s() + duration_s
        while boottime_s() < until_s:
            self.grant.update(1, boottime_s())
            self.order(*runs)
            await asyncio.sleep(0.1)

    def refused_runs(self) -> list[tuple[str, int]]:
        return [(task, run) for task, run, _why in self.session.report().refused]


def run_scenario(scenario) -> None:
    async def body() -> None:
        upstream = FaultyUpstream()
        harness = SessionHarness(upstream)
        try:
            await asyncio.sleep(0.1)
            await scenario(harness, upstream)
        finally:
            await harness.session.close()

    asyncio.run(body())


@pytest.mark.parametrize("decided_ms", [0, 1], ids=["unknown", "known"])
def test_start_is_not_called_for_once_its_order_has_expired(decided_ms):
    async def scenario(harness, upstream):
        harness.order()
        upstream.fault = UpstreamBrokenOffError("reset")
        ordered_s = boottime_s()
        run = RunOrder(*RUN, "x", "", decided_ms and unix_ms())
        await harness.hold_orders(2 * VALIDITY_S, run)
        assert len(upstream.start_times_s) > 1
        upstream.fault = None
        await harness.hold_orders(SETTLING_S, run)
        assert max(upstream.start_times_s) < ordered_s + VALIDITY_S + 0.1
        assert upstream.stopped == [RUN]
        assert harness.refused_runs() == [RUN]

    run_scenario(scenario)


def test_run_is_not_refused_after_its_order_while_a_call_may_still_start_it():
    async def scenario(harness, upstream):
        harness.order()
        upstream.fault = UpstreamSilentError("no answer")
        run = RunOrder(*RUN, "x", "")
        await harness.hold_orders(VALIDITY_S + SETTLING_S, run)
        assert harness.refused_runs() == []
        upstream.fault = None
        await harness.hold_orders(SETTLING_S, run)
        assert harness.refused_runs() == [RUN]

    run_scenario(scenario)


def test_run_is_settled_soon_after_its_upstream_answers_again():
    async def scenario(harness, upstream):
        harness.order()
        upstream.answers_renewals, upstream.renewal_wait_s = False, RENEW_WAIT_S
        upstream.fault = UpstreamBrokenOffError("reset")
        run = RunOrder(*RUN, "x", "")
        await harness.hold_orders(VALIDITY_S + SETTLING_S, run)
        upstream.fault = None
        await harness.hold_orders(RENEW_WAIT_S, run)
        assert harness.refused_runs() == [RUN]

    run_scenario(scenario)


def test_start_that_never_reached_its_upstream_is_refused_once_its_order_has_expired():
    async def scenario(harness, upstream):
        harness.order()
        upstream.fault = UpstreamUnreachedError("no connection")
        await harness.hold_orders(VALIDITY_S + 0.4, RunOrder(*RUN, "x", ""))
        assert harness.refused_runs() == [RUN]

    run_scenario(scenario)


def test_run_that_a_call_without_an_answer_has_started_outlasts_its_order():
    async def scenario(harness, upstream):
        harness.order()
        upstream.fault, upstream.executes = UpstreamSilentError("no answer"), True
        run = RunOrder(*RUN, "x", "")
        await harness.hold_orders(VALIDITY_S + SETTLING_S, run)
        upstream.fault = None
        calls = len(upstream.start_times_s)
        await harness.hold_orders(SETTLING_S, run)
        assert len(upstream.start_times_s) == calls
        assert upstream.running == {RUN}
        assert harness.refused_runs() == []

    run_scenario(scenario)


@pytest.mark.parametrize("is_running", [False, True])
def test_order_that_is_sent_long_after_it_was_decided_starts_nothing(is_running):
    async def scenario(harness, upstream):
        if is_running:
            upstream.running.add(RUN)
        decided_ms = unix_ms() - round(2000 * VALIDITY_S)
        await harness.hold_orders(SETTLING_S, RunOrder(*RUN, "x", "", decided_ms))
        assert upstream.start_times_s == []
        assert (RUN in upstream.running) == is_running
        assert harness.refused_runs() == ([] if is_running else [RUN])

    run_scenario(scenario)


def test_start_that_waits_for_a_grant_is_not_called_for_after_its_order_has_expired():
    async def scenario(harness, upstream):
        harness.order()
        harness.grant.echoed_clock_s -= 100.0
        run = RunOrder(*RUN, "x", "", unix_ms())
        harness.order(run)
        await asyncio.sleep(VALIDITY_S + 0.2)
        await harness.hold_orders(SETTLING_S, run)
        assert upstream.start_times_s == []
        assert harness.refused_runs() == [RUN]

    run_scenario(scenario)


def test_refusal_of_an_expired_order_tells_its_age_and_what_blocked_the_start(
    monkeypatch,
):
    lines = {}
    monkeypatch.setattr(
        session, "decision", lambda event, **fields: lines.update({event: fields})
    )

    async def scenario(harness, _upstream):
        harness.order()
        harness.grant.echoed_clock_s -= 100.0
        harness.order(RunOrder(*RUN, "x", "", unix_ms()))
        await asyncio.sleep(VALIDITY_S + 0.4)
        line = lines["start_refused"]
        assert (line["task"], line["run"], line["why"]) == (*RUN, "order expired")
        assert VALIDITY_S <= line["age_s"] < VALIDITY_S + 0.4
        assert line["echo_age_s"] > 100.0
        assert line["blocker"] == "no recent grant from the planner"

    run_scenario(scenario)


def test_start_that_is_confirmed_while_it_waits_is_called_for():
    async def scenario(harness, upstream):
        harness.order()
        harness.grant.echoed_clock_s -= 100.0
        for _renewal in range(5):
            harness.order(RunOrder(*RUN, "x", "", unix_ms()))
            await asyncio.sleep(VALIDITY_S / 2)
        assert harness.refused_runs() == []
        harness.grant.update(1, boottime_s())
        await asyncio.sleep(VALIDITY_S / 2)
        assert upstream.running == {RUN}

    run_scenario(scenario)


def test_start_without_an_answer_expires_although_it_is_confirmed():
    async def scenario(harness, upstream):
        harness.order()
        upstream.fault = UpstreamUnreachedError("no connection")
        for _renewal in range(6):
            harness.order(RunOrder(*RUN, "x", "", unix_ms()))
            await asyncio.sleep(VALIDITY_S / 2)
        assert harness.refused_runs() == [RUN]

    run_scenario(scenario)


def test_start_that_was_called_for_in_time_is_not_refused_as_a_late_order():
    async def scenario(harness, upstream):
        harness.order()
        upstream.fault = UpstreamUnreachedError("no connection")
        await harness.hold_orders(VALIDITY_S + 0.4, RunOrder(*RUN, "x", ""))
        assert len(upstream.start_times_s) > 1
        reasons = [why for *_run, why in harness.session.report().refused]
        assert reasons and ORDER_EXPIRED not in reasons

    run_scenario(scenario)
