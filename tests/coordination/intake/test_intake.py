"""Tests of accepting, cancelling and looking up durable jobs at one entry."""

from __future__ import annotations

import asyncio
import time

import msgspec
import pytest
from msgspec.structs import replace
from standins.job_store import MemoryStore

from hyssoprill.coordination.intake.intake import JobIntake
from hyssoprill.coordination.planner.replica import Replica
from hyssoprill.errors import (
    JobTooLargeError,
    NeverFitsError,
    StoreInDoubtError,
    StoreRefusedError,
    StoreRejectedError,
)
from hyssoprill.ports.store import Record
from hyssoprill.protocol.job import ZERO_AMOUNTS, Job, ResourceAmounts, Step
from hyssoprill.state.job_table import (
    OPEN,
    SIZES_KEY,
    WAITING,
    StepState,
    TaskState,
)
from hyssoprill.state.known_capacities import KnownCapacities
from hyssoprill.state.step_state import BEGUN, NOT_BEGUN
from hyssoprill.tasks import cancel_all

JOB_ID = "00000000000000a1"


def make_job(job_id: str = JOB_ID, *, need: ResourceAmounts = ZERO_AMOUNTS) -> Job:
    return Job(job_id, "q", "g", "w", 1, 2, 3.0, 1000, 0, "x", (Step(need=need),))


class FakeRelay:
    """Appends to a peer's store, or refuses where it has no peer."""

    def __init__(self, peer_store: MemoryStore | None = None) -> None:
        self.peer_store = peer_store
        self.appended = 0

    async def append(self, records):
        if self.peer_store is None:
            raise StoreRefusedError("no peer")
        self.appended += len(records)
        return await self.peer_store.append("jobs", records)


def run_scenario(scenario, relay: FakeRelay | None = None) -> None:
    relay = relay or FakeRelay()

    async def main() -> None:
        store = MemoryStore()
        replica = Replica(store, lambda: None)
        intake = JobIntake(store, replica, relay)
        tasks = [asyncio.ensure_future(one.run()) for one in (replica, intake)]
        await asyncio.sleep(0.05)
        try:
            await scenario(store, replica, intake)
        finally:
            await cancel_all(tasks)

    asyncio.run(main())


def test_job_larger_than_every_upstream_is_refused_and_not_stored():
    async def scenario(store, replica, intake):
        sizes = KnownCapacities().extended([("g", ResourceAmounts(8, 64_000, 1000))])
        await store.append("jobs", [Record(SIZES_KEY, msgspec.json.encode(sizes))])
        await replica.read_once(0.0)
        before = store.writes
        with pytest.raises(NeverFitsError):
            await intake.accept(make_job(need=ResourceAmounts(9, 1000, 1000)))
        assert store.writes == before
        await intake.accept(make_job(need=ResourceAmounts(8, 1000, 1000)))

    run_scenario(scenario)


def test_jobs_whose_starts_were_refused_are_counted_as_waiting():
    async def scenario(store, replica, intake):
        states = [
            TaskState(WAITING, 3, beginning=NOT_BEGUN),
            TaskState(OPEN, 4, "vm|a:1|1|i", beginning=NOT_BEGUN),
            TaskState(OPEN, 1, "vm|a:1|1|i"),
            TaskState(WAITING, 1, beginning=BEGUN),
        ]
        for number, state in enumerate(states):
            job_id = f"{number:016x}"
            await intake.accept(make_job(job_id))
            value = msgspec.json.encode(StepState((state,)))
            await store.append("jobs", [Record(f"step/{job_id}.0.0", value)])
        await intake.accept(make_job(f"{9:016x}"))
        await asyncio.sleep(0.3)
        assert intake.count_waiting("q") == 3
        jobs = replica.job_table.jobs.values()
        told = [one.status for one in jobs]
        assert told == ["queued", "queued", "running", "running", "queued"]

    run_scenario(scenario)


