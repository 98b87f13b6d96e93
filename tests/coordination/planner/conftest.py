from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from standins.job_store import MemoryStore

from hyssoprill.coordination.planner.election import PlannerElection
from hyssoprill.coordination.planner.planner import Planner
from hyssoprill.coordination.planner.replica import Replica
from hyssoprill.coordination.policy.dispatch.dispatch import plan_round
from hyssoprill.coordination.policy.dispatch.terms import DispatchTerms
from hyssoprill.errors import StoreInDoubtError
from hyssoprill.job_settings import JobBounds
from hyssoprill.ports.store import Record
from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import (
    EndReport,
    RunReport,
    UpstreamReport,
    VmHeartbeat,
    VmOrders,
    VmReport,
)
from hyssoprill.state.job_table import CANCEL_PREFIX, JOB_PREFIX
from hyssoprill.state.operator_config import OperatorConfig, WorkspaceConfig
from hyssoprill.tasks import cancel_all

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

CAPACITY = ResourceAmounts(8, 64_000, 262_144)


class PlanningEntry:
    """Replica, election and planner of one entry, and the messages that it has sent."""

    def __init__(
        self,
        name: str,
        store: MemoryStore,
        append_through_peer: Any = None,
        policy: Any = plan_round,
    ) -> None:
        self.name = name
        self.sent: list[tuple[str, Any]] = []
        self.terms = DispatchTerms()
        self.directory = OperatorConfig(
            version=1, workspaces=(WorkspaceConfig("w", frozenset({"k"}), 16),)
        )
        self.replica = Replica(store, self._changed)
        self.election = PlannerElection(
            name,
            f"{name}-1",
            f"tcp://{name}",
            store,
            self.replica,
            append_through_peer=append_through_peer,
        )
        self.planner = Planner(
            self.replica,
            self.election,
            lambda: self.directory,
            lambda vm, message: self.sent.append((vm, message)),
            bounds=JobBounds(
                key_revocation_ms=5000, stop_grace_s=6.0, evacuation_ms=9000
            ),
            policy=policy,
            terms=lambda _config: self.terms,
        )
        self._tasks: list[asyncio.Task[None]] = []

    def _changed(self) -> None:
        self.planner.request_round()

    def start(self) -> None:
        self._tasks = [
            asyncio.ensure_future(work)
            for work in (
                self.replica.run(),
                self.election.run(),
                self.planner.run(),
            )
        ]

    async def stop(self) -> None:
        await cancel_all(self._tasks)

    def orders(self, vm: str) -> dict[str, Any]:
        """Return the newest orders of each upstream of a VM, by key."""
        found: dict[str, Any] = {}
        for name, message in self.sent:
            if name == vm and isinstance(message, VmOrders):
                found = {one.key: one for one in message.upstreams}
        return found

    def ordered_runs(self, *names: str) -> dict[str, tuple[str, int]]:
        """Return upstream and run number of each task in the newest orders.

        `names` are the VMs, by default all that were sent messages.
        """
        vms = set(names) or {name for name, _ in self.sent}
        return {
            run.task: (key, run.run)
            for vm in vms
            for key, one in self.orders(vm).items()
            for run in one.runs
        }


