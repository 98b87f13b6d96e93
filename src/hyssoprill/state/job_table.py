"""Fold of the jobs topic: what was accepted, what may run, and what has ended.

The newest record of each key says all; applying a record again, or an older one of
its key, changes nothing.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal, NamedTuple

import msgspec
from loguru import logger
from msgspec import Struct

from ..clock import boottime_s
from ..protocol.job import Job, Step, task_name
from .known_capacities import KnownCapacities

if TYPE_CHECKING:
    from collections.abc import Iterator

WAITING, OPEN, DONE, FAILED = 0, 1, 2, 3

JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
STEP_PREFIX = "step/"
PLANNER_KEY = "planner"
SIZES_KEY = "sizes"

JobStatus = Literal["queued", "running", "completed", "failed", "cancelled"]


class TaskState(Struct, frozen=True, array_like=True, omit_defaults=True):
    """One task of a step.

    Attributes
    ----------
    phase : int
        `WAITING`, `OPEN` (a run may be on `upstream`), `DONE` or `FAILED`.
    run : int
        Number of the newest run, 0 before the first.
    failures : int
        Runs that ended as failed.
    saved : str
        Progress from which the newest run was, or the next will be, started.
    failed_run : int
        The newest run that was counted as failed.
    began_ms : int
        When the newest run was decided, in milliseconds since 1970.
    progress : str
        Newest progress that the open run has saved, where later than `saved`.
    """

    phase: int = WAITING
    run: int = 0
    upstream: str = ""
    failures: int = 0
    checkpoint: str = ""
    last_failed_run: int = 0
    started_ms: int = 0
    newer_checkpoint: str = ""


class StepState(Struct, frozen=True, array_like=True):
    """All tasks of one occurrence of a step."""

    tasks: tuple[TaskState, ...]

    @property
    def is_done(self) -> bool:
        """Whether all tasks are done."""
        return all(task.phase == DONE for task in self.tasks)


class Term(Struct, frozen=True):
    """Who plans: the entry that wrote it, until a higher term or silence."""

    term: int
    planner: str
    link_url: str
    incarnation: str
    resigned: bool = False


class StepKey(NamedTuple):
    """Names one occurrence of one step."""

    job_id: str
    occurrence: int
    step: int

    def task_name(self, index: int) -> str:
        """Return the name of a task of the step."""
        return task_name(self.job_id, self.occurrence, self.step, index)

    @property
    def record_key(self) -> str:
        """Key of the step's record."""
        return f"{STEP_PREFIX}{self.job_id}.{self.occurrence}.{self.step}"


class OpenRun(NamedTuple):
    """A run that may be on an upstream."""

    step: StepKey
    index: int
    run: int


@dataclass(slots=True)
class JobState:
    """A job with its steps' states.

    Attributes
    ----------
    steps : dict
        States of steps of which a task was started, by occurrence and number.
    finished_s : float
        The process's clock when it first saw the job over, 0 before.
    """

    job: Job
    cancelled: bool = False
    steps: dict[tuple[int, int], StepState] = field(default_factory=dict)
    finished_s: float = 0.0

    def step_state(self, occurrence: int, number: int) -> StepState:
        """Return the state of a step, also where nothing was started."""
        known = self.steps.get((occurrence, number))
        if known is not None:
            return known
        return StepState((TaskState(),) * self.job.steps[number].count)

    @property
    def has_started(self) -> bool:
        """Whether any task has been started."""
        return bool(self.steps)

    @property
    def has_open_runs(self) -> bool:
        """Whether any run may still be on an upstream."""
        return any(
            task.phase == OPEN for state in self.steps.values() for task in state.tasks
        )

    @property
    def has_failed(self) -> bool:
        """Whether a task has used up its attempts."""
        return any(
            task.phase == FAILED
            for state in self.steps.values()
            for task in state.tasks
        )

    @property
    def status(self) -> JobStatus:
        """What callers are told."""
        if self.cancelled:
            return "cancelled"
        if self.has_failed:
            return "failed"
        wanted = self.job.occurrences * len(self.job.steps)
        if len(self.steps) == wanted and all(s.is_done for s in self.steps.values()):
            return "completed"
        return "running" if self.has_started else "queued"

    @property
    def is_finished(self) -> bool:
        """Whether nothing is to be started any more."""
        return self.status in ("completed", "failed", "cancelled")

    def ready_steps(self, now_ms: int) -> Iterator[tuple[int, int, Step]]:
        """Yield steps whose turn has come: occurrence, number and step."""
        for occurrence in range(self.job.occurrences):
            if self.job.due_ms(occurrence) > now_ms:
                return
            for number, step in enumerate(self.job.steps):
                if all(self._is_done(occurrence, one) for one in step.after):
                    yield occurrence, number, step

    def _is_done(self, occurrence: int, number: int) -> bool:
        state = self.steps.get((occurrence, number))
        return state is not None and state.is_done


