from __future__ import annotations

import asyncio
from typing import Any

from standins.job_store import MemoryStore

from hyssoprill.clock import boottime_s
from hyssoprill.coordination.upstream import session as session_module
from hyssoprill.coordination.upstream.vm_agent import VmAgent
from hyssoprill.errors import UpstreamSilentError, UpstreamUnreachedError
from hyssoprill.ports.store import Record
from hyssoprill.ports.upstream import (
    RUN_ALREADY_ENDED,
    CheckIn,
    RunListing,
    StartAnswer,
)
from hyssoprill.protocol.job import ResourceAmounts
from hyssoprill.protocol.upstream_messages import (
    EndReport,
    Grant,
    Referral,
    RunOrder,
    RunReport,
    UpstreamOrders,
    VmOrders,
    VmReport,
)
from hyssoprill.tasks import cancel_all
from hyssoprill.transport.frame import FrameCodec
from hyssoprill.transport.link import LinkHub
from hyssoprill.transport.metrics import Metrics

KEY = "5f" * 32
TASK = "00000000000000a1.0.0.0"


class FakeUpstream:
    """Port that keeps what was called and answers as told."""

    def __init__(self) -> None:
        self.calls: list[tuple[Any, ...]] = []
        self.running: dict[tuple[str, int], str] = {}
        self.refusal = ""
        self.silent_starts = 0
        self.late_starts: list[tuple[str, int]] = []
        self.ended: list[EndReport] = []
        self.lists = True
        self.is_reachable = True
        self.leases: list[int | None] = []
        self.clock_ms = 1_000_000

    async def start(self, order, *, term, lease_until_ms, timeout_s):
        if not self.is_reachable:
            raise UpstreamUnreachedError("no connection")
        self.calls.append(("start", order.task, order.run, term))
        if self.silent_starts:
            self.silent_starts -= 1
            self.late_starts.append((order.task, order.run))
            raise UpstreamSilentError("no answer")
        if self.refusal:
            return StartAnswer(False, self.refusal)
        self.running[order.task, order.run] = order.payload
        return StartAnswer(True, "")

    async def stop(self, task, run, *, term, timeout_s):
        self.calls.append(("stop", task, run, term))
        self.running.pop((task, run), None)
        if (task, run) in self.late_starts:
            self.late_starts.remove((task, run))
        return True

    async def renew_lease(
        self, *, term, stored_upto, lease_until_ms, wait_s, timeout_s
    ):
        if not self.is_reachable:
            raise UpstreamUnreachedError("no connection")
        self.leases.append(lease_until_ms)
        await asyncio.sleep(min(wait_s, 0.05))
        if not self.lists:
            raise UpstreamSilentError("no answer")
        rows = tuple(RunReport(task, run, "", 0) for task, run in self.running)
        return RunListing(self.clock_ms, rows, tuple(self.ended))

    def close(self) -> None:
        pass


class FakeEntry:
    """An entry that answers reports as the planner of a term."""

    def __init__(self, name: str) -> None:
        self.name = name
        self.reports: list[VmReport] = []
        self.term = 1
        self.plans = True
        self.referral: Referral | None = None
        self.hub = LinkHub(
            FrameCodec(KEY, name, "1"), self._receive, Metrics("e", name)
        )
        self.url = self.hub.listen("127.0.0.1", 0)

    async def _receive(self, envelope) -> None:
        if isinstance(envelope.body, VmReport):
            self.reports.append(envelope.body)
        if self.plans:
            number = self.reports[-1].number if self.reports else 0
            grant = Grant(self.term, envelope.body.clock_s, number)
            await self.hub.send(envelope.sender, grant)
        elif self.referral is not None:
            await self.hub.send(envelope.sender, self.referral)

    async def order(self, number: int, *runs: RunOrder, stopping=()) -> None:
        report = self.reports[-1]
        orders = UpstreamOrders(report.upstreams[0].key, list(runs), list(stopping), 0)
        await self.hub.send(
            "vm-1", VmOrders(self.term, number, report.clock_s, [orders])
        )


class AgentWorld:
    def __init__(self) -> None:
        self.store = MemoryStore()
        self.upstream = FakeUpstream()
        self.entries: list[FakeEntry] = []

    async def entry(self, name: str) -> FakeEntry:
        entry = FakeEntry(name)
        self.entries.append(entry)
        await self.store.append("members", [Record(name, entry.url.encode())])
        return entry

    async def until(self, condition, timeout_s: float = 5.0):
        async with asyncio.timeout(timeout_s):
            while not (value := condition()):
                await asyncio.sleep(0.01)
        return value

    def started(self) -> list[tuple[str, int]]:
        return [one[1:3] for one in self.upstream.calls if one[0] == "start"]


