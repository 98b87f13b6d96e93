"""Tests of the choice of the planner by speed, with services in the same process."""

from __future__ import annotations

import asyncio
from typing import Any

from standins.job_store import MemoryStore

from hyssoprill.coordination.intake.service import DurableJobService
from hyssoprill.coordination.upstream.vm_agent import VmAgent
from hyssoprill.job_settings import JobBounds
from hyssoprill.ports.store import Record
from hyssoprill.ports.upstream import CheckIn, RunListing
from hyssoprill.protocol.job import ResourceAmounts
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
