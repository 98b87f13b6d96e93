"""Builds the inputs of the dispatch policy from the job table and the fleet."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from functools import partial
from operator import attrgetter
from typing import TYPE_CHECKING

from ...clock import boottime_s, unix_ms
from ...protocol.upstream_messages import FULL_PROGRESS_PERCENT
from ...state.job_table import StepKey
from ..policy.dispatch.caller_costs import NO_STAKE, CallerStake
from ..policy.dispatch.model import (
    RunningUnit,
    UpstreamView,
    WaitingStep,
    core_equivalents,
)
from ..policy.dispatch.terms import DispatchTerms
from .caller_stakes import age_s, earlier_stops, find_stake
from .closed_runs import ClosedRuns, find_closed_runs
from .failures import EXCLUDE_AT_FAILURES
from .guaranteed_jobs import add_if_guaranteed, find_guaranteed_jobs
from .pending_room import PendingRoom
from .runs import elapsed_s
from .set_aside import set_aside
from .waiting_tasks import (
    count_tasks_per_upstream,
    is_last_attempt,
    is_suspect,
    lost_work_s,
    split_suspects,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterator

    from ...protocol.job import ResourceAmounts, Step
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobState, JobTable, StepState
    from ...state.operator_config import OperatorConfig
    from .failures import FailureTracker
    from .fleet import Fleet
    from .run_times import RunTimes
    from .runs import StopRequests
    from .upstream_lifetimes import UpstreamLifetimes
    from .upstream_runs import UpstreamRuns, UpstreamRunsCache
    from .upstream_speeds import UpstreamSpeeds

EXCLUDE_AFTER_FAILURES = 2
"""A job is not placed again on an upstream where this many of its runs have failed."""
WAVE_SHARE = 0.25
"""Share of the tasks of a step that fit into the pool of which its objective counts
one wave; from RULES, "Payoff"."""
MAX_FIT_COUNT = 1000
RACK_LABEL_INDEX = 1
"""Index of the rack in an upstream's labels."""


