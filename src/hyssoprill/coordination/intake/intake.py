"""Stores, cancels and looks up the durable jobs that callers submit to this entry."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec

from ...clock import boottime_s
from ...errors import (
    JobTooLargeError,
    NeverFitsError,
    StoreError,
    StoreInDoubtError,
    StoreRefusedError,
    StoreRejectedError,
)
from ...logs import decision
from ...ports.store import DEFAULT_RECORD_BYTES, Record, first_batch
from ...state.job_table import CANCEL_PREFIX, JOB_PREFIX

if TYPE_CHECKING:
    from ...ports.store import StorePort
    from ...protocol.job import Job, Step
    from ...state.job_table import JobState
    from ..planner.replica import Replica
    from .relay import AppendRelay

IN_DOUBT_TTL_S = 20.0
"""How long an append without an answer counts as one that may still be carried out;
above the 12 s within which late calls are carried out (PROTOCOL, "Running tasks")."""
MIN_RETRY_AFTER_S = 1
MAX_RETRY_AFTER_S = 3
MAX_READ_AGE_S = 1.0
"""A job is reported as unknown only where the last read is at most this old."""
CATCH_UP_S = 0.5
"""How long a lookup of an unknown job waits for the next read of the store."""


class JobIntake:
    """Accepts, cancels and looks up the jobs that callers submit to this entry.

    Parameters
    ----------
    store : StorePort
        Where a job is stored before it is accepted.
    replica : Replica
        This entry's copy of the stored jobs.
    relay : AppendRelay
        Appends through another entry while this one cannot reach the store.
    record_bytes : int
        Largest size of a record that the store accepts.
    """

    def __init__(
        self,
        store: StorePort,
        replica: Replica,
        relay: AppendRelay,
        *,
        record_bytes: int = DEFAULT_RECORD_BYTES,
    ) -> None:
        self._store = store
        self._record_bytes = record_bytes
        self._relay = relay
        self._replica = replica
        self._queued: list[tuple[Record, asyncio.Future[None]]] = []
        self._wake = asyncio.Event()
        self._in_doubt_since_s: dict[str, float] = {}

    async def run(self) -> None:
        """Append queued records until cancelled, as many in one call as fit."""
        while True:
            while self._queued:
                await self._append(self._take_batch())
            await self._wake.wait()
            self._wake.clear()

    def _take_batch(self) -> list[tuple[Record, asyncio.Future[None]]]:
        """Remove and return the oldest queued records that fit into one append."""
        count = first_batch(record for record, _fut in self._queued)
        batch = self._queued[:count]
        del self._queued[:count]
        return batch

    async def accept(self, job: Job) -> None:
        """Store a job; a repeat of its id changes nothing.

        Raises
        ------
        JobTooLargeError
            Where the job does not fit into a record of the store.
        NeverFitsError
            Where no upstream seen so far is large enough for one of its tasks.
        StoreRefusedError
            Where the job is certainly not stored.
        StoreInDoubtError
            Where the job may have been stored.
        """
        if job.id in self._replica.job_table.jobs:
            decision("job_repeated", job=job.id, queue=job.queue)
            return
        record = Record(JOB_PREFIX + job.id, msgspec.json.encode(job))
        if record.size > self._record_bytes:
            raise JobTooLargeError(
                f"the job takes {record.size} bytes in the store, which accepts "
                f"{self._record_bytes}",
                remedy="submit fewer steps per job",
            )
        if not self._is_in_doubt(job.id):
            self._check_capacities(job)
        began_s = boottime_s()
        try:
            await self._enqueue(record)
        except StoreInDoubtError:
            self._in_doubt_since_s[job.id] = began_s
            raise
        except StoreRefusedError as exc:
            if self._is_in_doubt(job.id):
                raise StoreInDoubtError(
                    f"an earlier append of this job may be carried out: {exc.message}"
                ) from exc
            raise
        decision(
            "job_accepted",
            job=job.id,
            queue=job.queue,
            workspace=job.workspace,
            priority=job.priority,
            steps=[_step_log_fields(step) for step in job.steps],
            times=job.times,
            stretch=job.stretch,
            target_latency_ms=job.target_latency_ms,
            took_s=round(boottime_s() - began_s, 4),
        )

    def _check_capacities(self, job: Job) -> None:
        capacities = self._replica.job_table.known_capacities
        for number, step in enumerate(job.steps):
            if not capacities.may_fit(job.group, step.need):
                raise NeverFitsError(
                    f"a task of step {number} is larger than every upstream",
                    remedy="request fewer resources, or wait for larger upstreams",
                )

    async def cancel(self, job_id: str) -> bool:
        """Store that a job is cancelled; return False where no such job exists.

        Raises
        ------
        StoreError
            Where the cancellation is not stored, or this entry's copy is too old to
            tell whether the job exists.
        """
        job_state = await self.find(job_id)
        if job_state is None:
            return False
        if not job_state.is_finished:
            await self._enqueue(Record(CANCEL_PREFIX + job_id, b"{}"))
            decision("job_cancelled", job=job_id)
        return True

    async def find(self, job_id: str) -> JobState | None:
        """Return a job, or None where no job with that id is stored.

        Raises
        ------
        StoreRefusedError
            Where this entry's copy is too old to tell.
        """
        job_state = self._replica.job_table.jobs.get(job_id)
        if job_state is None and self._replica.age_s > MAX_READ_AGE_S:
            await asyncio.sleep(CATCH_UP_S)
            job_state = self._replica.job_table.jobs.get(job_id)
            if job_state is None and self._replica.age_s > MAX_READ_AGE_S:
                raise StoreRefusedError(
                    "this entry has not read the store recently",
                    remedy="send the call again",
                )
        return job_state

    @property
    def retry_after_s(self) -> int:
        """Seconds after which a refused caller should retry.

        An outage is expected to go on for as long as it has already lasted; the value
        is kept between `MIN_RETRY_AFTER_S` and `MAX_RETRY_AFTER_S`.
        """
        outage_s = round(self._replica.store_unreachable_s)
        return min(max(outage_s, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S)

    def _is_in_doubt(self, job_id: str) -> bool:
        """Return whether an unanswered append of a job may still be carried out."""
        now_s = boottime_s()
        for expired in [
            one
            for one, at in self._in_doubt_since_s.items()
            if now_s - at > IN_DOUBT_TTL_S
        ]:
            del self._in_doubt_since_s[expired]
        return job_id in self._in_doubt_since_s

    def count_waiting(self, queue: str) -> int:
        """Return how many jobs of a queue have no task started."""
        return sum(
            job_state.job.queue == queue
            and not job_state.has_started
            and not job_state.is_finished
            for job_state in self._replica.job_table.active.values()
        )

    async def _enqueue(self, record: Record) -> None:
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._queued.append((record, fut))
        self._wake.set()
        await fut

    async def _append(self, batch: list[tuple[Record, asyncio.Future[None]]]) -> None:
        records = [record for record, _fut in batch]
        try:
            offset = await self._append_or_relay(records)
            self._replica.apply_appended(offset, records)
        except StoreRejectedError as exc:
            if len(batch) == 1:
                _fail_batch(batch, exc)
                return
            # Records that the store takes must not fail for one that it does not.
            for one in batch:
                await self._append([one])
            return
        except StoreError as exc:
            _fail_batch(batch, exc)
            return
        except Exception:
            _fail_batch(batch, StoreInDoubtError("the append failed unexpectedly"))
            raise
        for _record, fut in batch:
            if not fut.done():
                fut.set_result(None)

    async def _append_or_relay(self, records: list[Record]) -> int:
        """Append directly, or through a peer where that fails or is in doubt.

        If the direct append is in doubt and the peers refuse, it stays in doubt.
        """
        doubt: StoreInDoubtError | None = None
        if not self._replica.store_unreachable_s:
            try:
                return await self._store.append("jobs", records)
            except StoreInDoubtError as exc:
                doubt = exc
            except StoreRejectedError:
                raise
            except StoreRefusedError as exc:
                decision("append_refused", records=len(records), why=str(exc))
        try:
            return await self._relay.append(records)
        except StoreRefusedError as exc:
            if doubt is not None:
                raise doubt from exc
            raise


def _step_log_fields(step: Step) -> dict[str, Any]:
    """Return the fields of a step for the log line of an accepted job."""
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
        "after": step.after,
        "flags": [name for name, is_set in flags.items() if is_set],
        "places": [step.label, step.data_rack, step.max_per_upstream],
    }


def _fail_batch(
    batch: list[tuple[Record, asyncio.Future[None]]], exc: StoreError
) -> None:
    for _record, fut in batch:
        if not fut.done():
            fut.set_exception(exc)


__all__ = ["JobIntake"]
