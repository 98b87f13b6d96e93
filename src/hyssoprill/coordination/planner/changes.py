"""Collects changes to the states of steps until they are appended to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec.structs import replace

from ...clock import unix_ms
from ...state.job_table import DONE, FAILED, OPEN, WAITING, TaskState
from ...state.step_records import encode_step
from ...state.step_state import BEGUN, NOT_BEGUN
from .crashes import crashes_upstreams, record_crash

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...ports.store import Record
    from ...protocol.job import Step
    from ...state.job_table import JobTable, StepKey
    from .crashes import UpstreamCrash

SURVIVING_OUTCOMES = frozenset({"failed", "stopped"})
"""Outcomes that show that a run had started without a crash of its upstream."""


class StepChanges:
    """New states of steps on top of a job table.

    Parameters
    ----------
    job_table : JobTable
        The stored states; not changed here.
    """

    def __init__(self, job_table: JobTable) -> None:
        self._job_table = job_table
        self._tasks: dict[StepKey, list[TaskState]] = {}

    def records(self, max_record_bytes: int) -> list[Record]:
        """Return the records to append, none larger than a size in bytes."""
        records: list[Record] = []
        for key, tasks in self._tasks.items():
            stored = self._stored_tasks(key)
            changed = [i for i, task in enumerate(tasks) if task is not stored[i]]
            records += encode_step(key, tasks, changed, max_record_bytes)
        return records

    @property
    def steps(self) -> list[StepKey]:
        """Steps with changes."""
        return list(self._tasks)

    def task(self, key: StepKey, index: int) -> TaskState:
        """Return the state of a task with the changes so far."""
        return self.tasks(key)[index]

    def tasks(self, key: StepKey) -> tuple[TaskState, ...]:
        """Return the states of a step's tasks with the changes so far."""
        changed = self._tasks.get(key)
        if changed is not None:
            return tuple(changed)
        return self._stored_tasks(key)

    def _stored_tasks(self, key: StepKey) -> tuple[TaskState, ...]:
        job_state = self._job_table.jobs[key.job_id]
        return job_state.step_state(key.occurrence, key.step).tasks

    def start_runs(self, key: StepKey, placements: dict[int, str]) -> int:
        """Open a run of each task on its upstream; return their common run number.

        Parameters
        ----------
        placements : dict
            Upstream of each task, by the task's index.
        """
        tasks = self._editable_tasks(key)
        number = 1 + max(task.run for task in tasks)
        for index, upstream in placements.items():
            tasks[index] = replace(
                tasks[index],
                phase=OPEN,
                run=number,
                upstream=upstream,
                started_ms=unix_ms(),
            )
        return number

    def record_checkpoint(self, key: StepKey, index: int, checkpoint: str) -> None:
        """Set the newest checkpoint of an open run, in case its upstream is lost."""
        tasks = self._editable_tasks(key)
        tasks[index] = replace(tasks[index], newer_checkpoint=checkpoint)

    def record_beginning(self, key: StepKey, index: int, *, has_begun: bool) -> None:
        """Record whether the open run of a task has begun."""
        tasks = self._editable_tasks(key)
        beginning = _beginning(tasks[index], has_begun=has_begun)
        tasks[index] = replace(tasks[index], beginning=beginning)

    def clear_suspicion(self, key: StepKey, index: int) -> None:
        """Record that a run works, and so did not crash its upstream by its start.

        A gang works only once all its members have started.
        """
        tasks = self._editable_tasks(key)
        for one in self._sharing_runs(key, index):
            tasks[one] = replace(tasks[one], crashed_vms=(), lone_crashes=0)

    def complete_task(self, key: StepKey, index: int, run: int) -> None:
        """Record that a run has ended as done after it was closed for another reason.

        A newer run of the task stays open until its own end is known. A gang is done
        as soon as one of its tasks is.
        """
        tasks = self._editable_tasks(key)
        for one in self._sharing_runs(key, index):
            task = tasks[one]
            if task.phase == OPEN:
                tasks[one] = replace(task, done_run=run)
            else:
                tasks[one] = TaskState(DONE, task.run)

    def end_run(
        self,
        key: StepKey,
        index: int,
        outcome: str,
        checkpoint: str,
        *,
        max_attempts: int,
        ran_ms: int = 0,
        crash: UpstreamCrash | None = None,
        has_begun: bool = True,
    ) -> None:
        """Close the open run of a task.

        A gang is done as soon as one of its tasks is. Each run of a gang counts as at
        most one failure, and as at most one crash.

        Parameters
        ----------
        outcome : str
            How the run ended; `done`, `failed` and `stopped` change more than the
            phase.
        checkpoint : str
            Checkpoint that the run has saved, or ''.
        ran_ms : int
            Run time to keep with a done task, 0 for none.
        crash : UpstreamCrash or None
            Crash of its upstream, if the task is a suspect.
        has_begun : bool
            Whether the run had begun.
        """
        step = self._step(key)
        tasks = self._editable_tasks(key)
        task = tasks[index]
        if task.done_run:
            tasks[index] = TaskState(DONE, task.run, ran_ms=ran_ms)
            return
        if outcome == "done":
            for one in self._sharing_runs(key, index):
                tasks[one] = TaskState(
                    DONE, tasks[one].run, ran_ms=ran_ms if one == index else 0
                )
            return
        failures = task.failures
        failed_run = task.last_failed_run
        if outcome == "failed" and failed_run != task.run:
            failures += 1
            failed_run = task.run
        has_used_attempts = failures >= max_attempts and not step.long_running
        suspicion = _suspicion(task, outcome, crash, is_gang=step.gang)
        is_final = has_used_attempts or crashes_upstreams(suspicion)
        tasks[index] = TaskState(
            FAILED if is_final else WAITING,
            task.run,
            beginning=_beginning(task, has_begun=has_begun),
        )
        for one in self._sharing_runs(key, index):
            tasks[one] = replace(
                tasks[one],
                failures=failures,
                checkpoint=checkpoint or task.newer_checkpoint or task.checkpoint,
                newer_checkpoint="",
                last_failed_run=failed_run,
                crashed_vms=suspicion.crashed_vms,
                lone_crashes=suspicion.lone_crashes,
                last_crashed_run=suspicion.last_crashed_run,
            )

    def _sharing_runs(self, key: StepKey, index: int) -> Sequence[int]:
        """Return the tasks that run and end with a task: its gang, or itself."""
        return range(len(self.tasks(key))) if self._step(key).gang else (index,)

    def _step(self, key: StepKey) -> Step:
        return self._job_table.jobs[key.job_id].job.steps[key.step]

    def _editable_tasks(self, key: StepKey) -> list[TaskState]:
        if key not in self._tasks:
            self._tasks[key] = list(self.tasks(key))
        return self._tasks[key]


def _beginning(task: TaskState, *, has_begun: bool) -> int:
    """Return what is known of a task's runs, given whether the newest has begun."""
    return BEGUN if has_begun or task.beginning == BEGUN else NOT_BEGUN


def _suspicion(
    task: TaskState, outcome: str, crash: UpstreamCrash | None, *, is_gang: bool
) -> TaskState:
    """Return a state with what is known of crashes under a task as its run ends.

    The end of one member of a gang says nothing of the others.
    """
    if crash is not None:
        return record_crash(task, crash)
    if outcome in SURVIVING_OUTCOMES and not is_gang:
        return replace(task, crashed_vms=(), lone_crashes=0)
    return task


__all__ = ["StepChanges"]
