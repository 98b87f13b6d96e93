"""Finds in the job table what jobs are worth to their callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..policy.dispatch.caller_costs import CallerStake, stake_of
from ..policy.dispatch.model import core_equivalents

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...protocol.job import Job, Step
    from ...state.job_table import JobState, TaskState
    from .run_times import RunTimes


def find_stake(
    job_state: JobState,
    occurrence: int,
    run_times: RunTimes,
    *,
    slack_s: float,
    age_s: float,
) -> CallerStake:
    """Return the stake of a job in one of its occurrences.

    The objective is what the age, the slack and the longest chain that is left make up.

    A job that lasts loses by each moment in which it is not at work, as one whose slack
    is just used up.
    """
    job = job_state.job
    work_core_s = remaining_s = 0.0
    ends: list[float] = []
    for number, step in enumerate(job.steps):
        state = job_state.steps.get((occurrence, number))
        own_s = run_times.expected_s(job, step, state)
        work_core_s += core_equivalents(step.need) * own_s * step.count
        left_s = 0.0 if state is not None and state.is_done else own_s
        ends.append(left_s + max((ends[one] for one in step.after), default=0.0))
        remaining_s = max(remaining_s, ends[-1])
    lasts = any(step.long_running for step in job.steps)
    return stake_of(
        job.priority,
        work_core_s,
        objective_s=slack_s + age_s + remaining_s,
        slack_s=0.0 if lasts else slack_s,
        remaining_s=remaining_s,
    )


def age_s(job: Job, occurrence: int, now_ms: int) -> float:
    """Return the time since an occurrence of a job was accepted and due."""
    return (now_ms - max(job.accepted_ms, job.due_ms(occurrence))) / 1000


def earlier_stops(step: Step, tasks: Sequence[TaskState]) -> int:
    """Return how often the tasks of a running unit were stopped before, at least.

    The tasks of a gang share their run numbers, so that all runs but the newest and the
    failed ones were stopped. A single task's number is the step's: it tells only by its
    checkpoint that it was.
    """
    if step.gang:
        return max(max(task.run - 1 - task.failures for task in tasks), 0)
    return int(any(task.checkpoint for task in tasks))


__all__ = ["age_s", "earlier_stops", "find_stake"]
