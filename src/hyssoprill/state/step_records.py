"""Records that hold the states of a step's tasks, each within the store's size limit.

A step that fits one record has one. The states of a larger one are split at fixed
indices into records of consecutive tasks. Each key always holds the same tasks, so that
the newest record of each key is enough to rebuild the step; the state of a task is the
one with the highest offset.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec
from msgspec.structs import replace

from ..logs import decision
from ..ports.store import Record
from .step_state import OPEN, STEP_PREFIX, StepKey, StepState, TaskState

if TYPE_CHECKING:
    from collections.abc import Collection, Sequence

    from ..protocol.job import Job


class StepRange(NamedTuple):
    """The tasks `first` to `end - 1` of a step."""

    step: StepKey
    first: int
    end: int

    def record_key(self, count: int) -> str:
        """Return the key of the record of these tasks of a step with `count` tasks."""
        if (self.first, self.end) == (0, count):
            return self.step.record_key
        return f"{self.step.record_key}.{self.first}.{self.end}"

    def halves(self) -> tuple[StepRange, StepRange]:
        """Return the range split in two."""
        middle = (self.first + self.end) // 2
        return self._replace(end=middle), self._replace(first=middle)


def encode_step(
    key: StepKey,
    tasks: Sequence[TaskState],
    changed: Collection[int],
    max_record_bytes: int,
) -> list[Record]:
    """Return records that store the changed tasks of a step.

    Parameters
    ----------
    tasks : sequence of TaskState
        States of all tasks of the step.
    changed : collection of int
        Indices of the tasks that differ from what is stored.
    max_record_bytes : int
        Maximum size of a record. Where the state of a single task is larger, its
        checkpoints are left out, so that its next run begins anew.
    """
    pending = [StepRange(key, 0, len(tasks))]
    records: list[Record] = []
    while pending:
        one = pending.pop()
        if not any(one.first <= index < one.end for index in changed):
            continue
        record = _encode(one, tasks)
        if record.size <= max_record_bytes:
            records.append(record)
        elif one.end - one.first > 1:
            pending += reversed(one.halves())
        else:
            records.append(_encode_shortened(one, tasks, max_record_bytes))
    return records


def _encode(one: StepRange, tasks: Sequence[TaskState]) -> Record:
    state = StepState(tuple(tasks[one.first : one.end]))
    return Record(one.record_key(len(tasks)), _encoder.encode(state))


def _encode_shortened(
    one: StepRange, tasks: Sequence[TaskState], max_record_bytes: int
) -> Record:
    """Return the record of a single task without the checkpoints that do not fit."""
    shortened = list(tasks)
    record = _encode(one, shortened)
    for field in ("newer_checkpoint", "checkpoint"):
        if record.size > max_record_bytes:
            shortened[one.first] = replace(shortened[one.first], **{field: ""})
            record = _encode(one, shortened)
    decision(
        "checkpoint_too_large",
        task=one.step.task_name(one.first),
        record_bytes=record.size,
        max_record_bytes=max_record_bytes,
    )
    return record


def parse_step_record(
    job: Job, key: str, value: bytes
) -> tuple[StepRange, tuple[TaskState, ...]]:
    """Parse a record of a step of a job.

    Raises
    ------
    ValueError
        If key or value cannot be read, or cannot be of a step of this job.
    """
    step_key, bounds = _parse_key(key)
    if step_key.occurrence not in range(job.occurrences):
        raise ValueError(f"the job has no occurrence {step_key.occurrence}")
    if step_key.step not in range(len(job.steps)):
        raise ValueError(f"the job has no step {step_key.step}")
    count = job.steps[step_key.step].count
    one = StepRange(step_key, *(bounds or (0, count)))
    if one.record_key(count) != key or not 0 <= one.first < one.end <= count:
        raise ValueError("the key is not of a step")
    tasks = _decoder.decode(value).tasks
    if len(tasks) != one.end - one.first:
        raise ValueError(f"the step does not have {len(tasks)} tasks there")
    if any(task.phase == OPEN and not task.upstream for task in tasks):
        raise ValueError("an open run has no upstream")
    return one, tasks


def _parse_key(key: str) -> tuple[StepKey, tuple[int, ...]]:
    """Return the step of a record's key, and the bounds of a part of its tasks."""
    job_id, *numbers = key.removeprefix(STEP_PREFIX).split(".")
    if len(numbers) not in (2, 4):
        raise ValueError("the key is not of a step")
    occurrence, step, *bounds = map(int, numbers)
    return StepKey(job_id, occurrence, step), tuple(bounds)


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(StepState)

__all__ = ["StepRange", "encode_step", "parse_step_record"]
