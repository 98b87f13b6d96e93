"""Answers where a job would go now, without storing or starting anything."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from msgspec import structs

from ...errors import InvalidRequestError
from ...protocol.job import Job
from ...protocol.placement_query import (
    AFTER_STEPS,
    AFTER_STOPS,
    MAX_NAMED_UPSTREAMS,
    NEVER,
    STARTS_NOW,
    WAITS,
    JobPlacement,
    StepPlacement,
)
from ...state.job_table import JobState
from ..policy.dispatch.placement import (
    count_fits,
    eligible_upstreams,
    fits_empty_rack,
    free_after_stops,
    free_now,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...protocol.job import ResourceAmounts
    from ...protocol.placement_query import JobDraft
    from ...state.operator_config import OperatorConfig
    from ..policy.dispatch.model import Plan, RunningUnit, UpstreamView, WaitingStep
    from .policy_inputs import PolicyInputs

QUERY_JOB_ID = "placement-query"
"""Id of the job that is asked about; callers' ids are hexadecimal."""


def draft_job(
    draft: JobDraft, config: OperatorConfig, now_ms: int, job_id: str = QUERY_JOB_ID
) -> Job:
    """Return the job of a draft as it would be accepted now.

    Raises
    ------
    InvalidRequestError
        Where the config knows no such workspace or queue, or a step depends on itself
        or a later one.
    """
    queue = next((one for one in config.queues if one.name == draft.queue), None)
    if queue is None:
        raise InvalidRequestError(
            f"the config has no queue {draft.queue!r}",
            field="queue",
            remedy="name a queue of the config in force",
        )
    if all(one.name != draft.workspace for one in config.workspaces):
        raise InvalidRequestError(
            f"the config has no workspace {draft.workspace!r}",
            field="workspace",
            remedy="name a workspace of the config in force",
        )
    try:
        return Job(
            job_id,
            queue.name,
            queue.group,
            draft.workspace,
            queue.priority,
            queue.max_attempts,
            queue.stretch,
            queue.target_latency_ms,
            now_ms,
            "",
            draft.steps,
        )
    except ValueError as exc:
        raise InvalidRequestError(
            str(exc), field="steps", remedy="name earlier steps only"
        ) from exc


def place_job(
    job: Job,
    inputs: PolicyInputs,
    decide: Callable[[list[WaitingStep], list[UpstreamView], list[RunningUnit]], Plan],
    now_ms: int,
    term: int,
) -> JobPlacement:
    """Return where a job would go in a round of now, beside all waiting steps.

    Parameters
    ----------
    inputs : PolicyInputs
        Inputs of a round, of which nothing is kept.
    decide : callable
        The policy of a round.
    """
    own = inputs.steps_of(JobState(job), now_ms)
    waiting = [*inputs.waiting_steps(now_ms), *own]
    before = {one.key: one for one in inputs.upstream_views()}
    units = list(inputs.running_units())
    views = inputs.upstream_views()
    plan = decide(waiting, views, units)
    capacities = inputs.job_table.known_capacities
    steps = []
    for number, step in enumerate(job.steps):
        if not capacities.may_fit(job.group, step.need):
            reason = "a task is larger than every upstream"
            steps.append(StepPlacement(number, NEVER, reason, step.count))
        elif step.after:
            reason = "steps " + ", ".join(str(one) for one in step.after)
            steps.append(StepPlacement(number, AFTER_STEPS, reason, step.count))
    for waiting_step in own:
        if all(one.step != waiting_step.key.step for one in steps):
            steps.append(_place_step(waiting_step, plan, before, units))
    never = any(one.state == NEVER for one in steps)
    return JobPlacement(
        planner="",
        term=term,
        state_age_s=0.0,
        refused="a task is larger than every upstream" if never else "",
        parts=list(inputs.terms.parts),
        within_guarantee=any(one.within_guarantee for one in own),
        steps=sorted(_with_chain(steps, job), key=lambda one: one.step),
    )


def _place_step(
    step: WaitingStep,
    plan: Plan,
    upstreams: dict[str, UpstreamView],
    units: list[RunningUnit],
) -> StepPlacement:
    """Return where the tasks of one ready step would go.

    `upstreams` and `units` are as they were before the round.
    """
    placed = [one.upstream for one in plan.starts if one.step == step.key]
    stops = {
        unit.step.record_key
        for unit, reason in plan.stops
        if reason.partition(",")[0].endswith(f" {step.key.job_id}")
    }
    state, reason, start_s = STARTS_NOW, "", 0.0
    if step.key in plan.preempting:
        state, reason, start_s = AFTER_STOPS, "runs that are stopped for it", None
    elif len(placed) < step.step.count:
        eligible = eligible_upstreams(step, upstreams.values())
        reason, start_s = _reason_to_wait(step, eligible, units)
        state = WAITS
    return StepPlacement(
        step.key.step,
        state,
        reason,
        step.step.count,
        len(placed),
        dict(Counter(placed).most_common(MAX_NAMED_UPSTREAMS)),
        sorted(stops)[:MAX_NAMED_UPSTREAMS],
        None if start_s is None else round(start_s, 2),
        None if start_s is None else round(start_s + step.expected_s, 2),
    )


def _reason_to_wait(
    step: WaitingStep, eligible: list[UpstreamView], units: list[RunningUnit]
) -> tuple[str, float | None]:
    """Return what a step waits for, and after how long it is expected to start."""
    wanted = step.step.count
    if not eligible:
        return "no upstream has its label or takes starts", None
    free = sum(count_fits(step, eligible, free_now).values())
    if free >= wanted:
        if step.step.rack_sensitive and fits_empty_rack(step, eligible):
            return "room in one rack", None
        return "upstreams with room are kept for other work, or to last", None
    if sum(count_fits(step, eligible, free_after_stops).values()) >= wanted:
        return "runs that are being stopped", None
    start_s = _room_after_s(step, eligible, units)
    return f"room: {free} of {wanted} tasks fit now", start_s


def _room_after_s(
    step: WaitingStep, eligible: list[UpstreamView], units: list[RunningUnit]
) -> float | None:
    """Return after how long enough runs are expected to end; None if they do not."""
    free: dict[str, ResourceAmounts] = {
        one.key: free_after_stops(one) for one in eligible
    }
    for unit in sorted(units, key=lambda one: one.remaining_s):
        if unit.remaining_s == float("inf"):
            return None
        for key in unit.upstreams:
            if key in free:
                free[key] = free[key].plus(unit.need)
        fits = [one.fit_count(step.step.need, step.step.count) for one in free.values()]
        if sum(fits) >= step.step.count:
            return unit.remaining_s
    return None


def _with_chain(steps: list[StepPlacement], job: Job) -> list[StepPlacement]:
    """Return the steps, those after others with the end of the last of them."""
    ends = {one.step: one.end_s for one in steps if one.state != AFTER_STEPS}
    found = []
    for one in sorted(steps, key=lambda step: step.step):
        if one.state == AFTER_STEPS:
            before = [ends.get(number) for number in job.steps[one.step].after]
            if None not in before:
                start_s = max(before)
                end_s = round(start_s + job.steps[one.step].estimate_ms / 1000, 2)
                one = structs.replace(one, start_s=start_s, end_s=end_s)
            ends[one.step] = one.end_s
        found.append(one)
    return found


__all__ = [
    "QUERY_JOB_ID",
    "draft_job",
    "place_job",
]
