"""Finds the jobs that the guarantees of their workspaces cover."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...protocol.job import Job
    from ...state.job_table import JobTable
    from ...state.operator_config import OperatorConfig


def find_guaranteed_jobs(
    job_table: JobTable, operator_config: OperatorConfig
) -> set[str]:
    """Return the ids of urgent jobs covered by guarantees, oldest jobs first.

    A job is covered if all its accelerators fit into what older covered jobs leave
    of the guarantee of its workspace.
    """
    needs: dict[str, list[tuple[int, str, int]]] = defaultdict(list)
    for job_state in job_table.active.values():
        job = job_state.job
        if job.priority == 0 and not job_state.is_finished:
            total = _total_accelerators(job)
            needs[job.workspace].append((job.accepted_ms, job.id, total))
    guaranteed: set[str] = set()
    for workspace, jobs in needs.items():
        remaining = operator_config.guaranteed_accelerators(workspace)
        for _accepted_ms, job_id, total in sorted(jobs):
            if total <= remaining:
                remaining -= total
                guaranteed.add(job_id)
    return guaranteed


def add_if_guaranteed(
    job: Job,
    guaranteed: set[str],
    job_table: JobTable,
    operator_config: OperatorConfig,
) -> None:
    """Add a job that is not in the job table, if guarantees leave enough for it."""
    covered = sum(
        _total_accelerators(state.job)
        for state in job_table.active.values()
        if state.job.id in guaranteed and state.job.workspace == job.workspace
    )
    total = covered + _total_accelerators(job)
    allowed = operator_config.guaranteed_accelerators(job.workspace)
    if job.priority == 0 and total <= allowed:
        guaranteed.add(job.id)


def _total_accelerators(job: Job) -> int:
    """Return the accelerators of all tasks of a job."""
    return sum(one.need.accelerators * one.count for one in job.steps)


__all__ = ["add_if_guaranteed", "find_guaranteed_jobs"]
