"""Tracks the requests and jobs that this entry runs, and their outcomes."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from typing import TYPE_CHECKING, Any

from ...protocol.messages import OutcomeAnswer
from ...protocol.outcome import not_run, unknown
from ...tasks import cancel_all
from .runner import JobRunner

if TYPE_CHECKING:
    from ...protocol.outcome import Outcome
    from ...protocol.request import JobSpec
    from .runner import EntryServices

MAX_OUTCOMES = 20_000


class RequestTable:
    """Holds one runner for each running job, and the newest `MAX_OUTCOMES` outcomes."""

    def __init__(self, services: EntryServices) -> None:
        self._services = services
        self.runners: dict[str, JobRunner] = {}
        self._futures: dict[str, asyncio.Task[Outcome | None]] = {}
        self._outcomes: OrderedDict[str, tuple[str, Outcome]] = OrderedDict()

    def start(
        self,
        spec: JobSpec,
        work: Any,
        *,
        running_attempt: tuple[str, dict[int, str]] | None = None,
    ) -> asyncio.Task[Outcome | None]:
        """Run a job, or follow an attempt that already runs.

        `running_attempt` holds its id and its upstreams by member index. A job that
        already runs here is not started again: its task is returned.
        """
        fut = self._futures.get(spec.id)
        if fut is not None:
            return fut
        runner = JobRunner(self._services, spec, work)
        self.runners[spec.id] = runner
        fut = asyncio.ensure_future(self._run(runner, running_attempt))
        self._futures[spec.id] = fut
        return fut

    def outcome(self, workspace: str, job_id: str) -> Outcome | None:
        """Return the outcome of a request that ended here, or None."""
        found = self._outcomes.get(job_id)
        return found[1] if found is not None and found[0] == workspace else None

    def store_outcome(self, workspace: str, job_id: str, outcome: Outcome) -> None:
        """Store an outcome, and discard the oldest beyond `MAX_OUTCOMES`."""
        self._outcomes[job_id] = (workspace, outcome)
        while len(self._outcomes) > MAX_OUTCOMES:
            self._outcomes.popitem(last=False)

    def runner_of(self, workspace: str, job_id: str) -> JobRunner | None:
        """Return the runner of a job, or None where the workspace does not own it."""
        runner = self.runners.get(job_id)
        owned = runner is not None and runner.spec.workspace == workspace
        return runner if owned else None

    def may_have_run(self, job_id: str) -> bool:
        """Return whether a request ended here with an outcome other than `not_run`."""
        found = self._outcomes.get(job_id)
        return found is not None and found[1].status != "not_run"

    def count_waiting_callers(self) -> int:
        """Return how many requests run whose callers wait on their connections."""
        return sum(not one.spec.detached for one in self.runners.values())

    def answer_query(self, query: str, workspace: str, job_id: str) -> OutcomeAnswer:
        """Return the answer to another entry's query for an outcome."""
        outcome = self.outcome(workspace, job_id)
        if outcome is not None:
            return OutcomeAnswer(query, "ended", outcome)
        runner = self.runner_of(workspace, job_id)
        state = runner.state if runner is not None else "not_here"
        return OutcomeAnswer(query, state, None)

    async def close(self) -> None:
        """Cancel all runners."""
        await cancel_all(self._futures.values())

    async def _run(
        self, runner: JobRunner, running_attempt: tuple[str, dict[int, str]] | None
    ) -> Outcome | None:
        spec = runner.spec
        try:
            outcome = await (
                runner.resume(*running_attempt) if running_attempt else runner.run()
            )
            if outcome is not None:
                self.store_outcome(spec.workspace, spec.id, outcome)
            return outcome
        finally:
            self.runners.pop(spec.id, None)
            self._futures.pop(spec.id, None)


LOG_UNAVAILABLE = not_run(
    "log_unavailable",
    "a request that is not idempotent needs the log; retry with the same key",
    retry_after_s=5.0,
)
OWNER_LOST = unknown(
    "owner_lost",
    "the entry that ran it is gone; check at the worker whether it took effect",
)

__all__ = ["LOG_UNAVAILABLE", "OWNER_LOST", "RequestTable"]
