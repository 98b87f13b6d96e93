"""Implements the callers' API: run, submit, look up and cancel requests and jobs."""

from __future__ import annotations

import asyncio
import hmac
import secrets
import time
from typing import TYPE_CHECKING, Any

import msgspec

from ...errors import AccessError, InvalidRequestError, LogUnavailableError
from ...protocol.messages import CancelRequest
from ...protocol.outcome import Outcome, not_run, unknown
from ...protocol.request import JobSpec, RequestBody
from ...state.job_projection import (
    CANCEL_STREAM,
    CLAIM_STREAM,
    JOB_STREAM,
    OUTCOME_STREAM,
    Cancellation,
    Claim,
    StoredJob,
    StoredOutcome,
)
from ...transport.platform_log import LogRecord
from ..identity import keyed_request_id, new_request_id
from .requests import LOG_UNAVAILABLE, OWNER_LOST

if TYPE_CHECKING:
    from .entry import Entry

CLAIM_TIMEOUT_S = 2.0
SUBMIT_TIMEOUT_S = 3.0
QUERY_TIMEOUT_S = 0.5
FOLLOW_INTERVAL_S = 0.2
OWNER_LOST_S = 5.0


class CallerService:
    """Serves the callers of all workspaces.

    Parameters
    ----------
    entry : Entry
        The process that the callers reached.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._tokens = [(c.token.encode(), c.workspace) for c in entry.cfg.callers]

    def workspace_of(self, token: str) -> str:
        """Return the workspace that a token belongs to.

        Raises
        ------
        AccessError
            Where no workspace has this token.
        """
        owner = ""
        for known, workspace in self._tokens:
            if hmac.compare_digest(known, token.encode()):
                owner = workspace
        if not owner:
            raise AccessError(
                "the token is missing or belongs to no workspace",
                remedy="send 'Authorization: Bearer TOKEN' of your workspace",
            )
        return owner

    def spec_of(self, workspace: str, body: RequestBody, *, detached: bool) -> JobSpec:
        """Build the job specification of a request.

        Raises
        ------
        InvalidRequestError
            Where the body names another workspace than the token's.
        """
        if body.workspace != workspace:
            raise InvalidRequestError(
                f"the token does not belong to workspace {body.workspace!r}",
                code="unknown_workspace",
                field="workspace",
                remedy="name the workspace of your token",
            )
        if body.key is not None:
            job_id = keyed_request_id(workspace, body.key)
        else:
            job_id = new_request_id()
        return JobSpec(
            job_id,
            workspace,
            body.shape,
            body.kind,
            body.idempotent,
            body.urgent,
            body.priority,
            body.declared_s,
            body.deadline_s,
            detached,
        )

    async def run(self, spec: JobSpec, work: Any) -> Outcome:
        """Run a request and return its outcome."""
        if self._entry.refuses_requests:
            return not_run("leaving", "send it to another entry", retry_after_s=0.1)
        if spec.idempotent:
            return await self._run_on_this_entry(spec, work)
        return await self._run_at_most_once(spec, work)

    async def submit(self, spec: JobSpec, work: Any) -> tuple[int, dict[str, Any]]:
        """Append a long job to the log; return the HTTP status and body."""
        if self._entry.refuses_requests:
            outcome = not_run("leaving", "send it to another entry", retry_after_s=0.1)
            return 503, {"id": spec.id, "outcome": msgspec.to_builtins(outcome)}
        stored = StoredJob(spec, work, self._entry.incarnation)
        record = LogRecord(f"job/{spec.id}", JOB_STREAM, msgspec.to_builtins(stored))
        try:
            offset = await self._entry.writer.append(record, timeout_s=SUBMIT_TIMEOUT_S)
        except LogUnavailableError:
            outcome = unknown("log_in_doubt", "ask for the outcome by this id later")
            return 503, {"id": spec.id, "outcome": msgspec.to_builtins(outcome)}
        await self._entry.follower.wait_for_offset(offset)
        self._entry.job_supervisor.wake.set()
        return 202, {"id": spec.id, "state": "accepted"}

    async def look_up(
        self, workspace: str, job_id: str, *, wait_s: float
    ) -> dict[str, Any]:
        """Return a request's state, and its outcome once it ends within `wait_s`."""
        deadline_s = time.monotonic() + wait_s
        while True:
            answer = await self._look_up_now(workspace, job_id)
            if answer.get("outcome") or time.monotonic() >= deadline_s:
                return answer
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    async def cancel(self, workspace: str, job_id: str) -> dict[str, Any]:
        """Request that a job stop, whichever entry runs it."""
        entry = self._entry
        runner = entry.requests.runner_of(workspace, job_id)
        if runner is not None:
            runner.cancel()
        for peer in entry.membership.live_peers():
            await entry.send(peer.address.name, CancelRequest(workspace, job_id))
        job = entry.jobs.open_jobs.get(job_id)
        if job is not None and job.spec.workspace == workspace:
            cancellation = Cancellation(job_id, workspace)
            body = msgspec.to_builtins(cancellation)
            entry.writer.enqueue(LogRecord(f"cancel/{job_id}", CANCEL_STREAM, body))
        return {"id": job_id, "state": "cancelling"}

    async def _run_on_this_entry(self, spec: JobSpec, work: Any) -> Outcome:
        outcome = await asyncio.shield(self._entry.requests.start(spec, work))
        return outcome or unknown("owner_changed", "ask for the outcome by id")

    async def _run_at_most_once(self, spec: JobSpec, work: Any) -> Outcome:
        """Run a request that is not idempotent, if this entry wins its claim."""
        entry = self._entry
        known = self._known_outcome(spec)
        if known is not None:
            return known
        if entry.requests.runner_of(spec.workspace, spec.id) is None:
            if spec.id in entry.renewal.claims_being_released:
                return LOG_UNAVAILABLE
            if entry.jobs.claims.get(spec.id) is None:
                early_outcome = await self._claim(spec)
                if early_outcome is not None:
                    return early_outcome
            if entry.jobs.claims.get(spec.id) != entry.incarnation:
                return await self._await_other_owner(spec)
        outcome = await self._run_on_this_entry(spec, work)
        self._log_outcome(spec, outcome)
        return outcome

    def _known_outcome(self, spec: JobSpec) -> Outcome | None:
        """Return the outcome of a request that has run, by the log or by this entry.

        An outcome that this entry has just answered with may not be in the log yet.
        """
        stored = self._entry.jobs.outcomes.get(spec.id)
        if stored is not None:
            return stored.outcome
        ended = self._entry.requests.outcome(spec.workspace, spec.id)
        return ended if ended is not None and ended.status != "not_run" else None

    async def _claim(self, spec: JobSpec) -> Outcome | None:
        """Append a claim and wait until it was read back from the log.

        Returns an outcome where the claim was not confirmed in time, or where the
        log already holds the request's outcome, and otherwise None.
        """
        entry = self._entry
        claim = Claim(spec.id, entry.incarnation)
        record_id = f"claim/{spec.id}/{entry.incarnation}/{secrets.token_hex(4)}"
        record = LogRecord(record_id, CLAIM_STREAM, msgspec.to_builtins(claim))
        entry.claims_in_progress.add(spec.id)
        try:
            offset = await entry.writer.append(record, timeout_s=CLAIM_TIMEOUT_S)
            await asyncio.wait_for(
                entry.follower.wait_for_offset(offset), CLAIM_TIMEOUT_S
            )
        except (LogUnavailableError, TimeoutError):
            return LOG_UNAVAILABLE
        finally:
            entry.claims_in_progress.discard(spec.id)
        return self._known_outcome(spec)

    def _log_outcome(self, spec: JobSpec, outcome: Outcome) -> None:
        """Append an outcome, so that other entries answer repeats with it."""
        self._entry.append_outcome(spec, outcome)

    async def _await_other_owner(self, spec: JobSpec) -> Outcome:
        """Wait for the outcome of a request that another entry claimed."""
        lost_s = time.monotonic() + OWNER_LOST_S
        while time.monotonic() < lost_s:
            answer = await self._look_up_now(spec.workspace, spec.id)
            outcome = answer.get("outcome")
            if outcome is not None:
                return msgspec.convert(outcome, Outcome)
            if answer["state"] != "not_here":
                lost_s = time.monotonic() + OWNER_LOST_S
            await asyncio.sleep(FOLLOW_INTERVAL_S)
        return OWNER_LOST

    async def _look_up_now(self, workspace: str, job_id: str) -> dict[str, Any]:
        entry = self._entry
        outcome = entry.requests.outcome(workspace, job_id)
        stored = entry.jobs.outcomes.get(job_id)
        if outcome is None and stored is not None and stored.workspace == workspace:
            outcome = stored.outcome
        if outcome is not None:
            return _ended_state(job_id, outcome)
        runner = entry.requests.runner_of(workspace, job_id)
        if runner is not None:
            return {
                "id": job_id,
                "state": runner.state,
                "code": runner.code,
                "reason": runner.reason,
            }
        return await self._ask_peers(workspace, job_id)

    async def _ask_peers(self, workspace: str, job_id: str) -> dict[str, Any]:
        """Return the state or outcome of a request as the other entries know it."""
        entry = self._entry
        peers = [peer.address.name for peer in entry.membership.live_peers()]
        states = []
        for answer in await entry.query_outcome(
            peers, workspace, job_id, timeout_s=QUERY_TIMEOUT_S
        ):
            if answer.outcome is not None:
                return _ended_state(job_id, answer.outcome)
            states.append(answer.state)
        job = entry.jobs.open_jobs.get(job_id)
        if job is not None and job.spec.workspace == workspace:
            states.append("waiting")
        state = next((one for one in states if one != "not_here"), "not_here")
        return {"id": job_id, "state": state}


def _ended_state(job_id: str, outcome: Outcome) -> dict[str, Any]:
    return {
        "id": job_id,
        "state": "ended",
        "outcome": msgspec.to_builtins(outcome),
    }


def outcome_record(spec: JobSpec, outcome: Outcome, run: str) -> LogRecord:
    """Build the log record of an outcome for one incarnation (`run`) of an entry."""
    stored = StoredOutcome(spec.id, spec.workspace, outcome)
    record_id = f"outcome/{spec.id}/{run}/{secrets.token_hex(4)}"
    return LogRecord(record_id, OUTCOME_STREAM, msgspec.to_builtins(stored))


__all__ = ["CallerService", "outcome_record"]
