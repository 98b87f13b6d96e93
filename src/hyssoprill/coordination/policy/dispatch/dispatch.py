"""One round of decisions: which waiting tasks start where, and what stops for them."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .model import Placement, Plan
from .placement import (
    eligible_upstreams,
    free_after_stops,
    free_now,
    place_gang,
    place_tasks,
    reserve,
)
from .preempting import STOP_COST, make_room
from .ranking import rank
from .sparing import spare_clear

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .model import RunningUnit, UpstreamView, WaitingStep

PLACE_WAIT_SHARE = 2.0
"""Part of its run time for which a task waits for its data's or its gang's rack.

Elsewhere it takes `remote_factor` (3) times as long, and keeps the room so long."""
MAX_HELD_STEPS = 2
"""Steps without room whose place is kept from later steps in one round."""
PREEMPT_SLACK_S = 3.0
"""A step takes lower priorities' room when it has less than this left to wait."""
RECLAIM_MARGIN_S = 1.1
"""Of the time to reclaim what is guaranteed, for the stops and the starts."""
MAX_LOSS_SHARE = 1.0
"""Beyond its guarantee, an urgent step may cost others this part of its own work."""
MAX_LATE_LOSS_SHARE = 0.25
"""The same for a step that is not urgent and about to miss its objective.

What it would stop is long work as well, whose callers wait in turn."""
ESTIMATE_DOUBT = 0.5
"""Estimates may be this part too short, so that an objective is later than it seems."""
END_FACTOR = 1.3
"""Runs may take this much longer than they were expected to."""


def plan_round(
    waiting: Iterable[WaitingStep],
    upstreams: list[UpstreamView],
    units: list[RunningUnit],
    *,
    reclaim_s: float,
) -> Plan:
    """Decide what starts and stops now.

    Parameters
    ----------
    waiting : iterable of WaitingStep
        Steps with tasks that wait for a place.
    upstreams : list of UpstreamView
        Upstreams that may get starts; their room is used up.
    units : list of RunningUnit
        What runs and is not being stopped.
    reclaim_s : float
        Within this time a guaranteed job has to have its room.
    """
    plan = Plan()
    held = 0
    for step in sorted(waiting, key=rank):
        candidates = spare_clear(step, _eligible(step, upstreams), upstreams)
        if not candidates or _start_now(step, candidates, plan):
            continue
        stopped = _preempt(step, candidates, units, reclaim_s)
        if stopped is not None:
            plan.stops += [(unit, f"room for {step.key.job_id}") for unit in stopped]
            gone = {id(unit) for unit in stopped}
            units = [unit for unit in units if id(unit) not in gone]
        elif held < MAX_HELD_STEPS:
            held += _hold(step, candidates)
    return plan


def _is_patient(step: WaitingStep) -> bool:
    """Tell whether a step still waits for the rack where it is fast."""
    patience_s = step.step.estimate_ms / 1000 * PLACE_WAIT_SHARE
    return step.waited_s < patience_s


def _eligible(step: WaitingStep, upstreams: list[UpstreamView]) -> list[UpstreamView]:
    """Return where a step may run, for a while only beside its data."""
    candidates = _trusted(step, eligible_upstreams(step, upstreams))
    rack = step.step.data_rack
    if rack and _is_patient(step) and not step.within_guarantee:
        near = [one for one in candidates if one.rack == rack]
        return near or candidates
    return candidates


def _trusted(step: WaitingStep, candidates: list[UpstreamView]) -> list[UpstreamView]:
    """Leave out upstreams that fail the job, and suspected ones for its last attempt.

    An upstream that fails all it starts always has room: a job that may go back there
    uses up its attempts within a second.
    """
    for is_trusted in (
        lambda one: one.key not in step.shun and not (step.is_last and one.penalty),
        lambda one: one.key not in step.shun,
    ):
        trusted = [one for one in candidates if is_trusted(one)]
        if any(one.capacity.covers(step.step.need) for one in trusted):
            return trusted
    return candidates


def _start_now(step: WaitingStep, candidates: list[UpstreamView], plan: Plan) -> bool:
    """Start what fits; return whether nothing of the step is left waiting."""
    if step.step.gang:
        spread = not _is_patient(step)
        places = place_gang(step, candidates, free_now, spread=spread) or []
    else:
        places = place_tasks(step, candidates, free_now)
    for index, upstream in zip(step.indices, places, strict=False):
        reserve(step, upstream, free_now)
        plan.starts.append(Placement(step.key, index, upstream.key))
    del step.indices[: len(places)]
    return not step.indices


def _hold(step: WaitingStep, candidates: list[UpstreamView]) -> int:
    """Keep the room of running stops for a step; return 1 where it suffices."""
    if step.step.gang:
        places = place_gang(step, candidates, free_after_stops) or []
    else:
        places = place_tasks(step, candidates, free_after_stops)
    if len(places) < len(step.indices):
        return 0
    for upstream in places:
        reserve(step, upstream, free_after_stops)
    return 1


def _preempt(
    step: WaitingStep,
    candidates: list[UpstreamView],
    units: list[RunningUnit],
    reclaim_s: float,
) -> list[RunningUnit] | None:
    """Return what to stop so that a step fits, or None where nothing may stop.

    What is guaranteed is taken from anybody. Beyond that, only from lower priorities:
    by an urgent job at once, by others when they are about to miss their objective,
    and where no more work is lost than their own. Where not all tasks of a step
    find room so, one does.
    """
    if step.within_guarantee:
        return _reclaim(step, candidates, units, reclaim_s)
    lower = [unit for unit in units if unit.priority > step.job.priority]
    is_urgent = step.is_urgent or step.slack_s < PREEMPT_SLACK_S
    doubt_s = step.step.estimate_ms / 1000 * ESTIMATE_DOUBT
    if not is_urgent or step.slack_s < -doubt_s:
        return None
    loss_share = MAX_LOSS_SHARE if step.is_urgent else MAX_LATE_LOSS_SHARE
    max_cost = step.work * loss_share
    whole = make_room(step, candidates, lower, max_cost=max_cost)
    if whole is not None or step.step.gang:
        return whole
    one = replace(step, indices=step.indices[:1])
    return make_room(one, candidates, lower, max_cost=one.work * loss_share)


def _reclaim(
    step: WaitingStep,
    candidates: list[UpstreamView],
    units: list[RunningUnit],
    reclaim_s: float,
) -> list[RunningUnit] | None:
    """Return what to stop for a guaranteed job.

    Runs that will probably end in time are counted on, and not stopped.
    """
    may_wait_s = reclaim_s - RECLAIM_MARGIN_S - step.waited_s
    takeable = [
        replace(unit, cost=-STOP_COST) if _ends_within(unit, may_wait_s) else unit
        for unit in units
        if unit.priority > 0 or not unit.within_guarantee
    ]
    chosen = make_room(step, candidates, takeable)
    if chosen is None:
        return None
    return [unit for unit in chosen if not _ends_within(unit, may_wait_s)]


def _ends_within(unit: RunningUnit, seconds: float) -> bool:
    return unit.left_s * END_FACTOR < seconds


__all__ = ["plan_round"]
