"""Runs one member of an attempt, from its lease to its result."""

from __future__ import annotations

import asyncio
import hashlib
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

import msgspec

from ...errors import WorkerError, WorkerRefusedError
from ...protocol.messages import MemberResult
from ...protocol.outcome import Outcome
from ...state.lease_table import HOLD_TTL_S, HeldLease
from .worker_session import SESSION_TTL_S, TASK_LEASE_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.lease_table import LeaseTable
    from ...transport.worker import WorkerTask
    from .worker_session import WorkerSession

CHECK_INTERVAL_S = 0.25
RETRY_DELAY_S = 0.1
RESULT_WAIT_S = 10.0
GANG_STOP_GRACE_S = 0.5


@dataclass(frozen=True, slots=True)
class MemberEnd:
    """Outcome of a member, and whether its task ran.

    Attributes
    ----------
    ran : bool
        Whether the worker may have started the task.
    preempted : bool
        Whether the task was stopped before it was done, so that it may be restarted.
    """

    outcome: Outcome
    ran: bool
    preempted: bool = False


class MemberRunner:
    """Waits for the gang of one member, then starts, monitors and stops its task.

    Parameters
    ----------
    lease : HeldLease
        Lease of the member. The agent updates it when it receives a stop order or
        learns that the gang is complete.
    session : WorkerSession
        Session with the worker.
    table : LeaseTable
        Table that holds the lease.
    start_blocker : callable
        Returns why no task may start on this upstream now, or ''.
    """

    def __init__(
        self,
        lease: HeldLease,
        session: WorkerSession,
        table: LeaseTable,
        start_blocker: Callable[[], str],
    ) -> None:
        self._lease = lease
        self._session = session
        self._table = table
        self._start_blocker = start_blocker

    async def run(self) -> MemberResult:
        """Run the member and return its result."""
        if self._lease.phase == "held":
            end = (
                await self._wait_for_gang()
                or await self._start()
                or await self._wait_for_end()
            )
        else:
            end = await self._wait_for_end()
        order = self._lease.order
        digest = hashlib.sha256(msgspec.json.encode(end.outcome.answer)).hexdigest()
        return MemberResult(
            order.attempt,
            order.index,
            order.spec.id,
            end.outcome,
            digest,
            end.ran,
            end.preempted,
        )

    async def _wait_for_gang(self) -> MemberEnd | None:
        """Wait until all members of the gang hold leases.

        Returns
        -------
        MemberEnd or None
            None if the gang is complete, else the end of the member, after a stop order
            or after `HOLD_TTL_S`.
        """
        lease = self._lease
        while lease.is_gang and lease.gang_confirmed_s < lease.granted_s:
            if lease.stop_grace_s is not None:
                return _never_ran(lease.stop_reason)
            if time.monotonic() - lease.granted_s > HOLD_TTL_S:
                return _never_ran("gang_not_whole")
            await self._wait_for_change()
        return None

    async def _wait_for_change(self) -> None:
        """Wait until the lease changes, at most for `CHECK_INTERVAL_S`."""
        self._lease.changed.clear()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._lease.changed.wait(), CHECK_INTERVAL_S)

    async def _start(self) -> MemberEnd | None:
        """Check once more whether the task may start, and start it on the worker.

        Returns
        -------
        MemberEnd or None
            None if the worker has the task, else why the task did not start.
        """
        lease = self._lease
        deadline_s = time.monotonic() + SESSION_TTL_S
        sent = False
        while True:
            reason = lease.stop_reason if lease.stop_grace_s is not None else ""
            reason = reason or self._start_blocker()
            if lease.has_lost_gang(time.monotonic()):
                reason = "gang_not_whole"
            if reason and not sent:
                return _never_ran(reason)
            try:
                self._table.set_phase(lease, "running")
                await self._session.start(lease)
                return None
            except WorkerRefusedError as exc:
                return (
                    await self._resolve_start(exc)
                    if sent
                    else _never_ran("worker_refused")
                )
            except WorkerError as exc:
                sent = True
                if time.monotonic() > deadline_s:
                    return await self._resolve_start(exc)
            await asyncio.sleep(RETRY_DELAY_S)

    async def _resolve_start(self, exc: WorkerError) -> MemberEnd | None:
        """Find out whether an unanswered start took effect; return None if it did."""
        deadline_s = time.monotonic() + TASK_LEASE_S
        while time.monotonic() < deadline_s:
            try:
                report = await self._session.result(self._lease, wait_s=0.0)
            except WorkerError:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if report.state != "unknown":
                return None
            if self._session.silence_s < SESSION_TTL_S:
                return _never_ran("worker_refused")
            await asyncio.sleep(RETRY_DELAY_S)
        return _lost(f"start not answered: {exc}")

    async def _wait_for_end(self) -> MemberEnd:
        """Wait for the end of the task; stop it if ordered or if its gang is lost."""
        waiter = asyncio.ensure_future(self._await_result())
        try:
            while not waiter.done():
                if self._must_stop():
                    return await self._stop()
                change = asyncio.ensure_future(self._wait_for_change())
                await asyncio.wait(
                    {waiter, change}, return_when=asyncio.FIRST_COMPLETED
                )
                change.cancel()
            return waiter.result()
        finally:
            waiter.cancel()

    async def _await_result(self) -> MemberEnd:
        """Poll the worker until the task has ended or the worker is lost."""
        while True:
            try:
                wait_s = RESULT_WAIT_S
                report = await self._session.result(self._lease, wait_s=wait_s)
            except WorkerError as exc:
                if self._session.silence_s > TASK_LEASE_S + SESSION_TTL_S:
                    return _lost(str(exc))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if report.state != "running":
                return _end_from_report(report)

    def _must_stop(self) -> bool:
        """Tell whether the task has to stop; the loss of its gang orders a stop."""
        lease = self._lease
        if lease.stop_grace_s is not None:
            return True
        if lease.has_lost_gang(time.monotonic()):
            lease.stop(GANG_STOP_GRACE_S, "gang_not_whole")
            return True
        return False

    async def _stop(self) -> MemberEnd:
        """Checkpoint and stop the task; if that fails, its expiring lease ends it."""
        lease = self._lease
        self._table.set_phase(lease, "stopping")
        deadline_s = time.monotonic() + (lease.stop_grace_s or 0.0) + TASK_LEASE_S
        while time.monotonic() < deadline_s:
            try:
                report = await self._session.stop(lease, lease.stop_grace_s or 0.0)
            except WorkerError:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            if report.state == "done":
                return await self._await_result()
            end = _end_from_report(report)
            if end.preempted:
                return _preempted(lease.stop_reason, report)
            return end
        return _lost("the worker does not answer a stop")


