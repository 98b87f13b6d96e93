"""Closes runs that are known to have ended and records checkpoints of open ones."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...logs import decision
from ...protocol.upstream_messages import GRANT_ENDED, ORDER_EXPIRED
from ...state.job_table import DONE, FAILED, OPEN
from .beginnings import had_begun, record_beginnings
from .crashes import crashes_upstreams, find_crashes
from .policy_inputs import rack_of
from .run_log import RunLog
from .runs import NO_PROGRESS, elapsed_s
from .set_aside import set_aside
from .withheld_ends import WithheldEnds

if TYPE_CHECKING:
    from ...protocol.job import Step
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobState, JobTable, OpenRun, TaskState
    from .changes import StepChanges
    from .crashes import UpstreamCrash
    from .failures import FailureTracker
    from .fleet import Fleet
    from .run_times import RunTimes
    from .runs import StopRequests
    from .upstream_speeds import UpstreamSpeeds

IMMEDIATE_FAILURE_SHARE = 0.05
"""A run that fails within this share of its run time counts as an immediate failure."""
MIN_IMMEDIATE_FAILURE_S = 0.2
"""Minimum of that limit; covers sending the order, the start and the report."""
CHECKPOINT_INTERVAL_S = 1.0
"""Interval of storing checkpoints: the planner and an upstream may fail together."""

CLOSED = "closed"
"""End of a run that can never start any more."""
REFUSED = "refused: "
LATE_OUTCOMES = frozenset({REFUSED + ORDER_EXPIRED, REFUSED + GRANT_ENDED})
"""Ends of runs that no upstream has refused: their orders or grants came too late."""


@dataclass(slots=True)
class RunCloser:
    """Turns the reports of upstreams into changes of the job table."""

    job_table: JobTable
    fleet: Fleet
    stopping: StopRequests
    failures: FailureTracker
    speeds: UpstreamSpeeds
    run_times: RunTimes
    withheld_ends: WithheldEnds = field(default_factory=WithheldEnds)
    _checkpoints_recorded_s: float = field(default_factory=boottime_s)
    _log: RunLog = field(default_factory=RunLog)

    def close_reported(self, changes: StepChanges) -> dict[str, int]:
        """Close runs that their upstreams report as ended or as never to start.

        Returns
        -------
        dict
            For each upstream the number up to which its ends may be acknowledged.
        """
        self._forget_refusals()
        highest_numbers: dict[str, int] = {}
        self.withheld_ends.begin_round()

        def close(report: UpstreamReport) -> None:
            self._close_reported_by(report, changes)
            if report.ended:
                highest_numbers[report.key] = self.withheld_ends.acknowledgeable_upto(
                    report, changes, self.job_table
                )

        def close_last(report: UpstreamReport) -> None:
            self._close_reported_by(report, changes)

        newest = [(one.key, one) for one in self.fleet.reports()]
        last = [(one.key, one) for one in self.fleet.last_reports()]
        set_aside("upstream", newest, close)
        set_aside("upstream", last, close_last)
        self._log.write()
        return highest_numbers

    def _forget_refusals(self) -> None:
        """Forget the refusals of steps of which a later run is listed as running.

        A gang has started only once all of its members are.
        """
        for step, refused_run in self.failures.refused_steps.items():
            job_state = self.job_table.jobs.get(step.job_id)
            if job_state is None:
                continue
            tasks = job_state.step_state(step.occurrence, step.step).tasks
            has_started = all if job_state.job.steps[step.step].gang else any
            if has_started(
                task.phase == OPEN
                and task.run > refused_run
                and self.fleet.lists_running(
                    task.upstream, step.task_name(index), task.run
                )
                for index, task in enumerate(tasks)
            ):
                self.failures.forget_refusals(step)

    def close_expired(self, changes: StepChanges) -> None:
        """Close runs on upstream incarnations that can no longer run tasks.

        Runs that a later incarnation may execute stay open until they are settled.
        """

        def close(key: str) -> None:
            reason = self.fleet.end_reason(key)
            if reason:
                self._close_runs(changes, key, self.job_table.open_runs[key], reason)

        keys = [(key, key) for key, runs in self.job_table.open_runs.items() if runs]
        set_aside("upstream", keys, close)
        self._log.write()

    def _close_runs(
        self, changes: StepChanges, key: str, runs: dict[str, OpenRun], reason: str
    ) -> None:
        if reason == "lapsed":
            evidence = self.fleet.lease_evidence(key)
            decision("leases_expired", upstream=key, runs=len(runs), **evidence)
        crashes = find_crashes(self.fleet.find(key), runs)
        unsettled = self.fleet.unsettled_runs(key)
        for task, run in runs.items():
            if (task, run.run) in unsettled:
                continue
            checkpoint = self.fleet.latest_checkpoint(key, task, run.run)
            self._close(
                changes,
                key,
                task,
                run,
                reason,
                checkpoint,
                crashes.get(task),
                has_begun=had_begun(run, task, self.job_table, self.fleet),
            )

    def record_checkpoints(self, changes: StepChanges) -> None:
        """Record checkpoints and what has begun, every `CHECKPOINT_INTERVAL_S`."""
        if boottime_s() - self._checkpoints_recorded_s < CHECKPOINT_INTERVAL_S:
            return
        self._checkpoints_recorded_s = boottime_s()
        record_beginnings(changes, self.job_table, self.fleet)
        for report in self.fleet.reports():
            open_runs = self.job_table.open_runs.get(report.key, {})
            for row in report.running:
                run = open_runs.get(row.task)
                if run is None or run.run != row.run:
                    continue
                task = changes.task(run.step, run.index)
                if task.phase != OPEN:
                    continue
                if row.percent and task.crashed_vms:
                    changes.clear_suspicion(run.step, run.index)
                recorded = task.newer_checkpoint or task.checkpoint
                if row.checkpoint and recorded != row.checkpoint:
                    changes.record_checkpoint(run.step, run.index, row.checkpoint)

    def _close_reported_by(self, report: UpstreamReport, changes: StepChanges) -> None:
        if not (report.ended or report.closed or report.refused):
            return
        ends = [
            (row.task, row.run, row.outcome, row.checkpoint) for row in report.ended
        ]
        for restarted in self.fleet.restarted_keys(report.key) if ends else ():
            self._close_ended(changes, restarted, ends)
        ends += [(task, run, CLOSED, "") for task, run in report.closed]
        ends += [(task, run, REFUSED + why, "") for task, run, why in report.refused]
        self._close_ended(changes, report.key, ends)
        for row in report.ended:
            if row.outcome == "done":
                self._complete_task(changes, report.key, row.task, row.run)

    def _complete_task(
        self, changes: StepChanges, key: str, task: str, number: int
    ) -> None:
        """Complete a task by a run that was closed before its end was listed.

        An upstream that was out of contact lists what has ended there since.
        """
        found = self.job_table.find_task(task)
        if found is None:
            return
        step_key, index = found
        job_state = self.job_table.jobs[step_key.job_id]
        state = changes.task(step_key, index)
        if (
            state.is_done
            or number > state.run
            or job_state.is_finished
            or job_state.job.steps[step_key.step].long_running
        ):
            return
        changes.complete_task(step_key, index, number)
        decision(
            "closed_run_done",
            task=task,
            run=number,
            upstream=key,
            newest_run=state.run,
            newest_upstream=state.upstream,
            newest_open=state.phase == OPEN,
        )

    def _close_ended(
        self, changes: StepChanges, key: str, ends: list[tuple[str, int, str, str]]
    ) -> None:
        """Close the open runs of an incarnation that are among the ends."""
        open_runs = self.job_table.open_runs.get(key, {})
        for task, number, outcome, checkpoint in ends:
            run = open_runs.get(task)
            if run is not None and run.run == number:
                has_begun = outcome != CLOSED and not outcome.startswith(REFUSED)
                self._close(
                    changes, key, task, run, outcome, checkpoint, has_begun=has_begun
                )

    def _record_speed(self, upstream: str, run: OpenRun, ran_s: float) -> None:
        """Record the speed of a completed run, unless it says little of its upstream.

        Excluded are gangs, which run as fast as their slowest member, resumed runs,
        which did only part of the work, and tasks with a data rack, which are slow on
        all upstreams of other racks.
        """
        job_state = self.job_table.jobs[run.step.job_id]
        step = job_state.job.steps[run.step.step]
        if not ran_s or step.gang:
            return
        state = job_state.step_state(run.step.occurrence, run.step.step)
        expected_s = self.run_times.expected_s(job_state.job, step, state)
        self.speeds.record_run(upstream, expected_s, ran_s)

    def _log_end(
        self,
        changes: StepChanges,
        run: OpenRun,
        outcome: str,
        before: TaskState,
        tasks_before: tuple[TaskState, ...],
    ) -> None:
        """Log the end of a run, and of the members of its gang that end with it."""
        tasks = changes.tasks(run.step)
        ended = {run.index: before}
        if outcome == "done":
            ended |= {
                index: task
                for index, task in enumerate(tasks_before)
                if task.phase == OPEN and tasks[index].phase == DONE
            }
        shared = {
            "run": run.run,
            "how": outcome,
            "why": self.stopping.reason((run.step.task_name(run.index), run.run)),
        }
        for index, task in ended.items():
            own = {"upstream": task.upstream, "ran_s": round(elapsed_s(task), 2)}
            self._log.add("run_ended", run.step.task_name(index), shared, own)

    def _record_cut_off(
        self, job_state: JobState, run: OpenRun, task: TaskState
    ) -> None:
        """Record how long a run has gone on that was stopped or lost.

        Excluded are gangs, which end with each of their members, runs that had stood
        still, and those that are excluded among the runs that were done.
        """
        job = job_state.job
        step = job.steps[run.step.step]
        name = run.step.task_name(run.index)
        if (
            step.gang
            or step.data_rack
            or step.long_running
            or task.checkpoint
            or self.stopping.reason((name, run.run)) == NO_PROGRESS
        ):
            return
        state = job_state.step_state(run.step.occurrence, run.step.step)
        self.run_times.record_cut_off(job, step, elapsed_s(task), state)

    def _undisturbed_s(
        self, step: Step, tasks: tuple[TaskState, ...], index: int
    ) -> float:
        """Return the time that a run took, 0 where that says little of its task.

        A resumed run did only part of the work, and a run away from its data, or in a
        gang on several racks, was slowed by its placement.
        """
        task = tasks[index]
        if task.checkpoint or step.long_running or step.data_rack:
            return 0.0
        if step.gang and step.rack_sensitive:
            reports = [self.fleet.find(one.upstream) for one in tasks]
            racks = {rack_of(one) for one in reports if one is not None}
            if len(racks) != 1:
                return 0.0
        return elapsed_s(task)

    def _close(
        self,
        changes: StepChanges,
        upstream: str,
        task: str,
        run: OpenRun,
        outcome: str,
        checkpoint: str,
        crash: UpstreamCrash | None = None,
        *,
        has_begun: bool,
    ) -> None:
        before = changes.task(run.step, run.index)
        if before.phase != OPEN:
            return
        gang_before = changes.tasks(run.step)
        job_state = self.job_table.jobs[run.step.job_id]
        job = job_state.job
        step = job.steps[run.step.step]
        ran_s = 0.0
        if outcome == "done":
            ran_s = self._undisturbed_s(step, changes.tasks(run.step), run.index)
        changes.end_run(
            run.step,
            run.index,
            outcome,
            checkpoint,
            max_attempts=job.max_attempts,
            ran_ms=round(ran_s * 1000),
            crash=crash,
            has_begun=has_begun,
        )
        if outcome == "done":
            self.failures.record_success(upstream, boottime_s() - elapsed_s(before))
            self._record_speed(upstream, run, ran_s)
            work_s = self.speeds.record_end(upstream, task, run, ran_s)
            if work_s:
                state = job_state.step_state(run.step.occurrence, run.step.step)
                self.run_times.record_run(job, step, work_s, state)
        elif outcome == "failed":
            state = job_state.step_state(run.step.occurrence, run.step.step)
            expected_s = self.run_times.expected_s(job, step, state)
            self.failures.record_failure(
                upstream,
                job.id,
                run.run,
                boottime_s(),
                immediate=elapsed_s(before)
                < max(expected_s * IMMEDIATE_FAILURE_SHARE, MIN_IMMEDIATE_FAILURE_S),
            )
        elif outcome.startswith(REFUSED) and outcome not in LATE_OUTCOMES:
            self.failures.record_refusal(run.step, boottime_s(), run.run)
        if has_begun and outcome not in ("done", "failed"):
            self._record_cut_off(job_state, run, before)
        self._log_end(changes, run, outcome, before, gang_before)
        if crash is not None:
            _log_crash(task, run.run, crash, changes.task(run.step, run.index))


def _log_crash(
    task: str, run_number: int, crash: UpstreamCrash, after: TaskState
) -> None:
    """Log the suspicion, and whether the task is given up."""
    decision(
        "crash_suspected",
        task=task,
        run=run_number,
        vm=crash.vm,
        lone_suspect=crash.is_lone_suspect,
        crashes=len(after.crashed_vms),
    )
    if after.phase == FAILED and crashes_upstreams(after):
        decision(
            "task_given_up",
            task=task,
            why="upstreams crashed as they started it",
            vms=after.crashed_vms,
        )


__all__ = ["RunCloser"]
