"""Tests of the choice of the planner by speed, with services in the same process."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest
from standins.job_store import MemoryStore

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.intake.service import DurableJobService
from hyssoprill.coordination.planner.answer_delays import AnswerDelays
from hyssoprill.coordination.planner.fitness import EntrySpeeds
from hyssoprill.coordination.planner.fleet import Fleet
from hyssoprill.coordination.planner.hand_over import (
    BEHIND_FOR_S,
    MAX_ANSWER_DELAY_S,
    MAX_KEPT_S,
    MIN_KEPT_S,
    NEW_FOR_S,
    HandOver,
)
from hyssoprill.coordination.upstream.vm_agent import VmAgent
from hyssoprill.job_settings import JobBounds
from hyssoprill.ports.store import Record
from hyssoprill.ports.upstream import CheckIn, RunListing
from hyssoprill.protocol.job import ResourceAmounts
from hyssoprill.protocol.upstream_messages import VmHeartbeat
from hyssoprill.state.job_table import Term
from hyssoprill.state.operator_config import OperatorConfig
from hyssoprill.transport.metrics import Metrics

KEY = "5f" * 32
BOUNDS = JobBounds(key_revocation_ms=5000, stop_grace_s=6.0)
FAST = b"900000.0"
"""A speed that no entry of these tests has."""


class HoldingUpstream:
    """Upstream port on which each start stays without an answer."""

    async def start(self, *_order: Any, **_fields: Any) -> None:
        await asyncio.Event().wait()

    async def stop(self, *_run: Any, **_fields: Any) -> bool:
        return True

    async def renew_lease(self, **_fields: Any) -> RunListing:
        await asyncio.sleep(0.02)
        return RunListing(1_000_000, (), ())

    def close(self) -> None:
        """Do nothing."""


def make_service(store: MemoryStore, name: str) -> DurableJobService:
    metrics = Metrics("entry", name)
    return DurableJobService(
        name,
        "127.0.0.1",
        0,
        KEY,
        store,
        lambda records: OperatorConfig(version=1 + len(records)),
        metrics,
        bounds=BOUNDS,
    )


def make_vm_agent(store: MemoryStore) -> VmAgent:
    agent = VmAgent(
        "vm-1",
        KEY,
        store,
        lambda _check_in: HoldingUpstream(),
        Metrics("agent", "vm-1"),
        max_lease_s=6.0,
    )
    capacity = ResourceAmounts(8, 64_000, 262_144)
    address = "127.0.0.1:1"
    agent.handle_check_in(
        CheckIn("i-1", 100, 1, address, "g", "z", False, capacity, ("a", "r1"))
    )
    return agent


def delay_receipt(service: DurableJobService, delay_s: float) -> None:
    """Have a service handle each message so much later."""
    receive = service._receive

    async def receive_late(envelope: Any) -> None:
        await asyncio.sleep(delay_s)
        await receive(envelope)

    service._receive = receive_late


def test_slow_entry_leaves_the_claim_to_a_faster_one(run_scenario):
    """It claimed the term when it noticed first, and fell behind as the planner."""

    async def scenario(harness):
        planner = harness.entry("entry-0")
        await harness.wait_until(lambda: planner.election.term == 1)
        await harness.store.append("members", [Record("speed/entry-2", FAST)])
        async with make_service(harness.store, "entry-1") as slow:
            await harness.wait_until(lambda: slow.replica.job_table.term)
            await asyncio.sleep(0.5)
            await planner.election.resign()
            await planner.stop()
            await asyncio.sleep(0.25)
            assert slow.election.term == 0
            faster = harness.entry("entry-2")
            await harness.wait_until(lambda: faster.election.term == 2, 1.0)

    run_scenario(scenario)


def test_planner_that_falls_behind_hands_over_to_a_faster_entry(run_scenario):
    """It kept the term, and its orders arrived too late to start anything."""

    async def scenario(harness):
        slow = make_service(harness.store, "entry-1")
        delay_receipt(slow, 0.5)
        async with slow, make_vm_agent(harness.store):
            await harness.submit("00000000000000a1")
            await harness.wait_until(
                lambda: any(slow.replica.job_table.open_runs.values())
            )
            async with make_service(harness.store, "entry-2") as faster:
                await asyncio.sleep(0.5)
                await harness.store.append("members", [Record("speed/entry-2", FAST)])
                await harness.wait_until(lambda: faster.election.term, 6.0)
                assert slow.election.term == 0

    run_scenario(scenario)


class WatchedPlanner:
    """A planner of term 3 with three VMs and runs, in simulated time.

    Attributes
    ----------
    terms : list of int
        Terms that were handed over.
    """

    def __init__(self, speed: float = 100.0) -> None:
        self.now_s = 100.0
        self.terms: list[int] = []
        self.election = SimpleNamespace(term=3, may_grant=True, give_up=self._give_up)
        self.table = SimpleNamespace(
            term=Term(3, "entry-1", "", "1"), open_runs={"u": {"t": 1}}
        )
        self.speeds = EntrySpeeds("entry-1")
        self.speeds.own = speed
        self.fleet = Fleet()
        self.delays = AnswerDelays(self.fleet)
        self.hand_over = HandOver(self.election, self.table, self.speeds, self.delays)

    async def _give_up(self, _reason: str, *, pause_s: float) -> None:
        self.terms.append(self.election.term)
        self.claim("entry-1", self.table.term.incarnation)

    def claim(self, name: str, incarnation: str = "1") -> None:
        self.election.term += 1
        self.table.term = Term(self.election.term, name, "", incarnation)

    async def pass_time(self, duration_s: float, *delays_s: float) -> None:
        """Check each 0.1 s while the VMs report these delays."""
        for _ in range(round(duration_s / 0.1)):
            for vm, delay_s in enumerate(delays_s):
                message = VmHeartbeat(
                    f"vm-{vm}", 1.0, 1, 0, 0, delay_s, self.election.term
                )
                self.fleet.record_contact(message.vm, 1.0)
                self.delays.record(message, self.election.term)
            await self.hand_over.check()
            self.now_s += 0.1


def watch_planner(scenario, **fields: float) -> None:
    planner = WatchedPlanner(**fields)
    with simulated_time(lambda: planner.now_s):
        asyncio.run(scenario(planner))


LATE_S = 2 * MAX_ANSWER_DELAY_S


@pytest.mark.parametrize(
    "delays_s", [(0.0, 0.0, 9.0), (MAX_ANSWER_DELAY_S,) * 3, (), (0.0,) * 3]
)
def test_planner_that_answers_most_vms_in_time_keeps_the_term(delays_s):
    async def scenario(planner):
        await planner.pass_time(NEW_FOR_S + 0.2)
        planner.speeds.update("entry-2", "200")
        await planner.pass_time(3 * BEHIND_FOR_S, *delays_s)
        assert planner.terms == []

    watch_planner(scenario)


def test_planner_that_is_behind_for_a_moment_keeps_the_term():
    async def scenario(planner):
        await planner.pass_time(NEW_FOR_S + 0.2)
        planner.speeds.update("entry-2", "200")
        for _ in range(3):
            await planner.pass_time(BEHIND_FOR_S - 0.2, *(LATE_S,) * 3)
            await planner.pass_time(0.2, *(0.0,) * 3)
        assert planner.terms == []
        await planner.pass_time(BEHIND_FOR_S + 0.2, *(LATE_S,) * 3)
        assert planner.terms == [3]

    watch_planner(scenario)


def test_planner_without_runs_hands_over_when_a_faster_entry_becomes_known():
    async def scenario(planner):
        planner.table.open_runs.clear()
        await planner.pass_time(NEW_FOR_S + 0.2)
        assert planner.terms == []
        planner.speeds.update("entry-2", "200")
        await planner.pass_time(0.2)
        assert planner.terms == [3]

    watch_planner(scenario)


def test_planner_that_follows_its_earlier_process_hands_over_at_once():
    """No other entry could claim, so that the faster ones need not be gone."""

    async def scenario(planner):
        await planner.pass_time(NEW_FOR_S + 0.2)
        planner.speeds.update("entry-2", "200")
        await planner.pass_time(0.2, *(0.0,) * 3)
        assert planner.terms == []
        planner.claim("entry-1", "2")
        await planner.pass_time(0.2, *(0.0,) * 3)
        assert planner.terms == [4]

    watch_planner(scenario)


def test_planner_that_no_entry_outdoes_keeps_the_term_however_late_it_answers():
    async def scenario(planner):
        planner.speeds.update("entry-2", "200")
        await planner.pass_time(20.0, *(LATE_S,) * 3)
        planner.table.open_runs.clear()
        await planner.pass_time(20.0, *(LATE_S,) * 3)
        assert planner.terms == []

    watch_planner(scenario, speed=150.0)


def test_term_that_faster_entries_leave_is_kept_for_longer_each_time():
    """Else the record of an entry that is gone would end term after term."""

    async def scenario(planner):
        planner.table.open_runs.clear()
        await planner.pass_time(0.1)
        planner.speeds.update("gone", "200")
        await planner.pass_time(0.1)
        waits_s = []
        for _ in range(9):
            began_s, count = planner.now_s, len(planner.terms)
            while len(planner.terms) == count:
                await planner.pass_time(0.1)
            waits_s.append(planner.now_s - began_s)
        expected_s = [min(MIN_KEPT_S * 2**n, MAX_KEPT_S) for n in range(9)]
        assert waits_s == pytest.approx(expected_s, abs=0.3)
        planner.election.may_grant = False
        planner.claim("gone")
        await planner.pass_time(0.1)
        planner.election.may_grant = True
        planner.claim("entry-1")
        began_s, count = planner.now_s, len(planner.terms)
        while len(planner.terms) == count:
            await planner.pass_time(0.1)
        assert planner.now_s - began_s == pytest.approx(MIN_KEPT_S, abs=0.3)

    watch_planner(scenario)


def test_delays_of_an_earlier_term_and_of_silent_vms_do_not_count():
    planner = WatchedPlanner()
    with simulated_time(lambda: planner.now_s):
        for vm in ("vm-1", "vm-2"):
            planner.fleet.record_contact(vm, 1.0)
        planner.delays.record(VmHeartbeat("vm-1", 1.0, 1, 0, 0, 9.0, 2), 3)
        assert planner.delays.median_s == 0
        planner.delays.record(VmHeartbeat("vm-2", 1.0, 1, 0, 0, 2.0, 3), 3)
        assert planner.delays.median_s == 2.0
        planner.now_s += 5.0
        assert planner.delays.median_s == 0
