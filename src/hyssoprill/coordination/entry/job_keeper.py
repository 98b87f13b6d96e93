"""Looks after long jobs of the log that are this entry's to run."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from ...protocol.outcome import Outcome, unknown

if TYPE_CHECKING:
    from ...state.job_projection import StoredJob
    from .entry import Entry

INTERVAL_S = 0.5
INVENTORY_WAIT_S = 3.0


class JobKeeper:
    """Starts, takes over and ends long jobs.

    The entry that took a job in runs it; when it is gone, rendezvous hashing over
    the live entries names another, which first looks for a running attempt.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._began_s = time.monotonic()
        self._orphaned_s: dict[str, float] = {}
        self._ending: set[asyncio.Task[None]] = set()
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Look after jobs for ever."""
        while True:
            try:
                await asyncio.wait_for(self.wake.wait(), INTERVAL_S)
            except TimeoutError:
                pass
            self.wake.clear()
            for job in list(self._entry.jobs.open_jobs.values()):
                self._look_after(job)

    def owns(self, job: StoredJob) -> bool:
        """Tell whether a job is this entry's to run."""
        entry = self._entry
        if job.owner == entry.incarnation:
            return not entry.is_draining
        if job.owner in entry.membership.live_incarnations():
            return False
        return entry.membership.owner_of(job.spec.id) == entry.cfg.name

    def _look_after(self, job: StoredJob) -> None:
        entry, job_id = self._entry, job.spec.id
        runner = entry.requests.runners.get(job_id)
        if job_id in entry.jobs.cancelled and runner is not None:
            runner.cancel()
        has_ended = entry.requests.outcome(job.spec.workspace, job_id) is not None
        if runner is not None or has_ended or not self.owns(job):
            self._orphaned_s.pop(job_id, None)
            return
        found = self._newest_attempt(job_id)
        if found is None and not self._may_start(job):
            return
        self._orphaned_s.pop(job_id, None)
        if found is None and not self._is_safe(job):
            lost = unknown("owner_lost", "find out at the worker's side")
            entry.append_outcome(job.spec, lost)
            return
        self._spawn(self._run(job, found))

    def _may_start(self, job: StoredJob) -> bool:
        """Wait for the inventories of all agents before a taken-over job starts."""
        if job.owner == self._entry.incarnation:
            return True
        since_s = self._orphaned_s.setdefault(job.spec.id, time.monotonic())
        return time.monotonic() - since_s > INVENTORY_WAIT_S

    def _is_safe(self, job: StoredJob) -> bool:
        """Tell whether a job can start although an earlier owner may have done so."""
        return job.spec.idempotent or job.owner == self._entry.incarnation

    def _newest_attempt(self, job_id: str) -> tuple[str, dict[int, str]] | None:
        attempts = self._entry.membership.attempts_of(job_id)
        if not attempts:
            return None
        newest = max(attempts, key=lambda name: (len(attempts[name]), name))
        return newest, attempts[newest]

    async def _run(
        self, job: StoredJob, found: tuple[str, dict[int, str]] | None
    ) -> None:
        entry = self._entry
        outcome: Outcome | None = await entry.requests.start(
            job.spec, job.work, found=found
        )
        if outcome is not None:
            entry.append_outcome(job.spec, outcome)

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)


__all__ = ["JobKeeper"]
