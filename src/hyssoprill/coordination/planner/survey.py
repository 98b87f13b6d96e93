"""Turns ledger and fleet into what the dispatch decisions are taken on."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...protocol.job import ZERO_AMOUNTS
from ...protocol.upstream_messages import FULL_PROGRESS_PERCENT
from ...state.job_table import OPEN, WAITING, StepKey
from ..policy.dispatch.leaving import time_left_s
from ..policy.dispatch.model import (
    RunningUnit,
    UpstreamView,
    WaitingStep,
    core_equivalents,
)
from .runs import ran_s
from .suspicion import EXCLUDE_MARKS

if TYPE_CHECKING:
    from ...protocol.job import Step
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobState, JobTable, StepState
    from ...state.operator_config import OperatorConfig
    from .fleet import Fleet
    from .runs import StopNotes
    from .speeds import Speeds
    from .suspicion import Suspicion

SHUN_FAILURES = 2
"""A job does not go back where so many of its runs have failed."""
LASTING_RESTART_S = 5.0
"""A stopped task that lasts is away for about so long: stop, place and start-up."""
RACK_LABEL_INDEX = 1
"""Position of the rack among an upstream's labels."""


@dataclass(slots=True)
class Survey:
    """Everything that one round of decisions needs."""

    ledger: JobTable
    fleet: Fleet
    directory: OperatorConfig
    stopping: StopNotes
    suspicion: Suspicion
    speeds: Speeds
    waiting_since_s: dict[StepKey, float]
    _claims: set[str] = field(init=False)

    def __post_init__(self) -> None:
        self._claims = self._covered_jobs()

    def upstreams(self) -> list[UpstreamView]:
        """Return the upstreams that may get starts.

        Those that seem to fail all they start are left out, unless all do.
        """
        views = []
        now_s = boottime_s()
        for name, vm in self.fleet.vms.items():
            if not self.fleet.is_fresh(name):
                continue
            for report in vm.upstreams.values():
                if not report.accepting or report.zone in self.directory.zones_out:
                    continue
                marks = self.suspicion.marks(report.key, now_s)
                views.append(self._view(report, marks))
        return [one for one in views if one.penalty < EXCLUDE_MARKS] or views

    def _view(self, report: UpstreamReport, marks: int) -> UpstreamView:
        used, leaving = ZERO_AMOUNTS, ZERO_AMOUNTS
        dear = serves = fills = False
        for task, run in self.ledger.open_runs.get(report.key, {}).items():
            step = self._step(run.step)
            used = used.plus(step.need)
            serves |= step.target_ms > 0
            fills |= step.fills
            if (task, run.run) in self.stopping:
                leaving = leaving.plus(step.need)
            else:
                dear |= not step.checkpoints and self._priority(run.step) > 0
        return UpstreamView(
            report.key,
            report.zone,
            rack_of(report),
            report.group,
            frozenset(report.labels),
            report.capacity,
            report.capacity.minus(used),
            leaving,
            marks,
            dear,
            self.speeds.of(report.key),
            serves,
            fills,
        )

    def waiting(self, now_ms: int) -> list[WaitingStep]:
        """Return the steps with tasks that wait for a place."""
        now_s = boottime_s()
        found = []
        for entry in self.ledger.active.values():
            if entry.is_finished:
                continue
            for occurrence, number, step in entry.ready_steps(now_ms):
                key = StepKey(entry.job.id, occurrence, number)
                state = entry.step_state(occurrence, number)
                indices = _waiting_indices(step, state)
                if not indices:
                    self.waiting_since_s.pop(key, None)
                    continue
                if self.suspicion.has_to_wait(key, now_s):
                    continue
                since_s = self.waiting_since_s.setdefault(key, now_s)
                found.append(
                    WaitingStep(
                        key,
                        entry.job,
                        step,
                        indices,
                        _placed(state),
                        now_s - since_s,
                        _slack_s(entry, occurrence, now_ms),
                        within_guarantee=entry.job.id in self._claims,
                        avoid=self.suspicion.failed_on(entry.job.id),
                        shun=self.suspicion.failed_on(
                            entry.job.id, least=SHUN_FAILURES
                        ),
                        is_last=_is_last_attempt(entry, state, indices),
                    )
                )
        return found

    def units(self) -> list[RunningUnit]:
        """Return what runs and is not being stopped."""
        units = []
        for entry in self.ledger.active.values():
            for (occurrence, number), state in entry.steps.items():
                key = StepKey(entry.job.id, occurrence, number)
                step = entry.job.steps[number]
                units += self._units_of(entry, key, step, state)
        return units

    def _units_of(
        self,
        entry: JobState,
        key: StepKey,
        step: Step,
        state: StepState,
    ) -> list[RunningUnit]:
        indices = [
            index for index, task in enumerate(state.tasks) if task.phase == OPEN
        ]
        groups = [indices] if step.gang else [[index] for index in indices]
        if step.may_miss:
            groups = groups[: self._stoppable(key, step, state)]
        units = []
        for group in groups:
            runs = [(key.task_name(index), state.tasks[index].run) for index in group]
            if not runs or any(run in self.stopping for run in runs):
                continue
            pairs = list(zip(group, runs, strict=True))
            longest_s = max(ran_s(state.tasks[index]) for index in group)
            lost_s = _lost_s(step, longest_s)
            units.append(
                RunningUnit(
                    key,
                    tuple(group),
                    tuple(state.tasks[index].upstream for index in group),
                    step.need,
                    entry.job.priority,
                    entry.job.workspace,
                    lost_s * core_equivalents(step.need) * len(group),
                    entry.job.id in self._claims,
                    max(self._left_s(step, state, i, run) for i, run in pairs),
                )
            )
        return units

    def _stoppable(self, key: StepKey, step: Step, state: StepState) -> int:
        """Return how many tasks of a step may be stopped, as few are away already."""
        at_work = 0
        for index, task in enumerate(state.tasks):
            run = (key.task_name(index), task.run)
            is_whole = self.fleet.percent(task.upstream, *run) >= FULL_PROGRESS_PERCENT
            at_work += task.phase == OPEN and is_whole and run not in self.stopping
        return max(step.may_miss - (step.count - at_work), 0)

    def _left_s(
        self, step: Step, state: StepState, index: int, run: tuple[str, int]
    ) -> float:
        """Return how long an open run probably still takes."""
        task = state.tasks[index]
        percent = self.fleet.percent(task.upstream, *run)
        return time_left_s(step, ran_s(task), percent)

    def _covered_jobs(self) -> set[str]:
        """Return the urgent jobs that their workspaces' guarantees cover."""
        needs: dict[str, list[tuple[int, str, int]]] = defaultdict(list)
        for entry in self.ledger.active.values():
            job = entry.job
            if job.priority == 0 and not entry.is_finished:
                total = sum(one.need.accelerators * one.count for one in job.steps)
                needs[job.workspace].append((job.accepted_ms, job.id, total))
        covered: set[str] = set()
        for workspace, jobs in needs.items():
            left = self.directory.guaranteed_accelerators(workspace)
            for _accepted_ms, job_id, total in sorted(jobs):
                if total <= left:
                    left -= total
                    covered.add(job_id)
        return covered

    def _priority(self, key: StepKey) -> int:
        return self.ledger.jobs[key.job_id].job.priority

    def _step(self, key: StepKey) -> Step:
        return self.ledger.jobs[key.job_id].job.steps[key.step]


