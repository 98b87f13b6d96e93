"""Runs the long jobs of the log that this entry owns, and takes over orphaned ones."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from ...protocol.outcome import Outcome, unknown

if TYPE_CHECKING:
    from ...state.job_projection import StoredJob
    from .entry import Entry

CHECK_INTERVAL_S = 0.5
INVENTORY_WAIT_S = 3.0


class JobSupervisor:
    """Starts, takes over and ends long jobs.

    The entry that accepted a job owns it. When that entry is gone, rendezvous hashing
    over the live entries selects another, which first looks for a running attempt.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._began_s = time.monotonic()
        self._orphaned_s: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.wake = asyncio.Event()

    async def run(self) -> None:
        """Check all open jobs until cancelled, regularly and whenever `wake` is set."""
        while True:
            try:
                await asyncio.wait_for(self.wake.wait(), CHECK_INTERVAL_S)
            except TimeoutError:
                pass
            self.wake.clear()
            for job in list(self._entry.jobs.open_jobs.values()):
                self._supervise(job)

    def owns(self, job: StoredJob) -> bool:
        """Return whether this entry is to run a job.

        While it drains, it runs none of the jobs that it accepted itself.
        """
        entry = self._entry
        if job.owner == entry.incarnation:
            return not entry.is_draining
        if job.owner in entry.membership.live_incarnations():
            return False
        return entry.membership.fallback_owner(job.spec.id) == entry.cfg.name

    def _supervise(self, job: StoredJob) -> None:
        entry, job_id = self._entry, job.spec.id
        runner = entry.requests.runners.get(job_id)
        if job_id in entry.jobs.cancelled and runner is not None:
            runner.cancel()
        has_ended = entry.requests.outcome(job.spec.workspace, job_id) is not None
        if runner is not None or has_ended or not self.owns(job):
            self._orphaned_s.pop(job_id, None)
            return
        attempt = self._newest_attempt(job_id)
        if attempt is None and not self._may_start(job):
            return
        self._orphaned_s.pop(job_id, None)
        if attempt is None and not self._is_safe_to_start(job):
            lost = unknown("owner_lost", "check at the worker whether it took effect")
            entry.append_outcome(job.spec, lost)
            return
        self._spawn(self._run(job, attempt))

    def _may_start(self, job: StoredJob) -> bool:
        """Return whether a job may be started that has no known attempt.

        An orphaned job waits for `INVENTORY_WAIT_S`, in which all agents report their
        inventories, so that an attempt of the former owner is found.
        """
        if job.owner == self._entry.incarnation:
            return True
        since_s = self._orphaned_s.setdefault(job.spec.id, time.monotonic())
        return time.monotonic() - since_s > INVENTORY_WAIT_S

    def _is_safe_to_start(self, job: StoredJob) -> bool:
        """Return whether a job may start although an earlier owner may have run it."""
        return job.spec.idempotent or job.owner == self._entry.incarnation

    def _newest_attempt(self, job_id: str) -> tuple[str, dict[int, str]] | None:
        attempts = self._entry.membership.attempts_of(job_id)
        if not attempts:
            return None
        newest = max(attempts, key=lambda name: (len(attempts[name]), name))
        return newest, attempts[newest]

    async def _run(
        self, job: StoredJob, attempt: tuple[str, dict[int, str]] | None
    ) -> None:
        entry = self._entry
        outcome: Outcome | None = await entry.requests.start(
            job.spec, job.work, running_attempt=attempt
        )
        if outcome is not None:
            entry.append_outcome(job.spec, outcome)

    def _spawn(self, coroutine: object) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)


__all__ = ["JobSupervisor"]