def _end_from_report(report: WorkerTask) -> MemberEnd:
    """Convert the worker's report on an ended task."""
    if report.state == "done":
        answer = msgspec.json.decode(report.body or "null")
        return MemberEnd(Outcome("done", "done", answer=answer), ran=True)
    if report.state == "failed":
        remedy = "look at the work itself, or try again"
        return MemberEnd(Outcome("failed", "work_failed", remedy), ran=True)
    if report.state == "unknown":
        return _lost("the worker does not know the task")
    return _preempted(f"task_{report.state}", report)


def _preempted(reason: str, report: WorkerTask) -> MemberEnd:
    """Return the end of a task that was stopped before it was done."""
    progress: dict[str, Any] = {"progress_s": report.progress_s}
    outcome = Outcome("failed", reason or "stopped", "send it again", answer=progress)
    return MemberEnd(outcome, ran=True, preempted=True)


def _never_ran(reason: str) -> MemberEnd:
    """Return the end of a member whose task was certainly not started."""
    outcome = Outcome("not_run", reason or "stopped", "send it again")
    return MemberEnd(outcome, ran=False, preempted=True)


def _lost(reason: str) -> MemberEnd:
    """Return the end of a task whose state cannot be obtained from the worker."""
    outcome = Outcome("unknown", "worker_silent", f"ask the worker's owner: {reason}")
    return MemberEnd(outcome, ran=True, preempted=True)


__all__ = ["MemberEnd", "MemberRunner"]
