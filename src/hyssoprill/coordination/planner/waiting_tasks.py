"""Facts on the waiting and the running tasks of one step."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...protocol.job import Job, Step
    from ...state.job_table import StepState

LONG_RUNNING_RESTART_S = 5.0
"""Typical interruption of a preempted long-running task: stop, placement and start."""


def split_suspects(step: Step, state: StepState, indices: list[int]) -> list[list[int]]:
    """Return the suspects among a step's waiting tasks and the others, as groups.

    The tasks of a gang start together and are one group.
    """
    if step.gang:
        return [indices]
    suspects = [index for index in indices if state.tasks[index].crashed_vms]
    others = [index for index in indices if not state.tasks[index].crashed_vms]
    return [group for group in (suspects, others) if group]


def is_suspect(state: StepState, indices: list[int]) -> bool:
    """Return whether upstreams have crashed as one of some tasks started there."""
    return any(state.tasks[index].crashed_vms for index in indices)


def is_last_attempt(job: Job, state: StepState, indices: list[int]) -> bool:
    """Return whether one more failure of one of some tasks fails the job."""
    max_failures = max(state.tasks[index].failures for index in indices)
    return max_failures > 0 and max_failures + 1 >= job.max_attempts


def count_tasks_per_upstream(state: StepState) -> dict[str, int]:
    """Return how many open runs of a step each upstream has."""
    counts: dict[str, int] = defaultdict(int)
    for index in state.open_indices:
        counts[state.tasks[index].upstream] += 1
    return counts


def lost_work_s(step: Step, ran_s: float) -> float:
    """Return the seconds of work, or of a long-running task's service, a stop loses.

    `ran_s` is the run time so far.
    """
    if step.checkpoints:
        return 0.0
    return LONG_RUNNING_RESTART_S if step.long_running else ran_s


__all__ = [
    "count_tasks_per_upstream",
    "is_last_attempt",
    "is_suspect",
    "lost_work_s",
    "split_suspects",
]