class FakeAgent:
    """Sends the reports of an agent with one upstream."""

    def __init__(self, entry: PlanningEntry, vm: str, rack: str = "r1") -> None:
        self.entry = entry
        self.vm = vm
        self.key = f"{vm}|10.0.0.1:80|100|i-{vm}"
        self.rack = rack
        self.capacity = CAPACITY
        self.clock_s = 1.0
        self.number = 1
        self.ended: list[EndReport] = []
        self.closed: list[tuple[str, int]] = []
        self.refused: list[tuple[str, int, str]] = []
        self.ended_keys: list[str] = []
        self.accepting = True
        self.draining = False
        self.running: list[RunReport] = []
        self.last_reports: list[UpstreamReport] = []
        self.lapsed_upto = 0

    def upstream_report(self) -> UpstreamReport:
        return UpstreamReport(
            self.key,
            "g",
            "zone-a",
            self.accepting,
            self.capacity,
            ["a", self.rack],
            list(self.running),
            list(self.ended),
            list(self.closed),
            list(self.refused),
            draining=self.draining,
            lapsed_upto=self.lapsed_upto,
        )

    def report(self) -> None:
        self.number += 1
        upstreams = [self.upstream_report()]
        self.entry.planner.handle_report(
            VmReport(
                self.vm,
                self.clock_s,
                self.number,
                upstreams,
                list(self.ended_keys),
                list(self.last_reports),
            )
        )

    def restart(self, **last_state: Any) -> None:
        """Report that the upstream has restarted under its id, and its last state."""
        last = msgspec.structs.replace(self.upstream_report(), **last_state)
        self.last_reports = [last]
        self.ended_keys = [self.key]
        self.key = self.key.replace("|100|", "|200|")
        self.ended, self.closed, self.running = [], [], []
        self.report()

    def leave(self) -> None:
        """Report that the upstream has left, and its last state."""
        self.number += 1
        last = [self.upstream_report()]
        self.entry.planner.handle_report(
            VmReport(self.vm, self.clock_s, self.number, [], [self.key], last)
        )

    def crash(self, *unlisted: tuple[str, int, bool]) -> None:
        """Report that the upstream has crashed, and that its next incarnation is up."""
        before = msgspec.structs.replace(
            self.upstream_report(), crashed=True, unlisted=list(unlisted)
        )
        vm, address, started_ms, name = self.key.split("|")
        self.ended_keys.append(self.key)
        self.key = f"{vm}|{address}|{int(started_ms) + 1}|{name}"
        self.running = []
        self.number += 1
        upstreams = [self.upstream_report()]
        self.entry.planner.handle_report(
            VmReport(
                self.vm, self.clock_s, self.number, upstreams, self.ended_keys, [before]
            )
        )

    def heartbeat(self, applied: tuple[int, int] = (99, 99)) -> None:
        self.entry.planner.handle_heartbeat(
            VmHeartbeat(self.vm, self.clock_s, self.number, *applied)
        )

    def end(self, task: str, run: int, how: str, saved: str = "") -> None:
        self.ended.append(EndReport(len(self.ended) + 1, task, run, how, saved))
        self.report()


class PlannerHarness:
    """A store in memory and the entries that use it."""

    def __init__(self) -> None:
        self.store = MemoryStore()
        self.entries: list[PlanningEntry] = []

    def entry(self, name: str, **fields: Any) -> PlanningEntry:
        """Start an entry; `store` in `fields` is one of its own view of the store."""
        entry = PlanningEntry(name, fields.pop("store", self.store), **fields)
        self.entries.append(entry)
        entry.start()
        return entry

    async def submit(self, job_id: str, *steps: Step, **fields: Any) -> None:
        fields = {"priority": 1, "max_attempts": 2, **fields}
        job = Job(
            id=job_id,
            queue="q",
            group="g",
            workspace="w",
            stretch=3.0,
            target_latency_ms=1000,
            accepted_ms=0,
            payload=f"payload of {job_id}",
            steps=steps
            or (Step(need=ResourceAmounts(1, 1000, 1000), estimate_ms=1000),),
            **fields,
        )
        record = Record(JOB_PREFIX + job_id, msgspec.json.encode(job))
        await self.store.append("jobs", [record])

    async def submit_ignoring_doubt(self, job_id: str) -> None:
        """Submit a job even if the answer of the store is lost."""
        with suppress(StoreInDoubtError):
            await self.submit(job_id)

    async def cancel(self, job_id: str) -> None:
        await self.store.append("jobs", [Record(CANCEL_PREFIX + job_id, b"{}")])

    async def wait_until(
        self, condition: Callable[[], Any], timeout_s: float = 5.0
    ) -> Any:
        """Wait until a condition holds and return its value."""
        async with asyncio.timeout(timeout_s):
            while not (value := condition()):
                await asyncio.sleep(0.01)
        return value


@asynccontextmanager
async def open_harness() -> AsyncIterator[PlannerHarness]:
    harness = PlannerHarness()
    try:
        yield harness
    finally:
        for entry in harness.entries:
            await entry.stop()


@pytest.fixture
def run_scenario() -> Callable[[Callable[[PlannerHarness], Any]], None]:
    """Return a function that runs a coroutine function with a new harness."""

    def run(scenario: Callable[[PlannerHarness], Any]) -> None:
        async def body() -> None:
            async with open_harness() as harness:
                await scenario(harness)

        asyncio.run(body())

    return run


@pytest.fixture
def make_agent() -> Callable[..., FakeAgent]:
    return FakeAgent
