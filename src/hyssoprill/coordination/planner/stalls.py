"""Finds runs that stand still, and remembers how long hangs have lasted."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ...clock import boottime_s
from ...logs import decision
from ...protocol.upstream_messages import FULL_PROGRESS_PERCENT
from ...state.job_table import OPEN
from ..policy.dispatch.hangs import HangTimes, is_stalled, restart_cost_s
from ..policy.dispatch.terms import DispatchTerms
from .runs import NO_PROGRESS, elapsed_s

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...protocol.job import Step
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobTable, OpenRun, TaskState
    from .failures import FailureTracker
    from .fleet import Fleet
    from .run_times import RunTimes
    from .runs import RunKey, StopRequests


class _Hang(NamedTuple):
    """A hang that lasts, seen by one of its runs."""

    run: RunKey
    upstream: str
    lasted_s: float


@dataclass(slots=True)
class StallFinder:
    """Requests stops of runs that a restart brings on sooner than waiting.

    What is known of hangs belongs to the planner's memory: a new one begins without.

    Attributes
    ----------
    is_in_force : bool
        Whether it decides; otherwise nothing is recorded.
    """

    job_table: JobTable
    fleet: Fleet
    stopping: StopRequests
    failures: FailureTracker
    run_times: RunTimes
    is_in_force: bool = False
    _terms: DispatchTerms = field(default_factory=DispatchTerms)
    _hang_times: HangTimes = field(default_factory=HangTimes)
    _hangs: dict[tuple[str, int], _Hang] = field(default_factory=dict)
    _seen: dict[tuple[str, int], _Hang] = field(default_factory=dict)
    _gangs: dict[tuple[str, int], float] = field(default_factory=dict)

    def use_terms(self, terms: DispatchTerms) -> None:
        """Adopt the terms in force."""
        self._terms = terms
        self.is_in_force = terms.run_time_tails
        if not self.is_in_force:
            self.clear()

    def clear(self) -> None:
        """Drop everything, at the start of a term."""
        self._hang_times = HangTimes()
        self._hangs.clear()
        self._seen.clear()
        self._gangs.clear()

    def check(self, report: UpstreamReport, agent_clock_s: float) -> None:
        """Request stops of stalled runs of an upstream."""
        open_runs = self.job_table.open_runs.get(report.key, {})
        for task, number, since_s in report.stalled:
            run = open_runs.get(task)
            key = (task, number)
            if run is None or run.run != number or key in self.stopping:
                continue
            self._check_run(report, task, run, agent_clock_s - since_s)

    def end_round(self) -> None:
        """Record the hangs that have ended since the last round."""
        if not self.is_in_force:
            return
        for key in self._hangs.keys() - self._seen.keys():
            hang = self._hangs[key]
            # It has ended if its run goes on, and is cut off if the run is gone.
            goes_on = hang.run not in self.stopping and self.fleet.lists_running(
                hang.upstream, *hang.run
            )
            self._hang_times.record(hang.lasted_s, has_ended=goes_on)
            decision(
                "hang_ended",
                upstream=hang.upstream,
                lasted_s=round(hang.lasted_s, 2),
                runs_went_on=goes_on,
            )
        self._hangs, self._seen = self._seen, {}
        self._gangs.clear()

    def _check_run(
        self, report: UpstreamReport, name: str, run: OpenRun, stalled_s: float
    ) -> None:
        job = self.job_table.jobs[run.step.job_id].job
        step = job.steps[run.step.step]
        hang_key = (run.step.record_key, run.run) if step.gang else (report.key, 0)
        key = (name, run.run)
        if not step.gang:
            stalled_s = self._stalled_s(run, stalled_s)
        else:
            # Each of its members may be listed as stalled.
            if hang_key not in self._gangs:
                gang_s = min(self._gang_stalls(run, step), default=0.0)
                self._gangs[hang_key] = self._stalled_s(run, gang_s)
            stalled_s = self._gangs[hang_key]
        if not stalled_s:
            return
        known = self._seen.get(hang_key)
        if known is None or known.lasted_s < stalled_s:
            self._seen[hang_key] = _Hang(key, report.key, stalled_s)
        worked_s = elapsed_s(self._task(run)) - stalled_s
        cost_s = restart_cost_s(step, worked_s, self._terms)
        if self._hang_times.should_restart(stalled_s, cost_s):
            if not step.gang or _stands_still(report):
                self.failures.record_failure(report.key, job.id, run.run, boottime_s())
            self.stopping.add(key, report.key, NO_PROGRESS)

    def _stalled_s(self, run: OpenRun, still_s: float) -> float:
        """Return for how long a run is stalled that has made no progress for so long.

        It is 0 while a percent of the run may take that time. A gang advances by its
        member with the least progress.
        """
        if still_s <= 0:
            return 0.0
        job_state = self.job_table.jobs[run.step.job_id]
        job = job_state.job
        step = job.steps[run.step.step]
        state = job_state.step_state(run.step.occurrence, run.step.step)
        indices = range(step.count) if step.gang else (run.index,)
        percent = min(
            self.fleet.progress_percent(
                state.tasks[index].upstream, run.step.task_name(index), run.run
            )
            for index in indices
        )
        task = state.tasks[run.index]
        worked_s = max(elapsed_s(task) - still_s, 0.0)
        expected_s = self.run_times.expected_s(job, step, state)
        known_percent = 0 if task.checkpoint else percent
        total_s = self.run_times.likely_total_s(
            job.queue, expected_s, worked_s, known_percent
        )
        return still_s if is_stalled(still_s, total_s) else 0.0

    def _gang_stalls(self, run: OpenRun, step: Step) -> Iterator[float]:
        """Yield for how long each member has stood still that has work left.

        A member that goes on yields 0.
        """
        for index in range(step.count):
            task = self._task(run, index)
            if task.phase != OPEN:
                continue
            name = run.step.task_name(index)
            vm = self.fleet.vms.get(task.upstream.partition("|")[0])
            report = self.fleet.find(task.upstream)
            percent = self.fleet.progress_percent(task.upstream, name, task.run)
            if vm is None or report is None or percent >= FULL_PROGRESS_PERCENT:
                continue
            yield next(
                (
                    vm.agent_clock_s - since_s
                    for other, number, since_s in report.stalled
                    if (other, number) == (name, task.run)
                ),
                0.0,
            )

    def _task(self, run: OpenRun, index: int | None = None) -> TaskState:
        job_state = self.job_table.jobs[run.step.job_id]
        state = job_state.step_state(run.step.occurrence, run.step.step)
        return state.tasks[run.index if index is None else index]


def _stands_still(report: UpstreamReport) -> bool:
    """Return whether all unfinished runs of an upstream stand still."""
    stalled = {(task, number) for task, number, _since_s in report.stalled}
    return all(
        (row.task, row.run) in stalled
        for row in report.running
        if row.percent < FULL_PROGRESS_PERCENT
    )


__all__ = ["StallFinder"]