def check_in(**fields: Any) -> CheckIn:
    fields = {
        "id": "i-1",
        "started_ms": 100,
        "sequence": 1,
        "address": "127.0.0.1:1",
        "group": "g",
        "zone": "z",
        "draining": False,
        "capacity": ResourceAmounts(8, 8000, 8000),
        **fields,
    }
    return CheckIn(**fields)


def play(scenario) -> None:
    async def body() -> None:
        world = AgentWorld()
        agent = VmAgent(
            "vm-1",
            KEY,
            world.store,
            lambda _check_in: world.upstream,
            Metrics("agent", "vm-1"),
            max_lease_s=6.0,
        )
        async with agent:
            try:
                await scenario(world, agent)
            finally:
                for entry in world.entries:
                    await cancel_all(entry.hub._tasks)
                    await entry.hub.__aexit__()

    asyncio.run(body())


async def ready(world, agent) -> FakeEntry:
    entry = await world.entry("entry-1")
    assert agent.handle_check_in(check_in())
    await world.until(lambda: entry.reports and entry.reports[-1].upstreams)
    await world.until(lambda: entry.reports[-1].upstreams[0].accepting)
    return entry


def test_ordered_run_is_started_under_the_term():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        await entry.order(1, RunOrder(TASK, 1, "x", ""))
        await world.until(lambda: ("start", TASK, 1, 1) in world.upstream.calls)

    play(scenario)


def test_older_orders_and_terms_are_ignored():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        entry.term = 2
        await entry.order(5, RunOrder(TASK, 1, "x", ""))
        await world.until(world.started)
        entry.term = 1
        await entry.order(9)
        await asyncio.sleep(0.3)
        assert (TASK, 1) in world.upstream.running

    play(scenario)


def test_run_that_is_no_longer_ordered_is_stopped():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        await entry.order(1, RunOrder(TASK, 1, "x", ""))
        await world.until(lambda: world.upstream.running)
        await entry.order(2)
        await world.until(lambda: not world.upstream.running)

    play(scenario)


def test_run_that_never_started_is_reported_closed_after_its_stop():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        await entry.order(1, stopping=[(TASK, 1)])
        await world.until(lambda: (TASK, 1) in entry.reports[-1].upstreams[0].closed)
        assert ("stop", TASK, 1, 1) in world.upstream.calls

    play(scenario)


def test_draining_upstream_refuses_a_start_that_comes_late():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        agent.handle_check_in(check_in(sequence=2, draining=True))
        await entry.order(1, RunOrder(TASK, 1, "x", ""))
        await world.until(lambda: entry.reports[-1].upstreams[0].refused)
        assert world.started() == []

    play(scenario)


def test_nothing_starts_without_a_word_from_the_planner():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        entry.plans = False
        await asyncio.sleep(0.3)
        agent._authority.tick_s -= 100.0
        report = entry.reports[-1]
        orders = UpstreamOrders(
            report.upstreams[0].key, [RunOrder(TASK, 1, "x", "")], [], 0
        )
        await entry.hub.send("vm-1", VmOrders(1, 1, report.clock_s - 100.0, [orders]))
        await asyncio.sleep(0.5)
        assert world.started() == []

    play(scenario)


def test_lease_is_not_extended_long_after_the_planner_was_heard():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        await world.until(lambda: any(world.upstream.leases))
        entry.plans = False
        await asyncio.sleep(0.3)
        agent._authority.tick_s -= 100.0
        await asyncio.sleep(0.3)
        world.upstream.leases.clear()
        await asyncio.sleep(0.3)
        assert world.upstream.leases
        assert not any(world.upstream.leases)

    play(scenario)


def test_lease_after_a_suspension_is_not_too_long(monkeypatch):
    async def scenario(world, agent):
        await ready(world, agent)
        await world.until(lambda: any(world.upstream.leases))
        session = next(iter(agent._sessions.values()))
        usual_ms = session._lease_until_ms()
        monkeypatch.setattr(session_module, "boottime_s", lambda: boottime_s() + 50.0)
        assert session._lease_until_ms() - usual_ms < 500

    play(scenario)


def test_agent_finds_the_planner_beside_dead_entries_at_once():
    async def scenario(world, agent):
        for name in ("entry-0", "entry-2"):
            await world.store.append("members", [Record(name, b"tcp://127.0.0.1:9")])
        entry = await ready(world, agent)
        assert entry.reports

    play(scenario)


def test_agent_follows_a_referral_to_the_planner():
    async def scenario(world, agent):
        planner = FakeEntry("entry-9")
        world.entries.append(planner)
        other = await world.entry("entry-1")
        other.plans = False
        other.referral = Referral(3, "entry-9", planner.url)
        agent.handle_check_in(check_in())
        await world.until(lambda: planner.reports)

    play(scenario)


