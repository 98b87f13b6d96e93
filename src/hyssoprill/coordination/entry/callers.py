"""What callers can ask: run, submit, follow, cancel, and learn an outcome."""

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
from .requests import CLAIMED_ELSEWHERE, LOG_UNAVAILABLE

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
        The process, with its tables and links.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._tokens = [(c.token.encode(), c.workspace) for c in entry.cfg.callers]

    def workspace_of(self, token: str) -> str:
        """Return the workspace of a token.

        Raises
        ------
        AccessError
            Where no workspace has this token.
        """
        found = ""
        for known, workspace in self._tokens:
            if hmac.compare_digest(known, token.encode()):
                found = workspace
        if not found:
            raise AccessError(
                "the token is missing or belongs to no workspace",
                remedy="send 'Authorization: Bearer TOKEN' of your workspace",
            )
        return found

    def spec_of(self, workspace: str, body: RequestBody, *, detached: bool) -> JobSpec:
        """Build the job of a request.

        Raises
        ------
        InvalidRequestError
            Where the body names another workspace than the token.
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
        if self._entry.is_leaving:
            return not_run("leaving", "send it to another entry", retry_after_s=0.1)
        if spec.idempotent:
            return await self._run_here(spec, work)
        return await self._run_once(spec, work)

    async def submit(self, spec: JobSpec, work: Any) -> tuple[int, dict[str, Any]]:
        """Keep a long job in the log; return HTTP status and body."""
        if self._entry.is_leaving:
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
        self._entry.keeper.wake.set()
        return 202, {"id": spec.id, "state": "accepted"}

    async def look_up(
        self, workspace: str, job_id: str, *, wait_s: float
    ) -> dict[str, Any]:
        """Return state and outcome of a request, waiting for its end."""
        deadline_s = time.monotonic() + wait_s
        while True:
            found = await self._look_up_now(workspace, job_id)
            if found.get("outcome") or time.monotonic() >= deadline_s:
                return found
            await asyncio.sleep(FOLLOW_INTERVAL_S)

    async def cancel(self, workspace: str, job_id: str) -> dict[str, Any]:
        """Ask for a request to be stopped, wherever it is looked after."""
        entry = self._entry
        runner = entry.requests.running(workspace, job_id)
        if runner is not None:
            runner.cancel()
        for peer in entry.membership.live_peers():
            await entry.send(peer.address.name, CancelRequest(workspace, job_id))
        job = entry.jobs.open_jobs.get(job_id)
        if job is not None and job.spec.workspace == workspace:
            wish = Cancellation(job_id, workspace)
            body = msgspec.to_builtins(wish)
            entry.writer.append_later(
                LogRecord(f"cancel/{job_id}", CANCEL_STREAM, body)
            )
        return {"id": job_id, "state": "cancelling"}

    async def _run_here(self, spec: JobSpec, work: Any) -> Outcome:
        outcome = await asyncio.shield(self._entry.requests.start(spec, work))
        return outcome or unknown("owner_changed", "ask for the outcome by id")

    async def _run_once(self, spec: JobSpec, work: Any) -> Outcome:
        """Run a request that may not be repeated, if its claim is won."""
        entry = self._entry
        known = self._known_outcome(spec)
        if known is not None:
            return known
        if entry.requests.running(spec.workspace, spec.id) is None:
            if spec.id in entry.renewal.releasing:
                return LOG_UNAVAILABLE
            if entry.jobs.claims.get(spec.id) is None:
                failed = await self._claim(spec)
                if failed is not None:
                    return failed
            if entry.jobs.claims.get(spec.id) != entry.incarnation:
                return await self._follow_elsewhere(spec)
        outcome = await self._run_here(spec, work)
        self._keep_outcome(spec, outcome)
        return outcome

    def _known_outcome(self, spec: JobSpec) -> Outcome | None:
        stored = self._entry.jobs.outcomes.get(spec.id)
        return stored.outcome if stored is not None else None

    async def _claim(self, spec: JobSpec) -> Outcome | None:
        """Append a claim; return an outcome where that is not confirmed."""
        entry = self._entry
        claim = Claim(spec.id, entry.incarnation)
        record_id = f"claim/{spec.id}/{entry.incarnation}/{secrets.token_hex(4)}"
        record = LogRecord(record_id, CLAIM_STREAM, msgspec.to_builtins(claim))
        entry.claiming.add(spec.id)
        try:
            offset = await entry.writer.append(record, timeout_s=CLAIM_TIMEOUT_S)
            await asyncio.wait_for(
                entry.follower.wait_for_offset(offset), CLAIM_TIMEOUT_S
            )
        except (LogUnavailableError, TimeoutError):
            return LOG_UNAVAILABLE
        finally:
            entry.claiming.discard(spec.id)
        return self._known_outcome(spec)

    def _keep_outcome(self, spec: JobSpec, outcome: Outcome) -> None:
        """Append an outcome, so that repeats by other entries learn it."""
        self._entry.append_outcome(spec, outcome)

    async def _follow_elsewhere(self, spec: JobSpec) -> Outcome:
        """Wait for the outcome of a request that another entry claimed."""
        lost_s = time.monotonic() + OWNER_LOST_S
        while time.monotonic() < lost_s:
            found = await self._look_up_now(spec.workspace, spec.id)
            outcome = found.get("outcome")
            if outcome is not None:
                return msgspec.convert(outcome, Outcome)
            if found["state"] != "not_here":
                lost_s = time.monotonic() + OWNER_LOST_S
            await asyncio.sleep(FOLLOW_INTERVAL_S)
        return CLAIMED_ELSEWHERE

    async def _look_up_now(self, workspace: str, job_id: str) -> dict[str, Any]:
        entry = self._entry
        outcome = entry.requests.outcome(workspace, job_id)
        stored = entry.jobs.outcomes.get(job_id)
        if outcome is None and stored is not None and stored.workspace == workspace:
            outcome = stored.outcome
        if outcome is not None:
            return _ended(job_id, outcome)
        runner = entry.requests.running(workspace, job_id)
        if runner is not None:
            return {
                "id": job_id,
                "state": runner.state,
                "code": runner.code,
                "reason": runner.reason,
            }
        return await self._ask_peers(workspace, job_id)

    async def _ask_peers(self, workspace: str, job_id: str) -> dict[str, Any]:
        """Ask the other entries for the state of a request."""
        entry = self._entry
        peers = [peer.address.name for peer in entry.membership.live_peers()]
        states = []
        for answer in await entry.query_outcome(
            peers, workspace, job_id, timeout_s=QUERY_TIMEOUT_S
        ):
            if answer.outcome is not None:
                return _ended(job_id, answer.outcome)
            states.append(answer.state)
        job = entry.jobs.open_jobs.get(job_id)
        if job is not None and job.spec.workspace == workspace:
            states.append("waiting")
        state = next((one for one in states if one != "not_here"), "not_here")
        return {"id": job_id, "state": state}


def _ended(job_id: str, outcome: Outcome) -> dict[str, Any]:
    return {
        "id": job_id,
        "state": "ended",
        "outcome": msgspec.to_builtins(outcome),
    }


def outcome_record(spec: JobSpec, outcome: Outcome, run: str) -> LogRecord:
    """Build the log record of an outcome."""
    stored = StoredOutcome(spec.id, spec.workspace, outcome)
    record_id = f"outcome/{spec.id}/{run}/{secrets.token_hex(4)}"
    return LogRecord(record_id, OUTCOME_STREAM, msgspec.to_builtins(stored))


__all__ = ["CallerService", "outcome_record"]
