from __future__ import annotations

import asyncio
import time

import msgspec
import pytest
from standins.job_store import MemoryStore

from hyssoprill.coordination.intake.intake import JobIntake
from hyssoprill.coordination.planner.replica import Replica
from hyssoprill.errors import NeverFitsError, StoreInDoubtError, StoreRefusedError
from hyssoprill.ports.store import Record
from hyssoprill.protocol.job import ZERO_AMOUNTS, Job, ResourceAmounts, Step
from hyssoprill.state.job_table import SIZES_KEY
from hyssoprill.state.known_capacities import KnownCapacities
from hyssoprill.tasks import cancel_all

NAME = "00000000000000a1"


def job(name: str = NAME, *, need: ResourceAmounts = ZERO_AMOUNTS) -> Job:
    return Job(name, "q", "g", "w", 1, 2, 3.0, 1000, 0, "x", (Step(need=need),))


class Peer:
    """A peer by whose way records are appended, or no peer at all."""

    def __init__(self, store: MemoryStore | None = None) -> None:
        self.store = store
        self.appended = 0

    async def append(self, records):
        if self.store is None:
            raise StoreRefusedError("no peer")
        self.appended += len(records)
        return await self.store.append("jobs", records)


def play(scenario, peer: Peer | None = None) -> None:
    peer = peer or Peer()

    async def body() -> None:
        store = MemoryStore()
        replica = Replica(store, lambda: None)
        intake = JobIntake(store, replica, peer)
        tasks = [asyncio.ensure_future(one.run()) for one in (replica, intake)]
        await asyncio.sleep(0.05)
        try:
            await scenario(store, replica, intake)
        finally:
            await cancel_all(tasks)

    asyncio.run(body())


def test_job_larger_than_every_upstream_is_refused_and_not_stored():
    async def scenario(store, replica, intake):
        sizes = KnownCapacities().extended([("g", ResourceAmounts(8, 64_000, 1000))])
        await store.append("jobs", [Record(SIZES_KEY, msgspec.json.encode(sizes))])
        await replica.read_once(0.0)
        before = store.writes
        with pytest.raises(NeverFitsError):
            await intake.accept(job(need=ResourceAmounts(9, 1000, 1000)))
        assert store.writes == before
        await intake.accept(job(need=ResourceAmounts(8, 1000, 1000)))

    play(scenario)


def test_job_of_a_group_not_seen_yet_is_accepted():
    async def scenario(store, replica, intake):
        sizes = KnownCapacities().extended([("other", ResourceAmounts(1, 1000, 1000))])
        await store.append("jobs", [Record(SIZES_KEY, msgspec.json.encode(sizes))])
        await replica.read_once(0.0)
        await intake.accept(job(need=ResourceAmounts(9, 1000, 1000)))

    play(scenario)


def test_jobs_that_come_together_are_stored_in_one_append():
    async def scenario(store, _replica, intake):
        before = store.writes
        jobs = [job(f"{number:016x}") for number in range(20)]
        await asyncio.gather(*(intake.accept(one) for one in jobs))
        assert store.writes - before <= 2

    play(scenario)


def test_outage_refuses_at_once_without_a_write():
    async def scenario(store, replica, intake):
        store.down = True
        await asyncio.sleep(1.2)
        writes, began = store.writes, time.monotonic()
        with pytest.raises(StoreRefusedError):
            await intake.accept(job())
        assert store.writes == writes
        assert time.monotonic() - began < 0.05

    play(scenario)


def test_job_in_doubt_is_never_said_not_to_be_accepted():
    async def scenario(store, replica, intake):
        store.late_appends = []
        with pytest.raises(StoreInDoubtError):
            await intake.accept(job())
        store.down = True
        await asyncio.sleep(1.2)
        with pytest.raises(StoreInDoubtError):
            await intake.accept(job())
        with pytest.raises(StoreRefusedError):
            await intake.accept(job("00000000000000a2"))

    play(scenario)


def test_retry_after_grows_with_the_outage():
    async def scenario(store, replica, intake):
        assert intake.retry_after_s == 1
        store.down = True
        await asyncio.sleep(2.8)
        assert intake.retry_after_s >= 2

    play(scenario)


def test_unknown_job_is_not_denied_on_old_knowledge():
    async def scenario(store, replica, intake):
        assert await intake.find(NAME) is None
        store.down = True
        await asyncio.sleep(1.9)
        with pytest.raises(StoreRefusedError):
            await intake.find(NAME)

    play(scenario)


def test_cancelled_job_that_is_unknown_writes_nothing():
    async def scenario(store, replica, intake):
        writes = store.writes
        assert not await intake.cancel(NAME)
        assert store.writes == writes

    play(scenario)


def test_job_is_stored_through_a_peer_while_the_store_turns_this_entry_away():
    peer = Peer(MemoryStore())

    async def scenario(store, replica, intake):
        store.down = True
        await intake.accept(job())
        assert peer.appended == 1
        assert replica.ledger.jobs[NAME]

    play(scenario, peer)


def test_job_in_doubt_is_settled_through_a_peer():
    peer = Peer(MemoryStore())

    async def scenario(store, replica, intake):
        store.late_appends = []
        await intake.accept(job())
        assert peer.appended == 1

    play(scenario, peer)