def test_check_in_of_an_earlier_lifetime_is_refused():
    async def scenario(world, agent):
        await ready(world, agent)
        assert agent.handle_check_in(check_in(id="i-2", started_ms=200))
        assert not agent.handle_check_in(check_in(id="i-1", started_ms=100, sequence=9))
        await asyncio.sleep(0)

    play(scenario)


def test_later_lifetime_at_the_same_address_ends_the_earlier():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        first = entry.reports[-1].upstreams[0].key
        assert agent.handle_check_in(check_in(started_ms=200))
        await world.until(lambda: first in entry.reports[-1].ended_keys)
        assert [one.key for one in entry.reports[-1].upstreams] != [first]

    play(scenario)


def refusals(entry: FakeEntry) -> list[tuple[str, int, str]]:
    return [row for report in entry.reports for row in report.upstreams[0].refused]


def test_refused_run_is_stopped_first_when_an_earlier_call_had_no_answer():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        await entry.order(1)
        world.upstream.silent_starts = 1
        world.upstream.refusal = "room"
        await entry.order(2, RunOrder(TASK, 1, "x", ""))
        await world.until(lambda: refusals(entry))
        assert world.upstream.late_starts == []
        assert ("stop", TASK, 1, 1) in world.upstream.calls

    play(scenario)


def test_run_is_not_refused_when_its_end_is_not_listed_yet():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        await entry.order(1)
        world.upstream.silent_starts = 1
        world.upstream.refusal = RUN_ALREADY_ENDED
        world.upstream.lists = False
        await entry.order(2, RunOrder(TASK, 1, "x", ""))
        await world.until(lambda: ("stop", TASK, 1, 1) in world.upstream.calls)
        await asyncio.sleep(0.3)
        world.upstream.ended.append(EndReport(1, TASK, 1, "done", ""))
        world.upstream.lists = True
        await world.until(lambda: entry.reports[-1].upstreams[0].ended)
        await asyncio.sleep(0.3)
        assert refusals(entry) == []

    play(scenario)


def test_refused_run_is_stopped_first_when_it_was_ordered_from_an_earlier_agent():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        world.upstream.refusal = "room"
        await entry.order(1, RunOrder(TASK, 1, "x", ""))
        await world.until(lambda: refusals(entry))
        assert ("stop", TASK, 1, 1) in world.upstream.calls

    play(scenario)


def test_refused_run_is_reported_at_once_when_all_its_calls_were_answered():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        await entry.order(1)
        world.upstream.refusal = "room"
        await entry.order(2, RunOrder(TASK, 1, "x", ""))
        await world.until(lambda: refusals(entry))
        assert ("stop", TASK, 1, 1) not in world.upstream.calls

    play(scenario)


def doubt_s(agent: VmAgent) -> float:
    session = next(iter(agent._sessions.values()))
    return session.report().lease_uncertainty_s


def test_calls_that_were_never_sent_leave_no_doubt():
    async def scenario(world, agent):
        entry = await ready(world, agent)
        await entry.order(1)
        world.upstream.is_reachable = False
        await entry.order(2, RunOrder(TASK, 1, "x", ""))
        await asyncio.sleep(0.5)
        assert doubt_s(agent) == 0.0

    play(scenario)


def test_doubt_does_not_grow_when_later_calls_are_never_sent():
    async def scenario(world, agent):
        await ready(world, agent)
        world.upstream.lists = False
        await world.until(lambda: doubt_s(agent))
        world.upstream.is_reachable = False
        await asyncio.sleep(0.2)
        before_s = doubt_s(agent)
        await asyncio.sleep(0.5)
        assert doubt_s(agent) < before_s - 0.4

    play(scenario)


def test_upstream_that_is_out_of_reach_is_given_up_when_its_lease_has_lapsed(
    monkeypatch,
):
    monkeypatch.setattr(session_module, "HOLD_TIMEOUT_S", 0.2)

    async def scenario(world, agent):
        agent.set_max_lease(0.5)
        entry = await ready(world, agent)
        await world.until(lambda: any(world.upstream.leases))
        world.upstream.is_reachable = False
        await world.until(lambda: entry.reports[-1].ended_keys, 3.0)

    play(scenario)


def test_leases_on_a_draining_upstream_are_short():
    async def scenario(world, agent):
        await ready(world, agent)
        agent.handle_check_in(check_in(sequence=2, draining=True, remaining_ms=2000))
        world.upstream.leases.clear()
        await world.until(lambda: any(world.upstream.leases))
        longest_ms = max(one for one in world.upstream.leases if one)
        assert longest_ms - world.upstream.clock_ms < 4_600

    play(scenario)
