"""In-memory table of durable jobs, built from the records of the jobs topic.

Each record holds the whole value of its key, as in a compacted topic. Applying is
idempotent: a repeated record, or one older than the newest of its key, changes nothing.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal, NamedTuple

import msgspec
from msgspec import Struct

from ..clock import boottime_s
from ..logs import decision
from ..protocol.bounds import MAX_TEXT_LENGTH, Count, Text
from ..protocol.job import Job, Step, parse_job_id
from .known_capacities import KnownCapacities
from .step_records import parse_step_record
from .step_state import (
    DONE,
    FAILED,
    OPEN,
    STEP_PREFIX,
    WAITING,
    StepKey,
    StepState,
    TaskState,
    unstarted_state,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from .step_records import StepRange

JOB_PREFIX = "job/"
CANCEL_PREFIX = "cancel/"
PLANNER_KEY = "planner"
VACATED_KEY = "vacated"
SIZES_KEY = "sizes"

JobStatus = Literal["queued", "running", "completed", "failed", "cancelled"]


class Term(Struct, frozen=True):
    """Term of the entry that acts as planner.

    It holds until a record with a higher term, or until the planner is silent for
    too long.
    """

    term: Count
    planner: Text
    link_url: Text
    incarnation: Text
    resigned: bool = False


class OpenRun(NamedTuple):
    """A run that was assigned to an upstream and is not known to have ended."""

    step: StepKey
    index: int
    run: int


@dataclass(slots=True)
class JobState:
    """A job with the state of its steps.

    Attributes
    ----------
    steps : dict
        States of steps of which a start was decided, by occurrence and number.
    finished_s : float
        This process's clock when it first saw the job finished without open runs, 0
        before.
    record_keys : set of str
        Keys of the records that hold states of its steps.
    """

    job: Job
    cancelled: bool = False
    steps: dict[tuple[int, int], StepState] = field(default_factory=dict)
    finished_s: float = 0.0
    record_keys: set[str] = field(default_factory=set)
    _status: JobStatus | None = field(default=None, init=False)
    # Offset of the state of each task, for steps that are stored in several records.
    _task_offsets: dict[tuple[int, int], list[int]] = field(
        default_factory=dict, init=False
    )
    _whole_offsets: dict[tuple[int, int], int] = field(default_factory=dict, init=False)

    def merge(
        self, one: StepRange, tasks: tuple[TaskState, ...], offset: int
    ) -> StepState:
        """Return the state of a step with a record's states of some of its tasks.

        States with a higher offset are kept.
        """
        place = (one.step.occurrence, one.step.step)
        known = self.step_state(*place).tasks
        is_whole = len(tasks) == len(known)
        if is_whole and place not in self._task_offsets:
            self._whole_offsets[place] = offset
            return StepState(tasks)
        offsets = self._task_offsets.setdefault(
            place, [self._whole_offsets.get(place, -1)] * len(known)
        )
        merged = list(known)
        for index, task in enumerate(tasks, one.first):
            if offset > offsets[index]:
                merged[index], offsets[index] = task, offset
        return StepState(tuple(merged))

    def set_step(self, occurrence: int, number: int, state: StepState) -> None:
        """Replace the state of a step."""
        self.steps[occurrence, number] = state
        self._status = None

    def step_state(self, occurrence: int, number: int) -> StepState:
        """Return the state of a step; all tasks wait where none was started."""
        known = self.steps.get((occurrence, number))
        if known is not None:
            return known
        return unstarted_state(self.job.steps[number].count)

    @property
    def has_started(self) -> bool:
        """Whether any task has begun; a start that was refused does not count."""
        return any(state.has_begun for state in self.steps.values())

    @property
    def has_open_runs(self) -> bool:
        """Whether any run may still be on an upstream."""
        return any(state.open_indices for state in self.steps.values())

    @property
    def status(self) -> JobStatus:
        """Status that callers are given."""
        if self.cancelled:
            return "cancelled"
        if self._status is None:
            self._status = self._status_by_steps()
        return self._status

    def _status_by_steps(self) -> JobStatus:
        if any(state.has_failed for state in self.steps.values()):
            return "failed"
        expected = self.job.occurrences * len(self.job.steps)
        if len(self.steps) == expected and all(s.is_done for s in self.steps.values()):
            return "completed"
        return "running" if self.has_started else "queued"

    @property
    def is_finished(self) -> bool:
        """Whether no task is to be started any more; runs may still be open."""
        return self.status in ("completed", "failed", "cancelled")

    def ready_steps(self, now_ms: int) -> Iterator[tuple[int, int, Step]]:
        """Yield the steps that are due and whose dependencies are done.

        Yields
        ------
        occurrence : int
            Occurrence of the job's steps.
        number : int
            Number of the step in the job.
        step : Step
            The step itself.
        """
        for occurrence in range(self.job.occurrences):
            if self.job.due_ms(occurrence) > now_ms:
                return
            for number, step in enumerate(self.job.steps):
                if not step.after or all(
                    self._is_step_done(occurrence, one) for one in step.after
                ):
                    yield occurrence, number, step

    def _is_step_done(self, occurrence: int, number: int) -> bool:
        state = self.steps.get((occurrence, number))
        return state is not None and state.is_done


class JobTable:
    """All jobs that the store holds.

    Attributes
    ----------
    jobs : dict
        All jobs by id.
    active : dict
        Jobs that may still start tasks or have open runs.
    open_runs : dict
        For each upstream key its open runs by task name.
    open_runs_versions : dict
        For each upstream key a number that rises as its open runs or the states of
        their tasks change.
    term : Term or None
        The newest planner's term that was read.
    vacated_term : int
        The highest term whose planner has handed it over through a peer. Such a record
        is not fenced and may be stored late, so it never replaces that of a planner.
    known_capacities : KnownCapacities
        Largest capacities of upstreams that were seen.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobState] = {}
        self.active: dict[str, JobState] = {}
        self.open_runs: dict[str, dict[str, OpenRun]] = defaultdict(dict)
        self.open_runs_versions: dict[str, int] = defaultdict(int)
        self.term: Term | None = None
        self.vacated_term = 0
        self.known_capacities = KnownCapacities()
        self._offsets: dict[str, int] = {}
        # Records of jobs whose own record was not read yet, by job id.
        self._orphans: dict[str, list[tuple[int, str, bytes]]] = defaultdict(list)

    def find_task(self, task: str) -> tuple[StepKey, int] | None:
        """Return step and index of a task that was started, None if there is none."""
        job_state = self.jobs.get(parse_job_id(task))
        try:
            _job_id, occurrence, number, index = task.split(".")
            place = (int(occurrence), int(number))
            position = int(index)
        except ValueError:
            return None
        state = job_state.steps.get(place) if job_state is not None else None
        if state is None or not 0 <= position < len(state.tasks):
            return None
        return StepKey(job_state.job.id, *place), position

    @property
    def is_term_vacant(self) -> bool:
        """Whether no planner holds the newest term any more, by its own word."""
        term = self.term
        if term is None or term.resigned:
            return True
        # A planner that renews its term after a hand-over was stored holds it again.
        is_renewed = self._offsets[PLANNER_KEY] > self._offsets.get(VACATED_KEY, -1)
        return term.term <= self.vacated_term and not is_renewed

    def apply(self, offset: int, key: str, value: bytes) -> bool:
        """Apply a record; return whether it was newer than the known one of its key.

        A record that cannot be read is logged and skipped.
        """
        if self._offsets.get(key, -1) >= offset:
            return False
        self._offsets[key] = offset
        self._apply_if_readable(offset, key, value)
        return True

    def _apply_if_readable(self, offset: int, key: str, value: bytes) -> None:
        try:
            self._apply(offset, key, value)
        except (msgspec.MsgspecError, ValueError, RecursionError) as exc:
            name = key[:MAX_TEXT_LENGTH]
            decision("record_unreadable", key=name, offset=offset, why=str(exc))

    def _apply(self, offset: int, key: str, value: bytes) -> None:
        if key == PLANNER_KEY:
            self.term = msgspec.json.decode(value, type=Term)
        elif key == VACATED_KEY:
            self._apply_vacated(msgspec.json.decode(value, type=Count))
        elif key == SIZES_KEY:
            self.known_capacities = msgspec.json.decode(value, type=KnownCapacities)
        elif key.startswith(JOB_PREFIX):
            self._apply_job(key.removeprefix(JOB_PREFIX), value)
        elif key.startswith((CANCEL_PREFIX, STEP_PREFIX)):
            job_id = _parse_job_id(key)
            job_state = self.jobs.get(job_id)
            if job_state is None:
                if value:
                    self._orphans[job_id].append((offset, key, value))
                return
            self._apply_to_job(job_state, offset, key, value)
        else:
            raise ValueError("records of this key are not known")

    def _apply_vacated(self, term: int) -> None:
        """Apply that a term was handed over, which can only be one that has begun."""
        newest = self.term.term if self.term is not None else 0
        if term > newest:
            raise ValueError(f"term {term} is later than the newest, {newest}")
        self.vacated_term = max(self.vacated_term, term)

    def _apply_job(self, job_id: str, value: bytes) -> None:
        if not value:
            self._remove_job(job_id)
            return
        if job_id in self.jobs:
            return
        job = msgspec.json.decode(value, type=Job)
        if job.id != job_id:
            raise ValueError(f"the record is of job {job.id}")
        job_state = JobState(job)
        self.jobs[job_id] = job_state
        self.active[job_id] = job_state
        for offset, key, held in self._orphans.pop(job_id, ()):
            self._apply_if_readable(offset, key, held)

    def _apply_to_job(
        self, job_state: JobState, offset: int, key: str, value: bytes
    ) -> None:
        if not value:
            return
        if key == CANCEL_PREFIX + job_state.job.id:
            job_state.cancelled = True
        else:
            one, tasks = parse_step_record(job_state.job, key, value)
            job_state.record_keys.add(key)
            self._set_step(job_state, one.step, job_state.merge(one, tasks, offset))
        self._update_active(job_state)

    def _set_step(self, job_state: JobState, key: StepKey, state: StepState) -> None:
        """Replace a step's state and keep `open_runs` consistent with it."""
        old = job_state.steps.get(key[1:])
        if old is not None:
            self._remove_open_runs(key, old)
        for index in state.open_indices:
            task = state.tasks[index]
            run = OpenRun(key, index, task.run)
            self.open_runs[task.upstream][key.task_name(index)] = run
            self.open_runs_versions[task.upstream] += 1
        job_state.set_step(key.occurrence, key.step, state)

    def _remove_open_runs(self, key: StepKey, state: StepState) -> None:
        for index in state.open_indices:
            upstream = state.tasks[index].upstream
            self.open_runs[upstream].pop(key.task_name(index), None)
            self.open_runs_versions[upstream] += 1

    def _update_active(self, job_state: JobState) -> None:
        """Keep a job in `active` while it may start tasks or has open runs."""
        if job_state.is_finished and not job_state.has_open_runs:
            self.active.pop(job_state.job.id, None)
            job_state.finished_s = job_state.finished_s or boottime_s()
        else:
            self.active[job_state.job.id] = job_state

    def _remove_job(self, job_id: str) -> None:
        job_state = self.jobs.pop(job_id, None)
        self.active.pop(job_id, None)
        self._orphans.pop(job_id, None)
        if job_state is None:
            return
        for (occurrence, number), state in job_state.steps.items():
            self._remove_open_runs(StepKey(job_id, occurrence, number), state)


def _parse_job_id(key: str) -> str:
    return key.partition("/")[2].partition(".")[0]


__all__ = [
    "CANCEL_PREFIX",
    "DONE",
    "FAILED",
    "JOB_PREFIX",
    "OPEN",
    "PLANNER_KEY",
    "SIZES_KEY",
    "STEP_PREFIX",
    "VACATED_KEY",
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
