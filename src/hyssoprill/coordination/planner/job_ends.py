"""Logs the end of each job with its outcome and lateness."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import unix_ms
from ...logs import decision
from .set_aside import set_aside

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...state.job_table import JobState, JobTable


class JobEnds:
    """Tells the ends of jobs that this planner has seen unfinished."""

    def __init__(self, job_table: JobTable) -> None:
        self._job_table = job_table
        self._unfinished: set[str] = set()

    def log(self, objective_s: Callable[[JobState], float], term: int) -> None:
        """Log the jobs that have ended since the last call.

        Parameters
        ----------
        objective_s : callable
            Returns the time within which a job had to be done.
        """
        unfinished = {
            job_id
            for job_id, job_state in self._job_table.active.items()
            if not job_state.is_finished
        }
        ended = self._unfinished - unfinished
        self._unfinished = unfinished
        jobs = self._job_table.jobs
        known = [(job_id, jobs[job_id]) for job_id in ended if job_id in jobs]
        set_aside("job", known, lambda one: _log_end(one, objective_s(one), term))

    def clear(self) -> None:
        """Forget all jobs, at the start of a term."""
        self._unfinished.clear()


def _log_end(job_state: JobState, objective_s: float, term: int) -> None:
    job = job_state.job
    took_s = (unix_ms() - max(job.accepted_ms, job.due_ms(job.occurrences - 1))) / 1000
    decision(
        "job_ended",
        job=job.id,
        queue=job.queue,
        workspace=job.workspace,
        priority=job.priority,
        outcome=job_state.status,
        took_s=round(max(took_s, 0.0), 3),
        objective_s=round(objective_s, 3),
        late_s=round(max(took_s - objective_s, 0.0), 3),
        term=term,
    )


__all__ = ["JobEnds"]
