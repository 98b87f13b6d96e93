"""Tells how long tasks will run: by their progress, their step and their queue."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...state.job_table import DONE
from ..policy.dispatch.run_time_model import (
    MIN_RELIABLE_PERCENT,
    RunTimeModel,
    estimate_remaining_s,
)
from ..policy.dispatch.run_time_tails import RunTimeTails
from .runs import elapsed_s
from .set_aside import set_aside

if TYPE_CHECKING:
    from ...protocol.job import Job, Step
    from ...state.job_table import JobState, JobTable, StepKey, StepState, TaskState
    from .fleet import Fleet
    from .progress_speeds import ProgressSpeeds


@dataclass(slots=True)
class RunTimes:
    """Run times of all tasks that wait or run, in seconds.

    What a task's own progress tells goes before what other tasks of its step took, and
    that before the history of its queue.

    Attributes
    ----------
    tails : RunTimeTails or None
        Run times beyond the expected ones; None while they are not in force.
    speeds : ProgressSpeeds or None
        Speeds of upstreams by which the rest of runs there is expected; None for none.
    """

    job_table: JobTable
    fleet: Fleet
    model: RunTimeModel = field(default_factory=RunTimeModel)
    speeds: ProgressSpeeds | None = None
    tails: RunTimeTails | None = None

    def rebuild(self) -> None:
        """Learn again from the jobs in the job table, at the start of a term."""
        self.model.clear()
        set_aside("job", self.job_table.jobs.items(), self._record_runs)
        if self.tails is not None:
            self.tails.clear()
            set_aside("job", self.job_table.jobs.items(), self._record_tails)

    def use_tails(self, *, in_force: bool) -> None:
        """Learn tails from now on, and from the jobs in the job table, or drop them."""
        if in_force == (self.tails is not None):
            return
        self.tails = RunTimeTails() if in_force else None
        self.rebuild()

    def retain(self, queues: set[str]) -> None:
        """Drop all queues but the given ones."""
        self.model.retain(queues)
        if self.tails is not None:
            self.tails.retain(queues)

    def _record_runs(self, job_state: JobState) -> None:
        for (_occurrence, number), state in job_state.steps.items():
            step = job_state.job.steps[number]
            for task in state.tasks:
                if task.phase == DONE and task.ran_ms:
                    self.record_run(job_state.job, step, task.ran_ms / 1000)

    def _record_tails(self, job_state: JobState) -> None:
        for (_occurrence, number), state in job_state.steps.items():
            step = job_state.job.steps[number]
            ran_ms = [one.ran_ms for one in state.tasks if one.phase == DONE]
            known_ms = [one for one in ran_ms if one]
            for one in known_ms:
                # As when it ended, it is compared with the others of its step.
                others_ms = sum(known_ms) - one
                mean_s = others_ms / max(len(known_ms) - 1, 1) / 1000
                self._record_tail(job_state.job, step, mean_s, one / 1000)

    def _record_tail(
        self,
        job: Job,
        step: Step,
        siblings_s: float | None,
        ran_s: float,
        *,
        is_done: bool = True,
    ) -> None:
        """Record a run time, given the mean of the step's other tasks if known."""
        estimated_s = self.model.expected_s(job.queue, step.estimate_ms / 1000)
        if self.tails is not None:
            expected_s = siblings_s or estimated_s
            self.tails.record(job.queue, expected_s, ran_s, is_done=is_done)

    def record_cut_off(
        self, job: Job, step: Step, ran_s: float, state: StepState
    ) -> None:
        """Record a run that was stopped, or lost, before it was done."""
        self._record_tail(job, step, state.mean_ran_s, ran_s, is_done=False)

    def record_run(
        self, job: Job, step: Step, ran_s: float, state: StepState | None = None
    ) -> None:
        """Record a run that was done and not slowed by its placement.

        `state` is the state of its step before the end of the run, if known.
        """
        if state is not None:
            self._record_tail(job, step, state.mean_ran_s, ran_s)
        weight = 1.0 if step.gang else 1.0 / step.count
        estimate_s = step.estimate_ms / 1000
        self.model.record(job.queue, estimate_s, ran_s, weight=weight)

    def expected_s(self, job: Job, step: Step, state: StepState | None) -> float:
        """Return the expected run time of a task of a step."""
        if state is not None and state.mean_ran_s is not None:
            return state.mean_ran_s
        return self.model.expected_s(job.queue, step.estimate_ms / 1000)

    def path_s(
        self, job: Job, key: StepKey, step: Step, state: StepState | None
    ) -> float:
        """Return the time that the longest task of a step takes in all."""
        expected_s = self.expected_s(job, step, state)
        if self.tails is None or step.long_running:
            return expected_s
        count = 1 if step.gang else step.count
        longest_s = self.tails.longest_s(job.queue, expected_s, count)
        if state is None:
            return longest_s
        elapsed, remaining = self._oldest_run_s(job, key, step, state, expected_s)
        done_s = max([one.ran_ms for one in state.tasks], default=0) / 1000
        if state.is_done:
            return done_s or longest_s
        return max(longest_s, done_s, elapsed + remaining)

    def remaining_path_s(
        self, job: Job, key: StepKey, step: Step, state: StepState | None
    ) -> float:
        """Return the time that a step takes yet; its waiting tasks can run at once."""
        if state is not None and state.is_done:
            return 0.0
        expected_s = self.expected_s(job, step, state)
        if self.tails is None or step.long_running:
            return expected_s
        if state is None:
            count = 1 if step.gang else step.count
            return self.tails.longest_s(job.queue, expected_s, count)
        waiting = len(state.waiting_indices)
        waiting_s = 0.0
        if waiting:
            count = 1 if step.gang else waiting
            waiting_s = self.tails.longest_s(job.queue, expected_s, count)
        _, remaining_s = self._oldest_run_s(job, key, step, state, expected_s)
        return max(waiting_s, remaining_s)

    def _oldest_run_s(
        self, job: Job, key: StepKey, step: Step, state: StepState, expected_s: float
    ) -> tuple[float, float]:
        """Return how long the oldest open run of a step has run, and is to run yet."""
        if not state.open_indices:
            return 0.0, 0.0
        index = min(state.open_indices, key=lambda one: state.tasks[one].started_ms)
        task = state.tasks[index]
        name = key.task_name(index)
        remaining_s = self.run_remaining_s(job.queue, step, task, name, expected_s)
        return elapsed_s(task), remaining_s

    def remaining_s(self, job_state: JobState, key: StepKey, index: int) -> float:
        """Return the expected remaining run time; infinite for long-running tasks."""
        step = job_state.job.steps[key.step]
        state = job_state.step_state(key.occurrence, key.step)
        expected_s = self.expected_s(job_state.job, step, state)
        name, queue = key.task_name(index), job_state.job.queue
        return self.run_remaining_s(queue, step, state.tasks[index], name, expected_s)

    def run_remaining_s(
        self, queue: str, step: Step, task: TaskState, name: str, expected_s: float
    ) -> float:
        """Return the same for a task of a step, given what its tasks are to take."""
        if step.long_running:
            return float("inf")
        if self.speeds is not None:
            expected_s /= self.speeds.relative_speed(task.upstream)
        percent = self.fleet.progress_percent(task.upstream, name, task.run)
        ran_s = elapsed_s(task)
        if self.tails is not None and percent < MIN_RELIABLE_PERCENT:
            return self.tails.remaining_s(queue, expected_s, ran_s)
        remaining_s = estimate_remaining_s(
            expected_s, ran_s, percent, is_resumed=bool(task.checkpoint)
        )
        if self.tails is None:
            return remaining_s
        # Earlier runs made a part of a resumed run's progress: it is slower yet.
        return max(remaining_s, ran_s * (100 - percent) / percent)

    def likely_remaining_s(
        self, queue: str, step: Step, task: TaskState, name: str, expected_s: float
    ) -> float | None:
        """Return the time within which a run has most likely ended.

        None where its progress tells it, or tails are not in force.
        """
        if self.tails is None or step.long_running:
            return None
        percent = self.fleet.progress_percent(task.upstream, name, task.run)
        if percent >= MIN_RELIABLE_PERCENT:
            return None
        return self.tails.likely_remaining_s(queue, expected_s, elapsed_s(task))

    def likely_total_s(
        self, queue: str, expected_s: float, worked_s: float, percent: int
    ) -> float:
        """Return the expected run time of a run that has worked for so long."""
        rest_s = max(expected_s - worked_s, 0.0)
        if self.tails is not None:
            rest_s = self.tails.remaining_s(queue, expected_s, worked_s)
        if percent >= MIN_RELIABLE_PERCENT:
            rest_s = worked_s * (100 - percent) / percent
        return worked_s + rest_s


__all__ = ["RunTimes"]
