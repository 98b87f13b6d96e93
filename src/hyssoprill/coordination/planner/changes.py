"""Changes to steps that are to be stored together."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from msgspec.structs import replace

from ...clock import unix_ms
from ...ports.store import MAX_BATCH_BYTES, Record
from ...state.job_table import DONE, FAILED, OPEN, WAITING, StepState, TaskState

if TYPE_CHECKING:
    from ...protocol.job import Step
    from ...state.job_table import JobTable, StepKey

_encoder = msgspec.json.Encoder()


class Changes:
    """New states of steps, on top of a ledger.

    Parameters
    ----------
    ledger : Ledger
        What is stored; not changed.
    """

    def __init__(self, ledger: JobTable) -> None:
        self._ledger = ledger
        self._tasks: dict[StepKey, list[TaskState]] = {}

    def batches(self) -> list[list[Record]]:
        """Return the records to append, as many in one call as the store takes."""
        batches: list[list[Record]] = []
        size = 0
        for key, tasks in self._tasks.items():
            record = Record(key.record_key, _encoder.encode(StepState(tuple(tasks))))
            size += len(record.value)
            if not batches or size > MAX_BATCH_BYTES:
                batches.append([])
                size = len(record.value)
            batches[-1].append(record)
        return batches

    def task(self, key: StepKey, index: int) -> TaskState:
        """Return a task with the changes so far."""
        return self.tasks(key)[index]

    def tasks(self, key: StepKey) -> tuple[TaskState, ...]:
        """Return the tasks of a step with the changes so far."""
        changed = self._tasks.get(key)
        if changed is not None:
            return tuple(changed)
        entry = self._ledger.jobs[key.job_id]
        return entry.step_state(key.occurrence, key.step).tasks

    def start(self, key: StepKey, places: dict[int, str]) -> int:
        """Open one run on each place; return the run's number."""
        tasks = self._edit(key)
        number = 1 + max(task.run for task in tasks)
        for index, upstream in places.items():
            tasks[index] = replace(
                tasks[index],
                phase=OPEN,
                run=number,
                upstream=upstream,
                started_ms=unix_ms(),
            )
        return number

    def note_progress(self, key: StepKey, index: int, progress: str) -> None:
        """Keep what an open run has saved, for the case that its upstream is lost."""
        tasks = self._edit(key)
        tasks[index] = replace(tasks[index], newer_checkpoint=progress)

    def end(
        self, key: StepKey, index: int, how: str, saved: str, *, max_attempts: int
    ) -> None:
        """Close the open run of a task.

        A gang is done as soon as one task is, and a run of it fails but once.
        """
        step = self._step(key)
        tasks = self._edit(key)
        task = tasks[index]
        if how == "done":
            done_upto = range(len(tasks)) if step.gang else (index,)
            for one in done_upto:
                tasks[one] = TaskState(DONE, tasks[one].run)
            return
        failures = task.failures
        failed_run = task.last_failed_run
        if how == "failed" and failed_run != task.run:
            failures += 1
            failed_run = task.run
        is_final = failures >= max_attempts and not step.long_running
        tasks[index] = TaskState(FAILED if is_final else WAITING, task.run)
        shared = range(len(tasks)) if step.gang else (index,)
        for one in shared:
            tasks[one] = replace(
                tasks[one],
                failures=failures,
                checkpoint=saved or task.newer_checkpoint or task.checkpoint,
                newer_checkpoint="",
                last_failed_run=failed_run,
            )

    def _step(self, key: StepKey) -> Step:
        return self._ledger.jobs[key.job_id].job.steps[key.step]

    def _edit(self, key: StepKey) -> list[TaskState]:
        if key not in self._tasks:
            self._tasks[key] = list(self.tasks(key))
        return self._tasks[key]


__all__ = ["Changes"]
