"""Finds ends that must not be acknowledged while their upstream holds a lease.

Once all leases of a silent VM must have lapsed, its tasks are started elsewhere. A call
that its agent has sent out of contact may be carried out late, and so have kept a lease
for longer than the planner counts. What ended under that lease has not lapsed: were its
end acknowledged, the task would have been started again after an end that counts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.job_table import DONE

if TYPE_CHECKING:
    from ...protocol.upstream_messages import EndReport, UpstreamReport
    from ...state.job_table import JobTable
    from .changes import StepChanges


def first_withheld_end(
    report: UpstreamReport, changes: StepChanges, job_table: JobTable
) -> EndReport | None:
    """Return the first end that needs a lapse of the lease, None if there is none."""
    rows = [
        row
        for row in report.ended
        if row.number > report.lapsed_upto
        and _was_started_again(row, changes, job_table)
    ]
    return min(rows, key=lambda row: row.number, default=None)


def _was_started_again(
    row: EndReport, changes: StepChanges, job_table: JobTable
) -> bool:
    """Tell whether a task was started again without regard to how a run has ended.

    A run that has failed counts against the attempts of its task; it matters unless
    it was counted before the next start.
    """
    found = job_table.find_task(row.task) if row.outcome in ("done", "failed") else None
    if found is None:
        return False
    key, index = found
    step = job_table.jobs[key.job_id].job.steps[key.step]
    task = changes.task(key, index)
    if row.run >= task.run or step.long_running or step.speculative:
        return False
    if row.outcome == "done":
        return True
    return task.phase != DONE and task.last_failed_run < row.run


__all__ = ["first_withheld_end"]
