"""Runs one request or job from its placement to its outcome, with retries."""

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

REQUEST_INTERVAL_S = 0.4
MAX_FAILURES = 3
RETRY_PAUSE_S = 0.02
CANCEL_GRACE_S = 0.0


class EntryServices(Protocol):
    """The methods of an entry that a runner calls."""

    membership: Membership

    async def send(self, name: str, message: AnyMessage) -> bool:
        """Send a message to a process; return whether it was sent."""

    async def send_to_coordinator(self, message: AnyMessage) -> None:
        """Send a message to the coordinator, which may be this entry."""

    def new_attempt_id(self, job_id: str) -> str:
        """Return an id for a new attempt."""

    def bundle_version(self) -> int:
        """Return the version of the bundle in force here."""

    def still_owns(self, job_id: str) -> bool:
        """Return whether this entry may make new attempts of a job."""


class JobRunner:
    """Places and starts a job and retries it until its outcome is known.

    Parameters
    ----------
    services : EntryServices
        The entry that runs the job.
    spec : JobSpec
        The job.
    work : object
        Payload for the worker.

    Attributes
    ----------
    inbox : asyncio.Queue
        Grants, replies and results for this job.
    state, code, reason : str
        What callers and operators are shown while the job waits or runs.
    """

    def __init__(self, services: EntryServices, spec: JobSpec, work: Any) -> None:
        self._services = services
        self.spec = spec
        self._work = work
        self.inbox: asyncio.Queue[AnyMessage] = asyncio.Queue()
        self.submitted_s = time.monotonic()
        self.state = "waiting"
        self.code = "queued"
        self.reason = "waiting for the coordinator to place the job"
        self._progress_s = 0.0
        self._excluded: set[str] = set()
        self._failures = 0
        self._may_have_run = False
        self._has_lost_member = False
        self._cancel_requested = asyncio.Event()

    def cancel(self) -> None:
        """Request that the job stop."""
        self._cancel_requested.set()

    async def run(self) -> Outcome | None:
        """Run the job; return its outcome, or None where another entry took over."""
        while True:
            placement = await self._request_placement()
            if not isinstance(placement, PlacementGrant):
                await self._services.send_to_coordinator(
                    PlacementWithdrawal(self.spec.id)
                )
                return placement
            outcome = await self._run_attempt(placement)
            if outcome is not None:
                return outcome
            await asyncio.sleep(RETRY_PAUSE_S)

    async def resume(self, attempt_id: str, members: dict[int, str]) -> Outcome | None:
        """Follow an attempt that an earlier owner started, and retry if it fails."""
        placements = {
            index: MemberPlacement(name, "", 0.0) for index, name in members.items()
        }
        attempt = self._new_attempt(attempt_id, placements)
        attempt.assume_granted()
        outcome = await self._await_outcome(attempt)
        return outcome if outcome is not None else await self.run()

    async def _request_placement(self) -> PlacementGrant | Outcome | None:
        """Repeat the placement request until it is answered.

        Returns an outcome where the job is refused, cancelled or past its deadline,
        and None where another entry took the job over.
        """
        self.state = "waiting"
        last_request_s = float("-inf")
        while True:
            if self._cancel_requested.is_set():
                return self._cancelled_outcome()
            if not self._services.still_owns(self.spec.id):
                return None
            now_s = time.monotonic()
            if self._has_passed_deadline(now_s):
                return self._outcome_without_retry(
                    "deadline_passed", "send it again with a later deadline"
                )
            if now_s - last_request_s >= REQUEST_INTERVAL_S:
                last_request_s = now_s
                request = PlacementRequest(
                    self.spec, now_s - self.submitted_s, sorted(self._excluded)
                )
                await self._services.send_to_coordinator(request)
            placement = await self._next_placement_message(REQUEST_INTERVAL_S / 4)
            if placement is not None:
                return placement

    async def _next_placement_message(
        self, wait_s: float
    ) -> PlacementGrant | Outcome | None:
        """Return a grant of the current bundle or a refusal, if one comes in time."""
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
                return self._outcome_without_retry(message.code, message.reason)
        return None

    def _outcome_without_retry(self, code: str, remedy: str) -> Outcome:
        """Return the outcome of a job that is given up while it waits for a place."""
        if self._has_lost_member:
            return unknown(
                code, f"an earlier attempt was lost and may have run; {remedy}"
            )
        if self._may_have_run:
            return Outcome("failed", code, f"an earlier attempt partly ran; {remedy}")
        return not_run(code, remedy)

    def _cancelled_outcome(self) -> Outcome:
        if self._may_have_run:
            return Outcome("cancelled", "cancelled_while_running")
        return Outcome("cancelled", "cancelled_before_start")

    def _has_passed_deadline(self, now_s: float) -> bool:
        deadline_s = self.spec.deadline_s
        return deadline_s > 0 and now_s - self.submitted_s > deadline_s

    async def _run_attempt(self, grant: PlacementGrant) -> Outcome | None:
        """Make one attempt; return its outcome, or None where it is to be retried."""
        placements = dict(enumerate(grant.members))
        attempt = self._new_attempt(
            self._services.new_attempt_id(self.spec.id), placements
        )
        work = {"work": self._work, "resume_s": self._progress_s}
        await attempt.start(grant, msgspec.json.encode(work))
        return await self._await_outcome(attempt)

    def _new_attempt(
        self, attempt_id: str, placements: dict[int, MemberPlacement]
    ) -> Attempt:
        services = self._services
        return Attempt(
            attempt_id,
            self.spec,
            placements,
            self.inbox,
            services.send,
            services.membership,
        )

    async def _await_outcome(self, attempt: Attempt) -> Outcome | None:
        self.state, self.code, self.reason = "running", "running", "the job is running"
        while not attempt.is_over:
            await attempt.process_messages(0.25)
            if self._cancel_requested.is_set() and not attempt.is_over:
                await attempt.stop(CANCEL_GRACE_S, "cancelled")
        return self._conclude(list(attempt.members.values()))

    def _conclude(self, members: list[Member]) -> Outcome | None:
        """Return the outcome of an attempt, or None where it is to be retried."""
        self._may_have_run |= any(member.phase != "never_ran" for member in members)
        self._has_lost_member |= any(_is_lost(member) for member in members)
        if all(_member_status(member) == "done" for member in members):
            return _success_outcome(members)
        self._update_progress(members)
        failed = [member for member in members if _has_failed(member)]
        if failed and not self._may_retry_failure(failed):
            return failed[0].result.outcome
        if self._cancel_requested.is_set():
            return self._cancelled_outcome()
        if self.spec.idempotent or all(m.phase == "never_ran" for m in members):
            return None
        if any(_is_lost(member) for member in members):
            return unknown(
                "upstream_lost", "check at the worker whether the work took effect"
            )
        return _partial_run_outcome(members)

    def _may_retry_failure(self, failed: list[Member]) -> bool:
        """Count a failure and exclude its upstreams; return whether to retry."""
        self._failures += 1
        self._excluded.update(member.placement.upstream for member in failed)
        return (
            self.spec.idempotent
            and self._failures < MAX_FAILURES
            and not self._cancel_requested.is_set()
        )

    def _update_progress(self, members: list[Member]) -> None:
        """Let later attempts resume from the least progress that a member saved."""
        saved_s = []
        for member in members:
            answer = member.result.outcome.answer if member.result else None
            progress = answer.get("progress_s") if isinstance(answer, dict) else None
            saved_s.append(float(progress or 0.0))
        self._progress_s = max(self._progress_s, min(saved_s, default=0.0))


def _member_status(member: Member) -> str:
    return member.result.outcome.status if member.result else member.phase


def _has_failed(member: Member) -> bool:
    """Return whether the work itself failed, rather than being preempted."""
    return (
        member.result is not None
        and not member.result.preempted
        and member.result.outcome.status == "failed"
    )


def _success_outcome(members: list[Member]) -> Outcome:
    if len(members) == 1:
        return members[0].result.outcome
    answers = [member.result.outcome.answer for member in members]
    return Outcome("done", "done", answer=answers)


def _is_lost(member: Member) -> bool:
    """Return whether it is unknown how a member ended."""
    return member.phase == "lost" or _member_status(member) == "unknown"


def _partial_run_outcome(members: list[Member]) -> Outcome:
    """Return the outcome of work that partly ran and may not be repeated."""
    ended = next(one.result.outcome for one in members if one.phase == "ended")
    return Outcome("failed", ended.code, "it partly ran; check before sending it again")


__all__ = ["EntryServices", "JobRunner"]
