"""Closes runs whose end is known, and keeps the progress of those that are open."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...logs import decision
from ...state.job_table import OPEN
from .runs import ran_s

if TYPE_CHECKING:
    from ...protocol.job import Step
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobTable, OpenRun, TaskState
    from .changes import Changes
    from .fleet import Fleet
    from .runs import StopNotes
    from .speeds import Speeds
    from .suspicion import Suspicion

AT_ONCE_SHARE = 0.05
"""A run that fails within this part of its estimate has failed at once."""
AT_ONCE_S = 0.2
"""The same for short estimates; covers the order, the start and the report."""
PROGRESS_INTERVAL_S = 1.0
"""Saved progress is stored this often: a process and its upstream may end together."""


@dataclass(slots=True)
class RunCloser:
    """Turns what upstreams report into changes of the ledger."""

    ledger: JobTable
    fleet: Fleet
    stopping: StopNotes
    suspicion: Suspicion
    speeds: Speeds
    _progress_s: float = field(default_factory=boottime_s)

    def close_listed(self, changes: Changes) -> dict[str, int]:
        """Close runs that their upstreams list as ended or as never to start.

        Returns
        -------
        dict
            For each upstream the highest number of the ends that it listed.
        """
        acked = {}
        for report in self.fleet.reports():
            self._close_of(report, changes)
            numbers = [row.number for row in report.ended]
            if numbers:
                acked[report.key] = max(numbers)
        return acked

    def close_over(self, changes: Changes) -> None:
        """Close runs on lifetimes that have surely ended."""
        for key, runs in self.ledger.open_runs.items():
            why = self.fleet.why_over(key) if runs else ""
            if why:
                for task, run in runs.items():
                    saved = self.fleet.saved(key, task, run.run)
                    self._close(changes, key, task, run, why, saved)

    def note_progress(self, changes: Changes) -> None:
        """Keep from time to time what open runs have saved."""
        if boottime_s() - self._progress_s < PROGRESS_INTERVAL_S:
            return
        self._progress_s = boottime_s()
        for report in self.fleet.reports():
            open_runs = self.ledger.open_runs.get(report.key, {})
            for row in report.running:
                run = open_runs.get(row.task)
                if run is None or run.run != row.run or not row.checkpoint:
                    continue
                task = changes.task(run.step, run.index)
                known = task.newer_checkpoint or task.checkpoint
                if task.phase == OPEN and known != row.checkpoint:
                    changes.note_progress(run.step, run.index, row.checkpoint)

    def _close_of(self, report: UpstreamReport, changes: Changes) -> None:
        open_runs = self.ledger.open_runs.get(report.key, {})
        ends = [
            (row.task, row.run, row.outcome, row.checkpoint) for row in report.ended
        ]
        ends += [(task, run, "closed", "") for task, run in report.closed]
        ends += [
            (task, run, f"refused: {why}", "") for task, run, why in report.refused
        ]
        for task, number, how, saved in ends:
            run = open_runs.get(task)
            if run is not None and run.run == number:
                self._close(changes, report.key, task, run, how, saved)

    def _learn_speed(self, upstream: str, step: Step, task: TaskState) -> None:
        """Take in how long a run took that tells something of its upstream.

        Gangs work as fast as their slowest member, resumed runs did only a part, and
        tasks away from their data are slow everywhere.
        """
        if step.gang or step.data_rack or task.checkpoint:
            return
        self.speeds.done(upstream, step.estimate_ms / 1000, ran_s(task))

    def _close(
        self,
        changes: Changes,
        upstream: str,
        task: str,
        run: OpenRun,
        how: str,
        saved: str,
    ) -> None:
        before = changes.task(run.step, run.index)
        if before.phase != OPEN:
            return
        job = self.ledger.jobs[run.step.job_id].job
        changes.end(run.step, run.index, how, saved, max_attempts=job.max_attempts)
        if how == "done":
            self.suspicion.succeeded(upstream, boottime_s() - ran_s(before))
            self._learn_speed(upstream, job.steps[run.step.step], before)
        elif how == "failed":
            estimate_s = job.steps[run.step.step].estimate_ms / 1000
            self.suspicion.failed(
                upstream,
                job.id,
                run.run,
                boottime_s(),
                at_once=ran_s(before) < max(estimate_s * AT_ONCE_SHARE, AT_ONCE_S),
            )
        elif how.startswith("refused"):
            self.suspicion.refused(run.step, boottime_s())
        decision(
            "run_ended",
            task=task,
            run=run.run,
            how=how,
            upstream=upstream,
            ran_s=round(ran_s(before), 2),
            why=self.stopping.reason((task, run.run)),
        )


__all__ = ["RunCloser"]
