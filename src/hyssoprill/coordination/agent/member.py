"""Runs one member of an attempt from its lease to its result."""

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
START_RETRY_S = 0.1
RESULT_WAIT_S = 10.0
GANG_STOP_GRACE_S = 0.5


@dataclass(frozen=True, slots=True)
class End:
    """How a member ended.

    Attributes
    ----------
    ran : bool
        Whether the worker may have begun the task.
    preempted : bool
        Whether it was stopped before its end, so that it may start again.
    """

    outcome: Outcome
    ran: bool
    preempted: bool = False


class MemberRunner:
    """Holds, launches, watches and stops one member.

    Parameters
    ----------
    lease : HeldLease
        Changed by the agent when stop orders or gang evidence come in.
    session : WorkerSession
        Access to the worker.
    table : LeaseTable
        Where the lease is kept.
    may_start : callable
        Returns why no task may start here now, or ''.
    """

    def __init__(
        self,
        lease: HeldLease,
        session: WorkerSession,
        table: LeaseTable,
        may_start: Callable[[], str],
    ) -> None:
        self._lease = lease
        self._session = session
        self._table = table
        self._may_start = may_start

    async def run(self) -> MemberResult:
        """Run the member and return its result."""
        if self._lease.phase == "held":
            end = await self._hold() or await self._launch() or await self._watch()
        else:
            end = await self._watch()
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

    async def _hold(self) -> End | None:
        """Wait until all members of the gang hold their leases."""
        lease = self._lease
        while lease.is_gang and lease.gang_confirmed_s < lease.granted_s:
            if lease.stop_grace_s is not None:
                return _never_ran(lease.stop_reason)
            if time.monotonic() - lease.granted_s > HOLD_TTL_S:
                return _never_ran("gang_not_whole")
            await self._wait_for_change()
        return None

    async def _wait_for_change(self) -> None:
        """Wait until the lease changes, or for the next look at the clock."""
        self._lease.changed.clear()
        with suppress(TimeoutError):
            await asyncio.wait_for(self._lease.changed.wait(), CHECK_INTERVAL_S)

    async def _launch(self) -> End | None:
        """Ask the worker to start the task, after a last check."""
        lease = self._lease
        give_up_s = time.monotonic() + SESSION_TTL_S
        sent = False
        while True:
            reason = lease.stop_reason if lease.stop_grace_s is not None else ""
            reason = reason or self._may_start()
            if lease.has_lost_gang(time.monotonic()):
                reason = "gang_not_whole"
            if reason and not sent:
                return _never_ran(reason)
            try:
                self._table.set_phase(lease, "running")
                await self._session.start(lease)
                return None
            except WorkerRefusedError as exc:
                return await self._settle(exc) if sent else _never_ran("worker_refused")
            except WorkerError as exc:
                sent = True
                if time.monotonic() > give_up_s:
                    return await self._settle(exc)
            await asyncio.sleep(START_RETRY_S)

    async def _settle(self, exc: WorkerError) -> End | None:
        """Find out whether a start with a lost answer took effect."""
        deadline_s = time.monotonic() + TASK_LEASE_S
        while time.monotonic() < deadline_s:
            try:
                report = await self._session.result(self._lease, wait_s=0.0)
            except WorkerError:
                await asyncio.sleep(START_RETRY_S)
                continue
            if report.state != "unknown":
                return None
            if self._session.silence_s < SESSION_TTL_S:
                return _never_ran("worker_refused")
            await asyncio.sleep(START_RETRY_S)
        return _lost(f"start not answered: {exc}")

    async def _watch(self) -> End:
        """Wait for the end of the task, or stop it when told or needed."""
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

    async def _await_result(self) -> End:
        while True:
            try:
                wait_s = RESULT_WAIT_S
                report = await self._session.result(self._lease, wait_s=wait_s)
            except WorkerError as exc:
                if self._session.silence_s > TASK_LEASE_S + SESSION_TTL_S:
                    return _lost(str(exc))
                await asyncio.sleep(START_RETRY_S)
                continue
            if report.state != "running":
                return _end_of(report)

    def _must_stop(self) -> bool:
        lease = self._lease
        if lease.stop_grace_s is not None:
            return True
        if lease.has_lost_gang(time.monotonic()):
            lease.stop(GANG_STOP_GRACE_S, "gang_not_whole")
            return True
        return False

    async def _stop(self) -> End:
        """Checkpoint and stop the task; its lease ends it where that fails."""
        lease = self._lease
        self._table.set_phase(lease, "stopping")
        deadline_s = time.monotonic() + (lease.stop_grace_s or 0.0) + TASK_LEASE_S
        while time.monotonic() < deadline_s:
            try:
                report = await self._session.stop(lease, lease.stop_grace_s or 0.0)
            except WorkerError:
                await asyncio.sleep(START_RETRY_S)
                continue
            if report.state == "done":
                return await self._await_result()
            end = _end_of(report)
            if end.preempted:
                return _preempted(lease.stop_reason, report)
            return end
        return _lost("the worker does not answer a stop")


def _end_of(report: WorkerTask) -> End:
    """Translate the worker's report on an ended task."""
    if report.state == "done":
        answer = msgspec.json.decode(report.body or "null")
        return End(Outcome("done", "done", answer=answer), ran=True)
    if report.state == "failed":
        remedy = "look at the work itself, or try again"
        return End(Outcome("failed", "work_failed", remedy), ran=True)
    if report.state == "unknown":
        return _lost("the worker does not know the task")
    return _preempted(f"task_{report.state}", report)


def _preempted(reason: str, report: WorkerTask) -> End:
    progress: dict[str, Any] = {"progress_s": report.progress_s}
    outcome = Outcome("failed", reason or "stopped", "send it again", answer=progress)
    return End(outcome, ran=True, preempted=True)


def _never_ran(reason: str) -> End:
    outcome = Outcome("not_run", reason or "stopped", "send it again")
    return End(outcome, ran=False, preempted=True)


def _lost(reason: str) -> End:
    """Build the end of a task of which the worker tells nothing more."""
    outcome = Outcome("unknown", "worker_silent", f"ask the worker's owner: {reason}")
    return End(outcome, ran=True, preempted=True)


__all__ = ["End", "MemberRunner"]
