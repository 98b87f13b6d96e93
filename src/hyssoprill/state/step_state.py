"""States of the tasks of a step, as they are stored."""

from __future__ import annotations

from functools import cached_property, lru_cache
from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from ..protocol.bounds import Checkpoint, Count, SignedCount, Text
from ..protocol.job import task_name
from ..protocol.upstream_key import OptionalKeyText

WAITING, OPEN, DONE, FAILED = 0, 1, 2, 3

ASSUMED, BEGUN, NOT_BEGUN = 0, 1, 2

STEP_PREFIX = "step/"


class TaskState(Struct, frozen=True, array_like=True, omit_defaults=True):
    """Stored state of one task of a step.

    Attributes
    ----------
    phase : int
        `WAITING`, `OPEN` (a run may be on `upstream`), `DONE` or `FAILED`.
    run : int
        Number of the newest run, 0 before the first.
    upstream : str
        Key of the upstream that the newest run was assigned to.
    failures : int
        Number of runs that ended as failed.
    checkpoint : str
        Checkpoint from which the newest run was, or the next will be, started.
    last_failed_run : int
        The newest run that was counted as failed.
    started_ms : int
        When the start of the newest run was decided, in milliseconds since 1970.
    newer_checkpoint : str
        Newest checkpoint that the open run has saved, where later than `checkpoint`.
    ran_ms : int
        Run time of a done task; 0 where it says little of the task, as after a resume.
    crashed_vms : tuple of str
        For each of its runs under which an upstream crashed before it had listed the
        run, the VM of that upstream; empty once a later run has worked. A task with
        such runs is a suspect.
    lone_crashes : int
        Number of these crashes where no other job's task was starting.
    last_crashed_run : int
        The newest run that was counted as crashed.
    done_run : int
        An earlier run that has ended as done while the newest is still open; 0 for
        none.
    beginning : int
        `BEGUN` if a run is known to have begun; `NOT_BEGUN` if none has, although a
        start was decided; `ASSUMED` until either is known.
    """

    phase: Annotated[int, Meta(ge=WAITING, le=FAILED)] = WAITING
    run: Count = 0
    upstream: OptionalKeyText = ""
    failures: Count = 0
    checkpoint: Checkpoint = ""
    last_failed_run: Count = 0
    started_ms: SignedCount = 0
    newer_checkpoint: Checkpoint = ""
    ran_ms: SignedCount = 0
    crashed_vms: tuple[Text, ...] = ()
    lone_crashes: Count = 0
    last_crashed_run: Count = 0
    done_run: Count = 0
    beginning: Annotated[int, Meta(ge=ASSUMED, le=NOT_BEGUN)] = ASSUMED

    @property
    def is_done(self) -> bool:
        """Whether a run has ended as done, also while a newer one is being stopped."""
        return self.phase == DONE or self.done_run > 0

    @property
    def has_begun(self) -> bool:
        """Whether a run has begun, as far as is known; an open one is assumed to."""
        if self.is_done:
            return True
        if self.beginning == ASSUMED:
            return self.phase != WAITING
        return self.beginning == BEGUN


class StepState(Struct, frozen=True, array_like=True, dict=True):
    """Stored state of all tasks of one occurrence of a step.

    What rounds of the planner ask of it is computed once, as a state never changes.
    """

    tasks: tuple[TaskState, ...]

    @cached_property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return all(task.is_done for task in self.tasks)

    @cached_property
    def has_begun(self) -> bool:
        """Whether a run of some task has begun."""
        return any(task.has_begun for task in self.tasks)

    @cached_property
    def has_failed(self) -> bool:
        """Whether a task has used up its attempts, or was given up."""
        return any(task.phase == FAILED for task in self.tasks)

    @cached_property
    def has_done_runs(self) -> bool:
        """Whether an earlier run of some task has ended as done beside the newest."""
        return any(task.done_run for task in self.tasks)

    @cached_property
    def open_indices(self) -> tuple[int, ...]:
        """The tasks with open runs."""
        return tuple(i for i, task in enumerate(self.tasks) if task.phase == OPEN)

    @cached_property
    def waiting_indices(self) -> tuple[int, ...]:
        """The tasks that wait."""
        return tuple(i for i, task in enumerate(self.tasks) if task.phase == WAITING)

    @cached_property
    def mean_ran_s(self) -> float | None:
        """Mean run time of the done tasks, None where no run time was kept."""
        done = [t.ran_ms for t in self.tasks if t.phase == DONE and t.ran_ms]
        return sum(done) / len(done) / 1000 if done else None


@lru_cache
def unstarted_state(count: int) -> StepState:
    """Return the state of a step of which no task was started."""
    return StepState((TaskState(),) * count)


class StepKey(NamedTuple):
    """Identifies one occurrence of one step of a job."""

    job_id: str
    occurrence: int
    step: int

    def task_name(self, index: int) -> str:
        """Return the unique name of a task of the step."""
        return task_name(self.job_id, self.occurrence, self.step, index)

    @property
    def record_key(self) -> str:
        """Key of the record of all tasks of the step in the jobs topic."""
        return f"{STEP_PREFIX}{self.job_id}.{self.occurrence}.{self.step}"


__all__ = [
    "ASSUMED",
    "BEGUN",
    "DONE",
    "FAILED",
    "NOT_BEGUN",
    "OPEN",
    "STEP_PREFIX",
    "WAITING",
    "StepKey",
    "StepState",
    "TaskState",
    "unstarted_state",
]
