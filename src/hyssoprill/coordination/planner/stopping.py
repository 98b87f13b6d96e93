"""Requests stops of open runs for reasons other than preemption."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s, unix_ms
from ...protocol.job import ZERO_AMOUNTS
from ...state.job_table import OPEN, StepKey
from ..policy.dispatch.departures import should_leave
from ..policy.dispatch.draining import should_migrate
from ..policy.dispatch.stalled_runs import should_restart
from ..upstream.planner_grant import LEASE_EXPIRY_S
from .runs import NO_PROGRESS, elapsed_s
from .set_aside import set_aside
from .stalls import StallFinder

if TYPE_CHECKING:
    from ...protocol.job import Step
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobState, JobTable, OpenRun, TaskState
    from .changes import StepChanges
    from .failures import FailureTracker
    from .fleet import Fleet
    from .run_times import RunTimes
    from .runs import StopRequests
    from .upstream_lifetimes import UpstreamLifetimes
    from .upstream_runs import UpstreamRunsCache

MAX_LISTING_DELAY_S = 1.2
"""A run that an upstream has started is reported as running within this time.

Its agent reads the listing with renewals that wait for up to 1 s."""


@dataclass(slots=True)
class StopFinder:
    """Finds open runs that have to stop.

    They are runs of finished jobs, of broken gangs and of tasks that are done, runs
    without progress, runs on draining upstreams, and runs that were yet to start where
    capacity has shrunk.
    """

    job_table: JobTable
    fleet: Fleet
    stopping: StopRequests
    failures: FailureTracker
    run_times: RunTimes
    upstream_runs: UpstreamRunsCache
    lifetimes: UpstreamLifetimes
    stalls: StallFinder = field(init=False)

    def __post_init__(self) -> None:
        self.stalls = StallFinder(
            self.job_table, self.fleet, self.stopping, self.failures, self.run_times
        )

    def request_stops(self) -> None:
        """Request a stop of each run that has to stop now."""
        set_aside("job", self.job_table.active.items(), self._stop_job)
        reports = [
            (report.key, (report, vm.agent_clock_s))
            for vm in self.fleet.vms.values()
            for report in vm.upstreams.values()
        ]
        set_aside("upstream", reports, self._stop_on_upstream)
        self.stalls.end_round()

    def withdraw_broken_gangs(self, changes: StepChanges) -> set[str]:
        """Request stops of the rest of gangs that break by changes yet to be stored.

        Returns
        -------
        set of str
            The upstreams of the runs that were not being stopped before.
        """
        upstreams = set()
        for key in changes.steps:
            step = self.job_table.jobs[key.job_id].job.steps[key.step]
            tasks = changes.tasks(key)
            open_indices = [i for i, task in enumerate(tasks) if task.phase == OPEN]
            if not step.gang or len(open_indices) == step.count:
                continue
            for index in open_indices:
                run = (key.task_name(index), tasks[index].run)
                if run not in self.stopping:
                    self.stopping.add(run, tasks[index].upstream, "gang broken")
                    upstreams.add(tasks[index].upstream)
        return upstreams

    def _stop_on_upstream(self, reported: tuple[UpstreamReport, float]) -> None:
        """Request stops of runs that are stalled there, or that it has no room for.

        `reported` is its report, and the newest clock of its agent.
        """
        report, agent_clock_s = reported
        if self.stalls.is_in_force:
            self.stalls.check(report, agent_clock_s)
        else:
            for task, number, since_s in report.stalled:
                self._stop_stalled(report.key, task, number, agent_clock_s - since_s)
        if report.draining:
            self._stop_draining(report.key, report.remaining_ms / 1000)
        if report.accepting:
            self._withdraw_excess(report)

    def _stop_job(self, job_state: JobState) -> None:
        """Request stops of runs of a finished job, a broken gang or a done task."""
        end_status = job_state.status if job_state.is_finished else ""
        for (occurrence, number), state in job_state.steps.items():
            step = job_state.job.steps[number]
            key = StepKey(job_state.job.id, occurrence, number)
            reason = end_status
            if not reason and step.gang and 0 < len(state.open_indices) < step.count:
                reason = "gang broken"
            if not reason and not state.has_done_runs:
                continue
            for index in state.open_indices:
                task = state.tasks[index]
                why = "an earlier run is done" if task.done_run else reason
                if why:
                    run = (key.task_name(index), task.run)
                    self.stopping.add(run, task.upstream, why)

    def _stop_stalled(
        self, upstream: str, task: str, run_number: int, stalled_s: float
    ) -> None:
        """Request a stop of a stalled run, and record a failure of the upstream."""
        run = self.job_table.open_runs.get(upstream, {}).get(task)
        if run is None or run.run != run_number or (task, run_number) in self.stopping:
            return
        step, state = self._look_up(run)
        if should_restart(step, elapsed_s(state), stalled_s):
            self.failures.record_failure(
                upstream, run.step.job_id, run_number, boottime_s()
            )
            self.stopping.add((task, run_number), upstream, NO_PROGRESS)

    def _stop_draining(self, upstream: str, upstream_remaining_s: float) -> None:
        """Request stops of the runs to migrate off a draining upstream."""
        for task, run in self.job_table.open_runs.get(upstream, {}).items():
            job_state = self.job_table.jobs[run.step.job_id]
            remaining_s = self.run_times.remaining_s(job_state, run.step, run.index)
            if self._has_to_leave(upstream, run, remaining_s, upstream_remaining_s):
                self.stopping.add((task, run.run), upstream, "upstream leaves")

    def _has_to_leave(
        self, upstream: str, run: OpenRun, remaining_s: float, announced_s: float
    ) -> bool:
        """Return whether a run is to start elsewhere before its upstream leaves."""
        step, state = self._look_up(run)
        if not self.lifetimes.is_used:
            return should_migrate(step, remaining_s, announced_s)
        return should_leave(
            step,
            self.lifetimes.departures,
            ran_s=elapsed_s(state),
            run_remaining_s=remaining_s,
            announced_s=self.lifetimes.announced_s(upstream, announced_s),
            lapse_s=LEASE_EXPIRY_S,
        )

    def _withdraw_excess(self, report: UpstreamReport) -> None:
        """Request stops of runs yet to start on an upstream whose capacity has shrunk.

        Runs that it lists go on, and those being stopped count until they have ended.
        So none of the others may start; they are planned again on what is left.
        """
        runs = self.upstream_runs.find(report)
        if not runs.unlisted or runs.free.covers(ZERO_AMOUNTS):
            return
        for run in runs.unlisted:
            step, state = self._look_up(run)
            if not _may_be_unlisted(state):
                self._withdraw(run, step)

    def _withdraw(self, run: OpenRun, step: Step) -> None:
        """Request a stop of a run, and of all runs of its gang."""
        indices = range(step.count) if step.gang else (run.index,)
        job_state = self.job_table.jobs[run.step.job_id]
        tasks = job_state.step_state(run.step.occurrence, run.step.step).tasks
        for index in indices:
            task = tasks[index]
            if task.phase == OPEN:
                key = (run.step.task_name(index), task.run)
                self.stopping.add(key, task.upstream, "capacity shrank")

    def _look_up(self, run: OpenRun) -> tuple[Step, TaskState]:
        job_state = self.job_table.jobs[run.step.job_id]
        state = job_state.step_state(run.step.occurrence, run.step.step)
        return job_state.job.steps[run.step.step], state.tasks[run.index]


def _may_be_unlisted(task: TaskState) -> bool:
    """Return whether the newest run of a task is too recent to be listed for certain.

    A run from the future was started before the clock was set back.
    """
    return abs(unix_ms() - task.started_ms) < MAX_LISTING_DELAY_S * 1000


__all__ = ["StopFinder"]