def rack_of(report: UpstreamReport) -> str:
    """Return the rack of an upstream, or '' where it tells none."""
    labels = report.labels
    return labels[RACK_LABEL_INDEX] if len(labels) > RACK_LABEL_INDEX else ""


def _lost_s(step: Step, ran_s: float) -> float:
    """Return for how many seconds a stopped task has worked, or serves, in vain."""
    if step.checkpoints:
        return 0.0
    return LASTING_RESTART_S if step.long_running else ran_s


def _waiting_indices(step: Step, state: StepState) -> list[int]:
    waiting = [i for i, task in enumerate(state.tasks) if task.phase == WAITING]
    if step.gang and len(waiting) < step.count:
        return []
    return waiting


def _placed(state: StepState) -> dict[str, int]:
    placed: dict[str, int] = defaultdict(int)
    for task in state.tasks:
        if task.phase == OPEN:
            placed[task.upstream] += 1
    return placed


def _is_last_attempt(entry: JobState, state: StepState, indices: list[int]) -> bool:
    most = max(state.tasks[index].failures for index in indices)
    return most > 0 and most + 1 >= entry.job.max_attempts


def _slack_s(entry: JobState, occurrence: int, now_ms: int) -> float:
    """Return how long the rest of a job may still wait and meet its objective."""
    job = entry.job
    chain_ms = _chain_ms(job.steps, entry, occurrence, left=False)
    left_ms = _chain_ms(job.steps, entry, occurrence, left=True)
    start_ms = max(job.accepted_ms, job.due_ms(occurrence))
    objective_ms = start_ms + job.stretch * chain_ms + job.target_latency_ms
    return (objective_ms - left_ms - now_ms) / 1000


def _chain_ms(
    steps: tuple[Step, ...], entry: JobState, occurrence: int, *, left: bool
) -> int:
    """Return the longest chain of estimated work, of all or of what is left."""
    ends: list[int] = []
    for number, step in enumerate(steps):
        state = entry.steps.get((occurrence, number))
        done = left and state is not None and state.is_done
        own_ms = 0 if done else step.estimate_ms
        ends.append(own_ms + max((ends[one] for one in step.after), default=0))
    return max(ends, default=0)


__all__ = ["Survey", "rack_of"]