@dataclass(slots=True)
class PolicyInputs:
    """The inputs of one round of the dispatch policy.

    Attributes
    ----------
    lapsing : Collection of str
        Keys of the upstreams whose leases have to lapse before they take starts.
    """

    job_table: JobTable
    fleet: Fleet
    operator_config: OperatorConfig
    stopping: StopRequests
    failures: FailureTracker
    speeds: UpstreamSpeeds
    run_times: RunTimes
    waiting_since_s: dict[StepKey, float]
    upstream_runs: UpstreamRunsCache
    pending_room: PendingRoom = field(default_factory=PendingRoom)
    terms: DispatchTerms = field(default_factory=DispatchTerms)
    lifetimes: UpstreamLifetimes | None = None
    share_buckets: dict[str, int] = field(default_factory=dict)
    lapsing: Collection[str] = ()
    _stakes: dict[tuple[str, int], CallerStake] = field(
        init=False, default_factory=dict
    )
    _guaranteed_jobs: set[str] = field(init=False)
    _runs: dict[str, UpstreamRuns] = field(init=False)
    _closed_runs: ClosedRuns = field(init=False)
    _fit_counts: dict[tuple[str, ResourceAmounts], int] = field(
        init=False, default_factory=dict
    )

    def __post_init__(self) -> None:
        self._guaranteed_jobs = find_guaranteed_jobs(
            self.job_table, self.operator_config
        )
        reports = [(one.key, one) for one in self.fleet.reports()]
        runs = set_aside("upstream", reports, self.upstream_runs.find)
        self._runs = {one.key: one for one in runs}
        self._closed_runs = find_closed_runs(runs, self.fleet, self.job_table)

    def upstream_views(self) -> list[UpstreamView]:
        """Return the upstreams that accept starts.

        Those that seem to fail everything they start are excluded, unless all do.
        """
        now_s = boottime_s()
        reports = [
            (report.key, report)
            for vm in self.fleet.vms.values()
            if vm.is_responsive(now_s)
            for report in vm.upstreams.values()
            if report.accepting
            and report.zone not in self.operator_config.zones_out
            and report.key not in self.lapsing
        ]
        view = partial(
            self._upstream_view,
            now_s=now_s,
            relative_speed=self.speeds.in_use.relative_speed,
        )
        views = set_aside("upstream", reports, view)
        return [one for one in views if one.penalty < EXCLUDE_AT_FAILURES] or views

    def _upstream_view(
        self,
        report: UpstreamReport,
        *,
        now_s: float,
        relative_speed: Callable[[str], float],
    ) -> UpstreamView:
        runs = self._runs[report.key]
        free, releasing = runs.free, runs.releasing
        if report.key in self._closed_runs.used:
            closed = self._closed_runs.used[report.key]
            free, releasing = free.minus(closed), releasing.plus(closed)
        loss_rate, trouble = 0.0, 0.0
        if self.lifetimes is not None and self.lifetimes.is_used:
            loss_rate, trouble = self.lifetimes.rates_of(report.key, report.group)
        return UpstreamView(
            report.key,
            report.zone,
            rack_of(report),
            report.group,
            frozenset(report.labels),
            report.capacity,
            free,
            releasing,
            self.failures.recent_failures(report.key, now_s),
            runs.is_costly,
            relative_speed(report.key),
            runs.is_serving,
            runs.is_filling,
            not self.job_table.open_runs.get(report.key),
            set(runs.starting_jobs),
            set(runs.suspects),
            loss_rate,
            trouble,
        )

    def waiting_steps(self, now_ms: int) -> list[WaitingStep]:
        """Return the ready steps with tasks to place, and update `waiting_since_s`."""
        found: list[WaitingStep] = []
        work = partial(self._waiting_steps_of, now_ms=now_ms)
        for steps in set_aside("job", self.job_table.active.items(), work):
            found += steps
        return found

    def steps_of(self, job_state: JobState, now_ms: int) -> list[WaitingStep]:
        """Return the ready steps of a job that need not be in the job table."""
        add_if_guaranteed(
            job_state.job, self._guaranteed_jobs, self.job_table, self.operator_config
        )
        return self._waiting_steps_of(job_state, now_ms)

    def _waiting_steps_of(self, job_state: JobState, now_ms: int) -> list[WaitingStep]:
        if job_state.is_finished:
            return []
        now_s = boottime_s()
        found = []
        for occurrence, number, step in job_state.ready_steps(now_ms):
            key = StepKey(job_state.job.id, occurrence, number)
            state = job_state.step_state(occurrence, number)
            indices = self._waiting_indices(key, step, state)
            if not indices:
                self.waiting_since_s.pop(key, None)
                continue
            if self.failures.is_backing_off(key, now_s):
                continue
            since_s = self.waiting_since_s.setdefault(key, now_s)
            counts = count_tasks_per_upstream(state)
            found += [
                self._waiting_step(
                    job_state, key, group, counts, now_s - since_s, now_ms
                )
                for group in split_suspects(step, state, indices)
            ]
        return found

    def _waiting_step(
        self,
        job_state: JobState,
        key: StepKey,
        indices: list[int],
        tasks_per_upstream: dict[str, int],
        waited_s: float,
        now_ms: int,
    ) -> WaitingStep:
        job = job_state.job
        step = job.steps[key.step]
        state = job_state.step_state(key.occurrence, key.step)
        crashed_vms = {vm for index in indices for vm in state.tasks[index].crashed_vms}
        return WaitingStep(
            key,
            job,
            step,
            indices,
            tasks_per_upstream,
            waited_s,
            self._slack_s(job_state, key.occurrence, now_ms),
            self.run_times.expected_s(job, step, state),
            within_guarantee=job.id in self._guaranteed_jobs,
            deprioritized_upstreams=self.failures.failed_upstreams(job.id)
            | self._upstreams_of(crashed_vms),
            excluded_upstreams=self.failures.failed_upstreams(
                job.id, at_least=EXCLUDE_AFTER_FAILURES
            ),
            is_last_attempt=is_last_attempt(job, state, indices),
            is_suspect=is_suspect(state, indices),
            awaits_room=self.pending_room.is_awaited_by(key),
            share_bucket=self.share_buckets.get(job.workspace, 0),
            stake=self._stake(job_state, key),
        )

    def _waiting_indices(self, key: StepKey, step: Step, state: StepState) -> list[int]:
        """Return the tasks to start; a gang starts only with all of its tasks."""
        running = self._closed_runs.tasks
        waiting = [
            index for index in state.waiting_indices if (key, index) not in running
        ]
        return [] if step.gang and len(waiting) < step.count else waiting

    def _upstreams_of(self, vms: set[str]) -> frozenset[str]:
        """Return the keys of all upstreams that some VMs report."""
        found = [self.fleet.vms[vm].upstreams for vm in vms if vm in self.fleet.vms]
        return frozenset(key for upstreams in found for key in upstreams)

    def running_units(self) -> Iterator[RunningUnit]:
        """Yield the running units that may be preempted and are not being stopped."""
        work = self._running_units_of_job
        for units in set_aside("job", self.job_table.active.items(), work):
            yield from units

    def _running_units_of_job(self, job_state: JobState) -> list[RunningUnit]:
        units = []
        for (occurrence, number), state in job_state.steps.items():
            key = StepKey(job_state.job.id, occurrence, number)
            step = job_state.job.steps[number]
            units += self._running_units_of(job_state, key, step, state)
        return units

    def _running_units_of(
        self,
        job_state: JobState,
        key: StepKey,
        step: Step,
        state: StepState,
    ) -> list[RunningUnit]:
        indices = state.open_indices
        if not indices:
            return []
        groups = [indices] if step.gang else [(index,) for index in indices]
        if step.may_miss:
            groups = groups[: self._preemptible_count(key, step, state)]
        job = job_state.job
        expected_s = self.run_times.expected_s(job, step, state)
        units = []
        for group in groups:
            tasks = [state.tasks[index] for index in group]
            runs = [
                (key.task_name(index), task.run)
                for index, task in zip(group, tasks, strict=True)
            ]
            if self.stopping.has_any(runs):
                continue
            oldest = min(tasks, key=attrgetter("started_ms"))
            lost_s = lost_work_s(step, elapsed_s(oldest))
            remaining_s = [
                self.run_times.run_remaining_s(job.queue, step, task, name, expected_s)
                for task, (name, _run) in zip(tasks, runs, strict=True)
            ]
            likely_s = [
                self.run_times.likely_remaining_s(
                    job.queue, step, task, name, expected_s
                )
                for task, (name, _run) in zip(tasks, runs, strict=True)
            ]
            units.append(
                RunningUnit(
                    key,
                    group,
                    tuple([task.upstream for task in tasks]),
                    step.need,
                    job.priority,
                    job.workspace,
                    lost_s * core_equivalents(step.need) * len(group),
                    job.id in self._guaranteed_jobs,
                    max(remaining_s),
                    max([one for one in likely_s if one is not None], default=0.0),
                    earlier_stops(step, tasks),
                    step.checkpoints,
                    self._stake(job_state, key),
                )
            )
        return units

    def _preemptible_count(self, key: StepKey, step: Step, state: StepState) -> int:
        """Return how many more tasks of a step may be stopped, by its `may_miss`.

        Tasks that are not fully at work, or are being stopped, count as missing.
        """
        at_work = 0
        for index in state.open_indices:
            task = state.tasks[index]
            run = (key.task_name(index), task.run)
            is_at_work = (
                self.fleet.progress_percent(task.upstream, *run)
                >= FULL_PROGRESS_PERCENT
            )
            at_work += is_at_work and run not in self.stopping
        return max(step.may_miss - (step.count - at_work), 0)

    def _stake(self, job_state: JobState, key: StepKey) -> CallerStake:
        """Return what a job is worth to its caller, if the terms ask for it."""
        if not self.terms.caller_costs:
            return NO_STAKE
        found = self._stakes.get(key[:2])
        if found is None:
            now_ms = unix_ms()
            found = find_stake(
                job_state,
                key.occurrence,
                self.run_times,
                slack_s=self._slack_s(job_state, key.occurrence, now_ms),
                age_s=age_s(job_state.job, key.occurrence, now_ms),
            )
            self._stakes[key[:2]] = found
        return found

    def _slack_s(self, job_state: JobState, occurrence: int, now_ms: int) -> float:
        """Return how long the rest of a job can wait and still meet its objective."""
        job = job_state.job
        remaining_s = self._critical_path_s(job_state, occurrence, remaining_only=True)
        objective_s = self.objective_s(job_state, occurrence)
        return objective_s - age_s(job, occurrence, now_ms) - remaining_s

    def objective_s(self, job_state: JobState, occurrence: int = 0) -> float:
        """Return the time within which an occurrence of a job has to be done."""
        job = job_state.job
        path_s = self._critical_path_s(job_state, occurrence)
        return job.stretch * path_s + job.target_latency_ms / 1000

    def _critical_path_s(
        self, job_state: JobState, occurrence: int, *, remaining_only: bool = False
    ) -> float:
        """Return the expected critical path of all steps, or of those not done yet.

        For all steps it is the path that the objective counts: a wide step takes it
        several waves. Those not done yet count once, as they can run at one time.
        """
        job = job_state.job
        ends: list[float] = []
        for number, step in enumerate(job.steps):
            state = job_state.steps.get((occurrence, number))
            key = StepKey(job.id, occurrence, number)
            if remaining_only:
                own_s = self.run_times.remaining_path_s(job, key, step, state)
            else:
                own_s = self.run_times.path_s(job, key, step, state)
                own_s *= self._waves(job.group, step)
            ends.append(own_s + max((ends[one] for one in step.after), default=0.0))
        return max(ends, default=0.0)

    def _waves(self, group: str, step: Step) -> float:
        """Return in how many waves the objective lets a step run."""
        key = (group, step.need)
        if key not in self._fit_counts:
            capacities = Counter(
                [one.capacity for one in self.fleet.reports() if one.group == group]
            )
            self._fit_counts[key] = sum(
                capacity.fit_count(step.need, MAX_FIT_COUNT) * number
                for capacity, number in capacities.items()
            )
        return max(step.count / max(self._fit_counts[key] * WAVE_SHARE, 1.0), 1.0)


def rack_of(report: UpstreamReport) -> str:
    """Return the rack of an upstream, or '' if its labels name none."""
    labels = report.labels
    return labels[RACK_LABEL_INDEX] if len(labels) > RACK_LABEL_INDEX else ""


__all__ = ["PolicyInputs", "rack_of"]