class JobTable:
    """All jobs that the store holds."""

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self.active: dict[str, JobState] = {}
        self.open_runs: dict[str, dict[str, OpenRun]] = defaultdict(dict)
        self.term: Term | None = None
        self.known_capacities = KnownCapacities()
        self._offsets: dict[str, int] = {}
        self._orphans: dict[str, list[tuple[int, str, bytes]]] = defaultdict(list)

    def apply(self, offset: int, key: str, value: bytes) -> bool:
        """Take in a record; return whether it was newer than what is known."""
        if self._offsets.get(key, -1) >= offset:
            return False
        self._offsets[key] = offset
        try:
            self._apply(offset, key, value)
        except (msgspec.MsgspecError, ValueError) as exc:
            logger.bind(key=key, offset=offset).error("record unreadable: {}", exc)
        return True

    def _apply(self, offset: int, key: str, value: bytes) -> None:
        if key == PLANNER_KEY:
            self.term = msgspec.json.decode(value, type=Term)
        elif key == SIZES_KEY:
            self.known_capacities = msgspec.json.decode(value, type=KnownCapacities)
        elif key.startswith(JOB_PREFIX):
            self._apply_job(key.removeprefix(JOB_PREFIX), value)
        else:
            job_id = _job_of(key)
            entry = self.jobs.get(job_id)
            if entry is None:
                if value:
                    self._orphans[job_id].append((offset, key, value))
                return
            self._apply_to_job(entry, key, value)

    def _apply_job(self, job_id: str, value: bytes) -> None:
        if not value:
            self._drop(job_id)
            return
        if job_id in self.jobs:
            return
        entry = JobState(msgspec.json.decode(value, type=Job))
        self.jobs[job_id] = entry
        self.active[job_id] = entry
        for _offset, key, held in self._orphans.pop(job_id, ()):
            self._apply_to_job(entry, key, held)

    def _apply_to_job(self, entry: JobState, key: str, value: bytes) -> None:
        if not value:
            return
        if key.startswith(CANCEL_PREFIX):
            entry.cancelled = True
        elif key.startswith(STEP_PREFIX):
            step_key = _step_key(key)
            state = msgspec.json.decode(value, type=StepState)
            self._set_step(entry, step_key, state)
        self._refresh(entry)

    def _set_step(self, entry: JobState, key: StepKey, state: StepState) -> None:
        old = entry.steps.get(key[1:])
        for index, task in enumerate(old.tasks if old is not None else ()):
            if task.phase == OPEN:
                self.open_runs[task.upstream].pop(key.task_name(index), None)
        for index, task in enumerate(state.tasks):
            if task.phase == OPEN:
                run = OpenRun(key, index, task.run)
                self.open_runs[task.upstream][key.task_name(index)] = run
        entry.steps[key[1:]] = state

    def _refresh(self, entry: JobState) -> None:
        """Keep in `active` what may still start or run."""
        if entry.is_finished and not entry.has_open_runs:
            self.active.pop(entry.job.id, None)
            entry.finished_s = entry.finished_s or boottime_s()
        else:
            self.active[entry.job.id] = entry

    def _drop(self, job_id: str) -> None:
        entry = self.jobs.pop(job_id, None)
        self.active.pop(job_id, None)
        self._orphans.pop(job_id, None)
        if entry is None:
            return
        for (occurrence, number), state in entry.steps.items():
            key = StepKey(job_id, occurrence, number)
            for index, task in enumerate(state.tasks):
                if task.phase == OPEN:
                    self.open_runs[task.upstream].pop(key.task_name(index), None)


def _job_of(key: str) -> str:
    return key.partition("/")[2].partition(".")[0]


def _step_key(key: str) -> StepKey:
    job_id, occurrence, number = key.partition("/")[2].split(".")
    return StepKey(job_id, int(occurrence), int(number))


__all__ = [
    "CANCEL_PREFIX",
    "DONE",
    "FAILED",
    "JOB_PREFIX",
    "OPEN",
    "PLANNER_KEY",
    "SIZES_KEY",
    "STEP_PREFIX",
    "WAITING",
    "JobState",
    "JobStatus",
    "JobTable",
    "OpenRun",
    "StepKey",
    "StepState",
    "TaskState",
    "Term",
]
