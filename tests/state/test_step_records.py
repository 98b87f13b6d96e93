"""Tests of the records of a step whose states do not fit into one record."""

from __future__ import annotations

import itertools
from dataclasses import dataclass, field

import msgspec
import pytest
from msgspec.structs import replace

from hyssoprill.protocol.bounds import MAX_CHECKPOINT_LENGTH
from hyssoprill.protocol.job import Job, Step
from hyssoprill.state.job_table import JOB_PREFIX, OPEN, JobTable, StepKey, TaskState
from hyssoprill.state.step_records import encode_step

JOB_ID = "00000000000000a1"
KEY = StepKey(JOB_ID, 0, 0)
COUNT = 200
MAX_RECORD_BYTES = 262_144
OPEN_TASK = TaskState(OPEN, 1, "vm-1|10.0.0.1:80|100|i-1")


def open_tasks(count: int = COUNT, checkpoint: str = "") -> list[TaskState]:
    return [replace(OPEN_TASK, newer_checkpoint=checkpoint) for _ in range(count)]


@dataclass
class Log:
    """Records of one job in a store, with the newest offset of each key."""

    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    end: int = 0

    def __post_init__(self) -> None:
        steps = (Step(count=COUNT),)
        job = Job(JOB_ID, "q", "g", "w", 1, 2, 3.0, 1000, 0, "x", steps)
        self.append(JOB_PREFIX + JOB_ID, msgspec.json.encode(job))

    def append(self, key: str, value: bytes) -> None:
        self.newest[key] = (self.end, value)
        self.end += 1

    def store(self, tasks: list[TaskState], changed: range) -> int:
        """Store the changed tasks; return the number of records."""
        records = encode_step(KEY, tasks, changed, MAX_RECORD_BYTES)
        for record in records:
            assert record.size <= MAX_RECORD_BYTES
            self.append(record.key, record.value)
        return len(records)

    def read(self, order: list[str] | None = None) -> tuple[TaskState, ...]:
        """Return the tasks by the newest record of each key, read in any order."""
        table = JobTable()
        for key in order or self.newest:
            table.apply(self.newest[key][0], key, self.newest[key][1])
        return table.jobs[JOB_ID].step_state(0, 0).tasks


def test_step_of_many_checkpoints_is_kept_in_records_that_the_store_takes():
    # Guards against one record for all tasks, which the store refuses forever.
    log, tasks = Log(), open_tasks(checkpoint="c" * MAX_CHECKPOINT_LENGTH)
    assert log.store(tasks, range(COUNT)) > 1
    assert log.read() == tuple(tasks)


def test_step_that_fits_is_kept_in_one_record():
    log, tasks = Log(), open_tasks()
    assert log.store(tasks, range(3)) == 1
    assert log.read() == tuple(tasks)


def test_only_the_records_of_changed_tasks_are_written_when_a_step_is_split():
    log, tasks = Log(), open_tasks(checkpoint="c" * MAX_CHECKPOINT_LENGTH)
    log.store(tasks, range(COUNT))
    tasks[7] = replace(tasks[7], newer_checkpoint="d" * MAX_CHECKPOINT_LENGTH)
    assert log.store(tasks, range(7, 8)) == 1
    assert log.read() == tuple(tasks)


def test_newest_states_are_kept_in_each_order_of_reading_as_records_grow_and_shrink():
    log, tasks = Log(), open_tasks()
    log.store(tasks, range(COUNT))
    for length, changed in ((2000, range(150)), (500, range(30, 60)), (900, range(5))):
        for index in changed:
            tasks[index] = replace(tasks[index], newer_checkpoint="c" * length)
        log.store(tasks, changed)
    keys = list(log.newest)
    assert len(keys) > 3
    for order in itertools.islice(itertools.permutations(keys), 50):
        assert log.read(list(order)) == tuple(tasks)
    assert log.read(keys[::-1]) == tuple(tasks)


def test_checkpoint_is_left_out_when_it_does_not_fit_a_record_by_itself():
    checkpoint = "c" * MAX_CHECKPOINT_LENGTH
    tasks = [replace(OPEN_TASK, checkpoint=checkpoint, newer_checkpoint=checkpoint)]
    (record,) = encode_step(KEY, tasks, [0], MAX_CHECKPOINT_LENGTH + 1024)
    assert record.value.count(b"c" * MAX_CHECKPOINT_LENGTH) == 1
    (record,) = encode_step(KEY, tasks, [0], 1024)
    assert record.size <= 1024
    assert OPEN_TASK.upstream.encode() in record.value


@pytest.mark.parametrize(
    "bounds", ["0.200", "0.0", "5.3", "-1.2", "100.201", "0.1.2", "a.b", "0.01"]
)
def test_record_of_tasks_that_the_step_does_not_have_is_skipped(bounds):
    log = Log()
    log.append(f"{KEY.record_key}.{bounds}", b"[[[1,1]]]")
    assert log.read() == (TaskState(),) * COUNT
