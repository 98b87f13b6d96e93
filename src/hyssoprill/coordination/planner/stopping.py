"""Finds open runs that have to stop, whatever waits."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...state.job_table import OPEN, StepKey
from ..policy.dispatch.leaving import is_better_moved, time_left_s
from ..policy.dispatch.stalling import is_better_restarted
from .runs import ran_s

if TYPE_CHECKING:
    from ...protocol.job import Step
    from ...state.job_table import JobState, JobTable, OpenRun, TaskState
    from .fleet import Fleet
    from .runs import StopNotes
    from .suspicion import Suspicion


@dataclass(slots=True)
class StopFinder:
    """Notes runs of jobs that are over, of broken gangs, stalled and leaving ones."""

    ledger: JobTable
    fleet: Fleet
    stopping: StopNotes
    suspicion: Suspicion

    def find(self) -> None:
        """Note all runs that have to stop now."""
        for entry in list(self.ledger.active.values()):
            self._stop_of_job(entry)
        for vm in self.fleet.vms.values():
            for report in vm.upstreams.values():
                for task, number, since_s in report.stalled:
                    self._stop_stalled(report.key, task, number, vm.tick_s - since_s)
                if report.draining:
                    self._stop_leaving(report.key, report.remaining_ms / 1000)

    def _stop_of_job(self, entry: JobState) -> None:
        over = entry.status if entry.is_finished else ""
        for (occurrence, number), state in entry.steps.items():
            step = entry.job.steps[number]
            key = StepKey(entry.job.id, occurrence, number)
            opened = [i for i, task in enumerate(state.tasks) if task.phase == OPEN]
            why = over
            if not why and step.gang and 0 < len(opened) < step.count:
                why = "gang broken"
            if why:
                for index in opened:
                    self.stopping.add(
                        (key.task_name(index), state.tasks[index].run), why
                    )

    def _stop_stalled(
        self, upstream: str, task: str, number: int, stalled_s: float
    ) -> None:
        run = self.ledger.open_runs.get(upstream, {}).get(task)
        if run is None or run.run != number or (task, number) in self.stopping:
            return
        step, state = self._look_up(run)
        if is_better_restarted(step, ran_s(state), stalled_s):
            self.suspicion.failed(upstream, run.step.job_id, number, boottime_s())
            self.stopping.add((task, number), "no progress")

    def _stop_leaving(self, upstream: str, remaining_s: float) -> None:
        for task, run in self.ledger.open_runs.get(upstream, {}).items():
            step, state = self._look_up(run)
            percent = self.fleet.percent(upstream, task, run.run)
            left_s = time_left_s(step, ran_s(state), percent)
            if is_better_moved(step, left_s, remaining_s):
                self.stopping.add((task, run.run), "upstream leaves")

    def _look_up(self, run: OpenRun) -> tuple[Step, TaskState]:
        entry = self.ledger.jobs[run.step.job_id]
        state = entry.step_state(run.step.occurrence, run.step.step)
        return entry.job.steps[run.step.step], state.tasks[run.index]


__all__ = ["StopFinder"]
