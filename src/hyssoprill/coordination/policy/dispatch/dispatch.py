"""One round of decisions: which waiting tasks start where, and what stops for them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .placing import free, place_each, place_gang, soon_free, take, usable
from .preempting import make_room
from .ranking import rank
from .view import Placement, Plan

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .view import RunningUnit, UpstreamView, WaitingStep

DATA_WAIT_SHARE = 1.0
"""Part of its run time for which a task waits for a place beside its data."""
MAX_HELD_STEPS = 2
"""Steps without room whose place is kept from later ones in one round."""


def plan_round(
    waiting: Iterable[WaitingStep],
    upstreams: list[UpstreamView],
    units: list[RunningUnit],
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
    """
    plan = Plan()
    held = 0
    for step in sorted(waiting, key=rank):
        candidates = _eligible(step, upstreams)
        if not candidates:
            continue
        if _start_now(step, candidates, plan):
            continue
        if step.job.priority == 0 and step.first_start:
            stopped = _reclaim(step, candidates, units, plan)
            units = [unit for unit in units if unit not in stopped]
        elif held < MAX_HELD_STEPS and step.step.gang:
            held += _hold(step, candidates)
    return plan


def _eligible(step: WaitingStep, upstreams: list[UpstreamView]) -> list[UpstreamView]:
    """Return where a step may run, for a while only beside its data."""
    candidates = usable(step, upstreams)
    rack = step.step.data_rack
    patience_s = step.step.estimate_ms / 1000 * DATA_WAIT_SHARE
    if rack and step.waited_s < patience_s and not step.within_guarantee:
        near = [one for one in candidates if one.rack == rack]
        return near or candidates
    return candidates


def _start_now(step: WaitingStep, candidates: list[UpstreamView], plan: Plan) -> bool:
    """Start what fits; return whether nothing of the step is left waiting."""
    if step.step.gang:
        places = place_gang(step, candidates, free) or []
    else:
        places = place_each(step, candidates, free)
    for index, upstream in zip(step.indices, places, strict=False):
        take(step, upstream, free)
        plan.starts.append(Placement(step.key, index, upstream.key))
    del step.indices[: len(places)]
    return not step.indices


def _hold(step: WaitingStep, candidates: list[UpstreamView]) -> int:
    """Keep the room of running stops for a step; return 1 where it suffices."""
    places = place_gang(step, candidates, soon_free) if step.step.gang else None
    for upstream in places or ():
        take(step, upstream, soon_free)
    return 1 if places else 0


def _reclaim(
    step: WaitingStep,
    candidates: list[UpstreamView],
    units: list[RunningUnit],
    plan: Plan,
) -> list[RunningUnit]:
    """Stop others' work for an urgent step; return what is stopped."""

    def may_stop(unit: RunningUnit) -> bool:
        if unit.priority == 0:
            return step.within_guarantee and not unit.within_guarantee
        return step.within_guarantee or unit.cost <= 0

    stopped = make_room(step, candidates, units, may_stop) or []
    plan.stops += [(unit, f"room for {step.key.job_id}") for unit in stopped]
    return stopped


__all__ = ["plan_round"]