def test_job_that_does_not_fit_into_a_record_is_refused_and_not_stored():
    # Guards against a limit on the body, which is shorter than the stored job.
    steps = tuple(Step(need=ResourceAmounts(1, 1, 1), after=()) for _ in range(1000))
    large = replace(make_job(), steps=steps, payload="x" * 262_144)

    async def scenario(store, _replica, intake):
        before = store.writes
        with pytest.raises(JobTooLargeError, match="262144"):
            await intake.accept(large)
        assert store.writes == before
        await intake.accept(make_job())

    run_scenario(scenario)


def test_jobs_are_accepted_beside_one_that_the_store_rejects():
    large = replace(make_job(), payload="x" * 262_144)

    async def scenario(store, replica, intake):
        intake._record_bytes = 10**9
        jobs = [make_job(f"{number:016x}") for number in range(5)]
        results = await asyncio.gather(
            *map(intake.accept, [large, *jobs]), return_exceptions=True
        )
        assert isinstance(results[0], StoreRejectedError)
        assert results[1:] == [None] * 5
        assert set(replica.job_table.jobs) == {one.id for one in jobs}

    run_scenario(scenario)


def test_job_of_a_group_without_known_upstreams_is_accepted():
    async def scenario(store, replica, intake):
        sizes = KnownCapacities().extended([("other", ResourceAmounts(1, 1000, 1000))])
        await store.append("jobs", [Record(SIZES_KEY, msgspec.json.encode(sizes))])
        await replica.read_once(0.0)
        await intake.accept(make_job(need=ResourceAmounts(9, 1000, 1000)))

    run_scenario(scenario)


def test_concurrent_jobs_share_an_append():
    async def scenario(store, _replica, intake):
        before = store.writes
        jobs = [make_job(f"{number:016x}") for number in range(20)]
        await asyncio.gather(*(intake.accept(one) for one in jobs))
        assert store.writes - before <= 2

    run_scenario(scenario)


def test_job_is_refused_at_once_without_a_write_during_an_outage():
    async def scenario(store, replica, intake):
        store.down = True
        await asyncio.sleep(1.2)
        writes, began = store.writes, time.monotonic()
        with pytest.raises(StoreRefusedError):
            await intake.accept(make_job())
        assert store.writes == writes
        assert time.monotonic() - began < 0.05

    run_scenario(scenario)


def test_job_in_doubt_is_never_reported_as_refused():
    async def scenario(store, replica, intake):
        store.late_appends = []
        with pytest.raises(StoreInDoubtError):
            await intake.accept(make_job())
        store.down = True
        await asyncio.sleep(1.2)
        with pytest.raises(StoreInDoubtError):
            await intake.accept(make_job())
        with pytest.raises(StoreRefusedError):
            await intake.accept(make_job("00000000000000a2"))

    run_scenario(scenario)


def test_retry_after_grows_with_the_length_of_the_outage():
    async def scenario(store, replica, intake):
        assert intake.retry_after_s == 1
        store.down = True
        await asyncio.sleep(2.8)
        assert intake.retry_after_s >= 2

    run_scenario(scenario)


def test_job_is_not_reported_as_unknown_by_a_stale_replica():
    async def scenario(store, replica, intake):
        assert await intake.find(JOB_ID) is None
        store.down = True
        await asyncio.sleep(1.9)
        with pytest.raises(StoreRefusedError):
            await intake.find(JOB_ID)

    run_scenario(scenario)


def test_cancelling_an_unknown_job_writes_nothing():
    async def scenario(store, replica, intake):
        writes = store.writes
        assert not await intake.cancel(JOB_ID)
        assert store.writes == writes

    run_scenario(scenario)


def test_job_is_stored_through_a_peer_while_the_store_turns_this_entry_away():
    relay = FakeRelay(MemoryStore())

    async def scenario(store, replica, intake):
        store.down = True
        await intake.accept(make_job())
        assert relay.appended == 1
        assert replica.job_table.jobs[JOB_ID]

    run_scenario(scenario, relay)


def test_job_in_doubt_is_settled_through_a_peer():
    relay = FakeRelay(MemoryStore())

    async def scenario(store, replica, intake):
        store.late_appends = []
        await intake.accept(make_job())
        assert relay.appended == 1

    run_scenario(scenario, relay)
