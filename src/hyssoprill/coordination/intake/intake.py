"""Takes jobs in, cancels them and tells what became of them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from ...clock import boottime_s
from ...errors import (
    NeverFitsError,
    StoreError,
    StoreInDoubtError,
    StoreRefusedError,
)
from ...logs import decision
from ...ports.store import MAX_BATCH_BYTES, Record
from ...state.job_table import CANCEL_PREFIX, JOB_PREFIX

if TYPE_CHECKING:
    from ...ports.store import StorePort
    from ...protocol.job import Job, Step
    from ...state.job_table import JobState
    from ..planner.replica import Replica
    from .relay import Relay

DOUBT_KEPT_S = 20.0
"""Appends without an answer may be carried out until then; above the 12 s in which
PROTOCOL, "Running tasks", has late calls carried out."""
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 3
FRESH_S = 1.0
"""An unknown job is said not to exist on evidence of at most this age."""
CATCH_UP_S = 0.5


class JobIntake:
    """Answers for the jobs that callers bring to this entry.

    Parameters
    ----------
    store : StorePort
        Where jobs are stored before they are accepted.
    replica : Replica
        What is stored.
    relay : Relay
        Appends where the store is out of reach from here.
    """

    def __init__(self, store: StorePort, replica: Replica, relay: Relay) -> None:
        self._store = store
        self._relay = relay
        self._replica = replica
        self._waiting: list[tuple[Record, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()
        self._doubtful_s: dict[str, float] = {}

    async def run(self) -> None:
        """Append what callers brought, many records in one call; for ever."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            while self._waiting:
                await self._append(self._take_batch())

    def _take_batch(self) -> list[tuple[Record, asyncio.Future[None]]]:
        """Take records from the front that fit into one append."""
        size, count = 0, 0
        for record, _fut in self._waiting:
            size += len(record.value)
            if count and size > MAX_BATCH_BYTES:
                break
            count += 1
        batch = self._waiting[:count]
        del self._waiting[:count]
        return batch

    async def accept(self, job: Job) -> None:
        """Store a job; a repeat of its id changes nothing.

        Raises
        ------
        NeverFitsError
            Where no upstream that was ever seen could run one of its tasks.
        StoreRefusedError
            Where the job is surely not accepted.
        StoreInDoubtError
            Where it may have been accepted.
        """
        if job.id in self._replica.ledger.jobs:
            decision("job_repeated", job=job.id, queue=job.queue)
            return
        if not self._is_doubtful(job.id):
            self._check_sizes(job)
        began_s = boottime_s()
        try:
            await self._put(Record(JOB_PREFIX + job.id, msgspec.json.encode(job)))
        except StoreInDoubtError:
            self._doubtful_s[job.id] = began_s
            raise
        except StoreRefusedError as exc:
            if self._is_doubtful(job.id):
                raise StoreInDoubtError(f"an earlier append: {exc.message}") from exc
            raise
        decision(
            "job_accepted",
            job=job.id,
            queue=job.queue,
            workspace=job.workspace,
            priority=job.priority,
            steps=[_describe(step) for step in job.steps],
            times=job.times,
            took_s=round(boottime_s() - began_s, 4),
        )

    def _check_sizes(self, job: Job) -> None:
        sizes = self._replica.ledger.known_capacities
        for number, step in enumerate(job.steps):
            if not sizes.may_fit(job.group, step.need):
                raise NeverFitsError(
                    f"a task of step {number} is larger than every upstream",
                    remedy="ask for less, or wait for larger upstreams",
                )

    async def cancel(self, job_id: str) -> bool:
        """Store that a job is cancelled; return False where none is known.

        Raises
        ------
        StoreError
            Where it is not stored, or it is not known whether it exists.
        """
        entry = await self.find(job_id)
        if entry is None:
            return False
        if not entry.is_finished:
            await self._put(Record(CANCEL_PREFIX + job_id, b"{}"))
            decision("job_cancelled", job=job_id)
        return True

    async def find(self, job_id: str) -> JobState | None:
        """Return a job, or None where none with that id is stored.

        Raises
        ------
        StoreRefusedError
            Where this entry does not know.
        """
        entry = self._replica.ledger.jobs.get(job_id)
        if entry is None and self._replica.age_s > FRESH_S:
            await asyncio.sleep(CATCH_UP_S)
            entry = self._replica.ledger.jobs.get(job_id)
            if entry is None and self._replica.age_s > FRESH_S:
                raise StoreRefusedError(
                    "the store was not read lately", remedy="ask again"
                )
        return entry

    @property
    def retry_after_s(self) -> int:
        """When a refused caller is best to come back.

        An outage is expected to last about as long again as it has lasted.
        """
        lost_for_s = round(self._replica.store_unreachable_s)
        return min(max(lost_for_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _is_doubtful(self, job_id: str) -> bool:
        """Tell whether an append of a job had no answer lately."""
        now_s = boottime_s()
        for known in [
            one for one, at in self._doubtful_s.items() if now_s - at > DOUBT_KEPT_S
        ]:
            del self._doubtful_s[known]
        return job_id in self._doubtful_s

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have no task started."""
        return sum(
            entry.job.queue == queue and not entry.has_started and not entry.is_finished
            for entry in self._replica.ledger.active.values()
        )

    async def _put(self, record: Record) -> None:
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((record, fut))
        self._wake.set()
        await fut

    async def _append(self, batch: list[tuple[Record, asyncio.Future[None]]]) -> None:
        records = [record for record, _fut in batch]
        try:
            offset = await self._append_somehow(records)
        except StoreError as exc:
            _fail(batch, exc)
            return
        self._replica.apply_appended(offset, records)
        for _record, fut in batch:
            if not fut.done():
                fut.set_result(None)

    async def _append_somehow(self, records: list[Record]) -> int:
        """Append by this entry's own way, or by a peer's where that is cut."""
        doubt: StoreInDoubtError | None = None
        if not self._replica.store_unreachable_s:
            try:
                return await self._store.append("jobs", records)
            except StoreInDoubtError as exc:
                doubt = exc
            except StoreRefusedError as exc:
                decision("append_refused", records=len(records), why=str(exc))
        try:
            return await self._relay.append(records)
        except StoreRefusedError as exc:
            if doubt is not None:
                raise doubt from exc
            raise


def _describe(step: Step) -> dict[str, Any]:
    """Return what a log reader needs to know of a step."""
    need = step.need
    flags = {
        "gang": step.gang,
        "rack_sensitive": step.rack_sensitive,
        "checkpoints": step.checkpoints,
        "speculative": step.speculative,
        "long_running": step.long_running,
    }
    return {
        "count": step.count,
        "need": [need.accelerators, need.millicores, need.memory_mb],
        "estimate_ms": step.estimate_ms,
        "flags": [name for name, is_set in flags.items() if is_set],
        "places": [step.label, step.data_rack, step.max_per_upstream],
    }


def _fail(batch: list[tuple[Record, asyncio.Future[None]]], exc: StoreError) -> None:
    for _record, fut in batch:
        if not fut.done():
            fut.set_exception(exc)


__all__ = ["JobIntake"]
