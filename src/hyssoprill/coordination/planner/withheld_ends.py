"""Finds ends that must not be acknowledged while their upstream holds a lease.

Once all leases of a silent VM must have lapsed, its tasks are started elsewhere. A call
that its agent has sent out of contact may be carried out late, and so have kept a lease
for longer than the planner counts. What ended under that lease has not lapsed: were its
end acknowledged, the task would have been started again after an end that counts.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...logs import decision
from ...state.job_table import DONE

if TYPE_CHECKING:
    from ...protocol.upstream_messages import EndReport, UpstreamReport
    from ...state.job_table import JobTable
    from .changes import StepChanges


@dataclass(slots=True)
class WithheldEnds:
    """Ends that may be acknowledged only once the lease of their upstream has lapsed.

    Attributes
    ----------
    first : dict
        The number of the first such end of each upstream, by key.
    """

    first: dict[str, int] = field(default_factory=dict)
    _logged: dict[str, int] = field(default_factory=dict)

    def begin_round(self) -> None:
        """Drop the ends of the round before."""
        self._logged, self.first = self.first, {}

    def acknowledgeable_upto(
        self, report: UpstreamReport, changes: StepChanges, job_table: JobTable
    ) -> int:
        """Return up to which number the ends of a report may be acknowledged."""
        rows = [
            row
            for row in report.ended
            if row.number > report.lapsed_upto
            and _was_started_again(row, changes, job_table)
        ]
        if not rows:
            return max(row.number for row in report.ended)
        row = min(rows, key=lambda one: one.number)
        self.first[report.key] = row.number
        if self._logged.get(report.key) != row.number:
            decision(
                "end_withheld",
                upstream=report.key,
                task=row.task,
                run=row.run,
                how=row.outcome,
                number=row.number,
                lapsed_upto=report.lapsed_upto,
            )
        return row.number - 1


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


__all__ = ["WithheldEnds"]
