"""Runs one request or job from placement to outcome."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING, Any, Protocol

import msgspec

from ...protocol.messages import (
    MemberPlacement,
    PlacementGrant,
    PlacementRequest,
    PlacementStatus,
    PlacementWithdrawal,
)
from ...protocol.outcome import Outcome, not_run, unknown
from .attempt import Attempt

if TYPE_CHECKING:
    from ...protocol.messages import AnyMessage
    from ...protocol.request import JobSpec
    from .attempt import Member
    from .membership import Membership

ASK_INTERVAL_S = 0.4
MAX_FAILURES = 3
RETRY_PAUSE_S = 0.02
CANCEL_GRACE_S = 0.0


class EntryServices(Protocol):
    """What a runner needs of its entry."""

    membership: Membership

    async def send(self, name: str, message: AnyMessage) -> bool:
        """Send a message to a process."""

    async def send_to_coordinator(self, message: AnyMessage) -> None:
        """Send a message to the coordinator, which may be this entry."""

    def new_attempt_id(self, job_id: str) -> str:
        """Return an id for a new attempt."""

    def bundle_version(self) -> int:
        """Return the version of the bundle in force here."""

    def still_owns(self, job_id: str) -> bool:
        """Tell whether this entry is to make new attempts of a job."""


class JobRunner:
    """Places, starts and follows a job until its outcome is known.

    Parameters
    ----------
    services : EntryServices
        The entry.
    spec : JobSpec
        The job.
    work : object
        Payload for the worker.
    """

    def __init__(self, services: EntryServices, spec: JobSpec, work: Any) -> None:
        self._services = services
        self.spec = spec
        self._work = work
        self.inbox: asyncio.Queue[AnyMessage] = asyncio.Queue()
        self.submitted_s = time.monotonic()
        self.state = "waiting"
        self.code = "queued"
        self.reason = "asking the coordinator for a place"
        self._progress_s = 0.0
        self._excluded: set[str] = set()
        self._failures = 0
        self._ran = False
        self._lost = False
        self._cancelled = asyncio.Event()

    def cancel(self) -> None:
        """Ask for the job to be stopped."""
        self._cancelled.set()

    async def run(self) -> Outcome | None:
        """Run the job; return its outcome, or None where another entry took over."""
        while True:
            found = await self._place()
            if not isinstance(found, PlacementGrant):
                await self._services.send_to_coordinator(
                    PlacementWithdrawal(self.spec.id)
                )
                return found
            outcome = await self._try(found)
            if outcome is not None:
                return outcome
            await asyncio.sleep(RETRY_PAUSE_S)

    async def resume(self, attempt_id: str, members: dict[int, str]) -> Outcome | None:
        """Follow an attempt that an earlier owner started, then go on."""
        seats = {
            index: MemberPlacement(name, "", 0.0) for index, name in members.items()
        }
        attempt = self._attempt(attempt_id, seats)
        attempt.follow()
        outcome = await self._follow(attempt)
        return outcome if outcome is not None else await self.run()

    async def _place(self) -> PlacementGrant | Outcome | None:
        """Ask for a place until there is one."""
        self.state = "waiting"
        asked_s = float("-inf")
        while True:
            if self._cancelled.is_set():
                return self._cancelled_outcome()
            if not self._services.still_owns(self.spec.id):
                return None
            now_s = time.monotonic()
            if self._is_past_deadline(now_s):
                return self._given_up(
                    "deadline_passed", "send it again with a later deadline"
                )
            if now_s - asked_s >= ASK_INTERVAL_S:
                asked_s = now_s
                request = PlacementRequest(
                    self.spec, now_s - self.submitted_s, sorted(self._excluded)
                )
                await self._services.send_to_coordinator(request)
            found = await self._next_placement_message(ASK_INTERVAL_S / 4)
            if found is not None:
                return found

    async def _next_placement_message(
        self, wait_s: float
    ) -> PlacementGrant | Outcome | None:
        """Return a usable grant or a refusal, if one comes in time."""
        try:
            message = await asyncio.wait_for(self.inbox.get(), wait_s)
        except TimeoutError:
            return None
        if isinstance(message, PlacementGrant):
            is_current = message.bundle_version == self._services.bundle_version()
            return message if is_current else None
        if isinstance(message, PlacementStatus):
            self.code, self.reason = message.code, message.reason
            if message.refused:
                return self._given_up(message.code, message.reason)
        return None

    def _given_up(self, code: str, remedy: str) -> Outcome:
        """Build the outcome of a job that gets no further attempt."""
        if self._lost:
            return unknown(code, f"an earlier attempt was lost; {remedy}")
        if self._ran:
            return Outcome("failed", code, f"an earlier attempt ran in part; {remedy}")
        return not_run(code, remedy)

    def _cancelled_outcome(self) -> Outcome:
        if self._ran:
            return Outcome("cancelled", "cancelled_while_running")
        return Outcome("cancelled", "cancelled_before_start")

    def _is_past_deadline(self, now_s: float) -> bool:
        deadline_s = self.spec.deadline_s
        return deadline_s > 0 and now_s - self.submitted_s > deadline_s

    async def _try(self, grant: PlacementGrant) -> Outcome | None:
        """Make one attempt; return None where another one is to follow."""
        seats = dict(enumerate(grant.members))
        attempt = self._attempt(self._services.new_attempt_id(self.spec.id), seats)
        work = {"work": self._work, "resume_s": self._progress_s}
        await attempt.start(grant, msgspec.json.encode(work))
        return await self._follow(attempt)

    def _attempt(self, attempt_id: str, seats: dict[int, MemberPlacement]) -> Attempt:
        services = self._services
        return Attempt(
            attempt_id,
            self.spec,
            seats,
            self.inbox,
            services.send,
            services.membership,
        )

    async def _follow(self, attempt: Attempt) -> Outcome | None:
        self.state, self.code, self.reason = "running", "running", "it runs"
        while not attempt.is_over:
            await attempt.advance(0.25)
            if self._cancelled.is_set() and not attempt.is_over:
                await attempt.stop(CANCEL_GRACE_S, "cancelled")
        return self._conclude(list(attempt.members.values()))

    def _conclude(self, members: list[Member]) -> Outcome | None:
        """Derive the outcome from the ends of all members."""
        self._ran |= any(member.phase != "never_ran" for member in members)
        self._lost |= any(_is_lost(member) for member in members)
        if all(_status(member) == "done" for member in members):
            return _done(members)
        self._keep_progress(members)
        failed = [member for member in members if _has_failed(member)]
        if failed and not self._may_retry_failure(failed):
            return failed[0].result.outcome
        if self._cancelled.is_set():
            return self._cancelled_outcome()
        if self.spec.idempotent or all(m.phase == "never_ran" for m in members):
            return None
        if any(_is_lost(member) for member in members):
            return unknown(
                "upstream_lost", "find out at the worker's side whether it took effect"
            )
        return _interrupted(members)

    def _may_retry_failure(self, failed: list[Member]) -> bool:
        """Count a failure; tell whether the job may be tried elsewhere."""
        self._failures += 1
        self._excluded.update(member.seat.upstream for member in failed)
        return (
            self.spec.idempotent
            and self._failures < MAX_FAILURES
            and not self._cancelled.is_set()
        )

    def _keep_progress(self, members: list[Member]) -> None:
        """Resume later attempts from what all members have checkpointed."""
        kept = []
        for member in members:
            answer = member.result.outcome.answer if member.result else None
            progress = answer.get("progress_s") if isinstance(answer, dict) else None
            kept.append(float(progress or 0.0))
        self._progress_s = max(self._progress_s, min(kept, default=0.0))


def _status(member: Member) -> str:
    return member.result.outcome.status if member.result else member.phase


def _has_failed(member: Member) -> bool:
    """Tell whether the work itself failed."""
    return (
        member.result is not None
        and not member.result.preempted
        and member.result.outcome.status == "failed"
    )


def _done(members: list[Member]) -> Outcome:
    if len(members) == 1:
        return members[0].result.outcome
    answers = [member.result.outcome.answer for member in members]
    return Outcome("done", "done", answer=answers)


def _is_lost(member: Member) -> bool:
    """Tell whether nobody knows what became of a member."""
    return member.phase == "lost" or _status(member) == "unknown"


def _interrupted(members: list[Member]) -> Outcome:
    """Build the outcome of work that ran in part and may not be repeated."""
    ran = next(one.result.outcome for one in members if one.phase == "ended")
    return Outcome("failed", ran.code, "it ran in part; check before sending again")


__all__ = ["EntryServices", "JobRunner"]
