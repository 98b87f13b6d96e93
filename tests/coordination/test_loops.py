"""Tests that each long-lived loop goes on after an exception that nobody expects."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest
from standins.job_store import MemoryStore

from hyssoprill.clock import boottime_s
from hyssoprill.coordination.intake.service import DurableJobService
from hyssoprill.coordination.planner.election import CLAIM_PAUSE_S, GRANT_WINDOW_S
from hyssoprill.coordination.planner.fleet import MAX_SILENCE_S
from hyssoprill.coordination.upstream.vm_agent import VmAgent
from hyssoprill.errors import StoreInDoubtError
from hyssoprill.job_settings import JobBounds
from hyssoprill.ports.store import Record
from hyssoprill.ports.upstream import CheckIn, RunListing, StartAnswer
from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import Grant, RelayResult, VmReport
from hyssoprill.state.operator_config import OperatorConfig
from hyssoprill.transport.frame import FrameCodec
from hyssoprill.transport.link import LinkHub
from hyssoprill.transport.metrics import Metrics

KEY = "5f" * 32
BOUNDS = JobBounds(key_revocation_ms=5000, stop_grace_s=6.0)


class Fault:
    """Replaces a method; calls that it is made for fail once."""

    def __init__(self, owner: Any, name: str, *args: object) -> None:
        self.hits = 0
        self._original = getattr(owner, name)
        self._args = args
        self._is_async = asyncio.iscoroutinefunction(self._original)
        setattr(owner, name, self._call_async if self._is_async else self._call)

    def _fail_once(self, args: tuple[object, ...]) -> None:
        if args[: len(self._args)] == self._args and not self.hits:
            self.hits += 1
            raise RuntimeError("unexpected")

    def _call(self, *args: Any, **fields: Any) -> Any:
        self._fail_once(args)
        return self._original(*args, **fields)

    async def _call_async(self, *args: Any, **fields: Any) -> Any:
        self._fail_once(args)
        return await self._original(*args, **fields)


class FakeUpstream:
    """Upstream port that accepts each start."""

    def __init__(self) -> None:
        self.started: list[tuple[str, int]] = []
        self.renewals = 0

    async def start(self, order, **_fields):
        self.started.append((order.task, order.run))
        return StartAnswer(True, "")

    async def stop(self, *_run, **_fields):
        return True

    async def renew_lease(self, **_fields):
        self.renewals += 1
        await asyncio.sleep(0.02)
        return RunListing(1_000_000 + self.renewals, (), ())

    def close(self) -> None:
        """Do nothing."""


async def wait_until(condition, timeout_s: float = 5.0):
    async with asyncio.timeout(timeout_s):
        while not (value := condition()):
            await asyncio.sleep(0.01)
    return value


def make_service(store: MemoryStore, name: str = "entry-1") -> DurableJobService:
    def build(records):
        return OperatorConfig(version=1 + len(records))

    metrics = Metrics("entry", name)
    return DurableJobService(
        name, "127.0.0.1", 0, KEY, store, build, metrics, bounds=BOUNDS
    )


def make_agent(store: MemoryStore, upstream: FakeUpstream) -> VmAgent:
    return VmAgent(
        "vm-1",
        KEY,
        store,
        lambda _check_in: upstream,
        Metrics("agent", "vm-1"),
        max_lease_s=6.0,
    )


def make_job(job_id: str) -> Job:
    steps = (Step(need=ResourceAmounts(1, 100, 100), estimate_ms=100),)
    return Job(job_id, "q", "g", "w", 1, 2, 3.0, 1000, 0, "x", steps)


def check_in() -> CheckIn:
    capacity = ResourceAmounts(8, 64_000, 262_144)
    address = "127.0.0.1:1"
    return CheckIn("i-1", 100, 1, address, "g", "z", False, capacity, ("a", "r1"))


def run_system(scenario) -> None:
    """Run a coroutine function with an entry, an agent and its upstream."""

    async def main() -> None:
        store, upstream = MemoryStore(), FakeUpstream()
        async with make_service(store) as service, make_agent(store, upstream) as agent:
            agent.handle_check_in(check_in())
            await wait_until(lambda: service.election.term and agent._planner)
            await scenario(store, service, agent, upstream)

    asyncio.run(main())


async def assert_serves(service, upstream, job_id: str = "b2") -> None:
    """Assert that a job is accepted and started."""
    await service.intake.accept(make_job(job_id))
    await wait_until(lambda: (f"{job_id}.0.0.0", 1) in upstream.started, 8.0)


@pytest.mark.parametrize("topic", ["jobs", "operator", "members"])
def test_entry_follows_a_topic_after_a_read_that_failed(topic):
    async def scenario(store, service, agent, upstream):
        fault = Fault(store, "read", topic)
        url = "tcp://127.0.0.1:9009"
        await store.append("operator", [Record("x", b"{}")])
        await store.append("members", [Record("entry-9", url.encode())])
        await store.append("jobs", [Record("job/x", b"{}")])
        await wait_until(lambda: fault.hits)
        await store.append("operator", [Record("y", b"{}")])
        await store.append("members", [Record("entry-8", url.encode())])
        await store.append("jobs", [Record("job/y", b"{}")])
        await wait_until(lambda: service.config_watcher.current.version == 3)
        for watcher in (service._entry_watcher, agent._entries):
            await wait_until(lambda one=watcher: one.link_urls.get("entry-8") == url)
        await wait_until(lambda: "job/y" in service.replica.job_table._offsets)
        await wait_until(lambda: service.is_ready)
        await assert_serves(service, upstream)

    run_system(scenario)


def test_entry_applies_the_records_after_one_that_broke_off_a_page():
    async def scenario(store, service, _agent, upstream):
        fault = Fault(service.replica.job_table, "_apply_job")
        fault._args = ("a1",)
        await service._store.append(
            "jobs",
            [
                Record("job/a1", b"{}"),
                Record("cancel/c3", b"{}"),
                Record("job/unknown", b"{}"),
            ],
        )
        await wait_until(lambda: fault.hits)
        await assert_serves(service, upstream)
        assert "cancel/c3" in service.replica.job_table._offsets

    run_system(scenario)


def test_entry_keeps_its_config_after_one_that_could_not_be_built():
    async def scenario(store, service, _agent, _upstream):
        fault = Fault(service.config_watcher, "_build_config")
        await store.append("operator", [Record("x", b"{}")])
        await wait_until(lambda: fault.hits)
        assert service.config_watcher.current.version == 1
        await wait_until(lambda: service.config_watcher.age_s < 0.5)
        await store.append("operator", [Record("y", b"{}")])
        await wait_until(lambda: service.config_watcher.current.version == 3)

    run_system(scenario)


def test_entry_accepts_jobs_after_an_append_that_failed():
    async def scenario(_store, service, _agent, upstream):
        fault = Fault(service.intake, "_append_or_relay")
        with pytest.raises(StoreInDoubtError):
            async with asyncio.timeout(1.0):
                await service.intake.accept(make_job("a1"))
        assert fault.hits
        await assert_serves(service, upstream)

    run_system(scenario)


def test_entry_accepts_jobs_that_came_while_an_append_failed():
    async def scenario(_store, service, _agent, upstream):
        Fault(service.intake, "_append_or_relay")
        first = asyncio.ensure_future(service.intake.accept(make_job("a1")))
        await asyncio.sleep(0.02)
        await assert_serves(service, upstream)
        with pytest.raises(StoreInDoubtError):
            await first

    run_system(scenario)


@pytest.mark.parametrize(
    ("owner", "name"), [("election", "_renew"), ("_planner", "run_round")]
)
def test_entry_plans_after_a_failure_of_its_election_or_planner(owner, name):
    async def scenario(_store, service, _agent, upstream):
        fault = Fault(getattr(service, owner), name)
        await wait_until(lambda: fault.hits)
        await asyncio.sleep(2 * GRANT_WINDOW_S)
        await wait_until(lambda: service.election.may_grant)
        await assert_serves(service, upstream)

    run_system(scenario)


def test_entry_announces_itself_and_sends_after_a_failure():
    async def main() -> None:
        store, upstream = MemoryStore(), FakeUpstream()
        announcement = Fault(store, "append", "members")
        async with make_service(store) as service, make_agent(store, upstream) as agent:
            agent.handle_check_in(check_in())
            sending = Fault(service._hub, "send")
            await wait_until(lambda: announcement.hits and sending.hits)
            await assert_serves(service, upstream)

    asyncio.run(main())


def test_agent_reports_after_a_report_that_failed():
    async def scenario(_store, service, agent, upstream):
        fault = Fault(agent, "_remove_ended_sessions")
        await wait_until(lambda: fault.hits)
        await asyncio.sleep(MAX_SILENCE_S)
        await assert_serves(service, upstream)

    run_system(scenario)


def test_session_renews_its_lease_after_a_renewal_that_failed():
    async def scenario(_store, service, agent, upstream):
        session = next(iter(agent._sessions.values()))
        fault = Fault(session, "_apply_listing")
        await wait_until(lambda: fault.hits)
        before = upstream.renewals
        await wait_until(lambda: upstream.renewals > before + 2)
        await assert_serves(service, upstream)

    run_system(scenario)


def test_session_repeats_a_start_that_failed_and_counts_it_as_in_doubt():
    async def scenario(_store, service, agent, upstream):
        session = next(iter(agent._sessions.values()))
        Fault(upstream, "start")
        await assert_serves(service, upstream)
        assert ("b2.0.0.0", 1) in session.start_calls.in_doubt
        assert session.in_doubt_s > 0

    run_system(scenario)


def test_links_go_on_after_a_frame_that_failed():
    received: list[Any] = []

    async def record(envelope) -> None:
        received.append(envelope.body)

    async def main() -> None:
        def make_hub(name: str) -> LinkHub:
            return LinkHub(FrameCodec(KEY, name, "1"), record, Metrics("e", name))

        async with make_hub("near") as near, make_hub("far") as far:
            near.dial("far", far.listen("127.0.0.1", 0))
            faults = [Fault(hub, "_decode_frame") for hub in (near, far)]
            async with asyncio.timeout(8.0):
                while {one.token for one in received} != {"near", "far"}:
                    await near.send("far", RelayResult("near", "stored", 0))
                    await far.send("near", RelayResult("far", "stored", 0))
                    await asyncio.sleep(0.02)
                    if not all(one.hits for one in faults):
                        received.clear()

    asyncio.run(main())


def test_entry_answers_an_agent_after_a_message_that_failed():
    async def main() -> None:
        answers: list[Any] = []

        async def record(envelope) -> None:
            answers.append(envelope.body)

        async with make_service(MemoryStore()) as service:
            await wait_until(lambda: service.election.term)
            fault = Fault(service._planner, "handle_report")
            codec = FrameCodec(KEY, "vm-9", "1")
            async with LinkHub(codec, record, Metrics("a", "vm-9")) as hub:
                hub.dial("entry-1", service.link_url)
                async with asyncio.timeout(5.0):
                    while not any(isinstance(one, Grant) for one in answers):
                        report = VmReport("vm-9", boottime_s(), 1, [], [])
                        await hub.send("entry-1", report)
                        await asyncio.sleep(0.02)
            assert fault.hits

    asyncio.run(main())


def test_entry_whose_planner_fails_gives_up_the_term_to_another():
    """It kept the term, and no entry planned anything any more."""

    async def main() -> None:
        store, upstream = MemoryStore(), FakeUpstream()
        async with (
            make_service(store, "entry-1") as first,
            make_agent(store, upstream) as agent,
        ):
            agent.handle_check_in(check_in())
            await wait_until(lambda: first.election.term)

            async def fail() -> None:
                raise RuntimeError("unexpected")

            first._planner.run_round = fail
            async with make_service(store, "entry-2") as second:
                await wait_until(lambda: second.election.term, 3.0)
                assert not first.election.term
                await assert_serves(first, upstream)
                assert second.election.term

    asyncio.run(main())


def test_only_entry_plans_again_after_its_planner_has_failed():
    async def scenario(_store, service, _agent, upstream):
        fault = Fault(service._planner, "run_round")
        began_s = await wait_until(lambda: fault.hits and boottime_s())
        await wait_until(lambda: not service.election.term)
        await assert_serves(service, upstream)
        assert boottime_s() - began_s > CLAIM_PAUSE_S

    run_system(scenario)
