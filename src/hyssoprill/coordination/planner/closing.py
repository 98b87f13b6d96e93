"""Closes runs that are known to have ended and records checkpoints of open ones."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...logs import decision
from ...state.job_table import OPEN
from .runs import elapsed_s

if TYPE_CHECKING:
    from ...protocol.job import Step
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobTable, OpenRun, TaskState
    from .changes import StepChanges
    from .failures import FailureTracker
    from .fleet import Fleet
    from .runs import StopRequests
    from .speeds import SpeedEstimates

IMMEDIATE_FAILURE_SHARE = 0.05
"""A run that fails within this share of its estimate counts as an immediate failure."""
MIN_IMMEDIATE_FAILURE_S = 0.2
"""Minimum of that limit; covers sending the order, the start and the report."""
CHECKPOINT_INTERVAL_S = 1.0
"""Interval of storing checkpoints: the planner and an upstream may fail together."""


@dataclass(slots=True)
class RunCloser:
    """Turns the reports of upstreams into changes of the job table."""

    job_table: JobTable
    fleet: Fleet
    stopping: StopRequests
    failures: FailureTracker
    speeds: SpeedEstimates
    _checkpoints_recorded_s: float = field(default_factory=boottime_s)

    def close_reported(self, changes: StepChanges) -> dict[str, int]:
        """Close runs that their upstreams report as ended or as never to start.

        Returns
        -------
        dict
            For each upstream the highest number of the ends that it reported.
        """
        highest_numbers = {}
        for report in self.fleet.reports():
            self._close_reported_by(report, changes)
            numbers = [row.number for row in report.ended]
            if numbers:
                highest_numbers[report.key] = max(numbers)
        for report in self.fleet.last_reports():
            self._close_reported_by(report, changes)
        return highest_numbers

    def close_expired(self, changes: StepChanges) -> None:
        """Close runs on upstream incarnations that can no longer run tasks."""
        for key, runs in self.job_table.open_runs.items():
            reason = self.fleet.end_reason(key) if runs else ""
            if reason:
                for task, run in runs.items():
                    checkpoint = self.fleet.latest_checkpoint(key, task, run.run)
                    self._close(changes, key, task, run, reason, checkpoint)

    def record_checkpoints(self, changes: StepChanges) -> None:
        """Record new checkpoints of open runs, every `CHECKPOINT_INTERVAL_S`."""
        if boottime_s() - self._checkpoints_recorded_s < CHECKPOINT_INTERVAL_S:
            return
        self._checkpoints_recorded_s = boottime_s()
        for report in self.fleet.reports():
            open_runs = self.job_table.open_runs.get(report.key, {})
            for row in report.running:
                run = open_runs.get(row.task)
                if run is None or run.run != row.run or not row.checkpoint:
                    continue
                task = changes.task(run.step, run.index)
                recorded = task.newer_checkpoint or task.checkpoint
                if task.phase == OPEN and recorded != row.checkpoint:
                    changes.record_checkpoint(run.step, run.index, row.checkpoint)

    def _close_reported_by(self, report: UpstreamReport, changes: StepChanges) -> None:
        open_runs = self.job_table.open_runs.get(report.key, {})
        ends = [
            (row.task, row.run, row.outcome, row.checkpoint) for row in report.ended
        ]
        ends += [(task, run, "closed", "") for task, run in report.closed]
        ends += [
            (task, run, f"refused: {why}", "") for task, run, why in report.refused
        ]
        for task, number, outcome, checkpoint in ends:
            run = open_runs.get(task)
            if run is not None and run.run == number:
                self._close(changes, report.key, task, run, outcome, checkpoint)

    def _record_speed(self, upstream: str, step: Step, task: TaskState) -> None:
        """Record the speed of a completed run, unless it says little of its upstream.

        Excluded are gangs, which run as fast as their slowest member, resumed runs,
        which did only part of the work, and tasks with a data rack, which are slow on
        all upstreams of other racks.
        """
        if step.gang or step.data_rack or task.checkpoint:
            return
        self.speeds.record_run(upstream, step.estimate_ms / 1000, elapsed_s(task))

    def _close(
        self,
        changes: StepChanges,
        upstream: str,
        task: str,
        run: OpenRun,
        outcome: str,
        checkpoint: str,
    ) -> None:
        before = changes.task(run.step, run.index)
        if before.phase != OPEN:
            return
        job = self.job_table.jobs[run.step.job_id].job
        changes.end_run(
            run.step, run.index, outcome, checkpoint, max_attempts=job.max_attempts
        )
        if outcome == "done":
            self.failures.record_success(upstream, boottime_s() - elapsed_s(before))
            self._record_speed(upstream, job.steps[run.step.step], before)
        elif outcome == "failed":
            estimate_s = job.steps[run.step.step].estimate_ms / 1000
            self.failures.record_failure(
                upstream,
                job.id,
                run.run,
                boottime_s(),
                immediate=elapsed_s(before)
                < max(estimate_s * IMMEDIATE_FAILURE_SHARE, MIN_IMMEDIATE_FAILURE_S),
            )
        elif outcome.startswith("refused"):
            self.failures.record_refusal(run.step, boottime_s())
        decision(
            "run_ended",
            task=task,
            run=run.run,
            how=outcome,
            upstream=upstream,
            ran_s=round(elapsed_s(before), 2),
            why=self.stopping.reason((task, run.run)),
        )


__all__ = ["RunCloser"]
