"""Plans one scheduling round: which waiting tasks start where and which runs stop."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from .calm import hold_for_calm
from .headroom import exclude_headroom
from .idle_pool import MAX_IDLE_WAIT_S, has_waited_beside_idle_pool
from .model import Placement, Plan
from .placement import (
    eligible_upstreams,
    free_after_stops,
    free_now,
    place_gang,
    place_tasks,
    reserve,
)
from .preemption import STOP_COST, select_preemptions
from .ranking import scheduling_order
from .stop_prices import StopPricing, stop_gain
from .suspects import hold_upstream, record_start, separate_suspects
from .terms import DispatchTerms
from .upstream_speeds import (
    faster_to_wait_for,
    hold_room,
    select_by_speed,
    starts_on_slower,
)

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .model import RunningUnit, UpstreamView, WaitingStep

LOCALITY_WAIT_SHARE = 2.0
"""A step waits this multiple of its run time for its data's rack or for a single rack.

Elsewhere its tasks run `remote_factor` (3) times as long and occupy their resources for
all that time."""
MAX_RESERVATIONS = 2
"""Steps per round that may reserve capacity of runs that are already being stopped.

Later steps of the round cannot use reserved capacity."""
PREEMPT_SLACK_S = 3.0
"""A step that is not urgent may preempt lower priorities below this slack."""
RECLAIM_MARGIN_S = 1.1
"""Part of the reclaim deadline that is set aside for stopping and starting runs."""
MAX_URGENT_LOSS_SHARE = 1.0
"""Limit of the work that an urgent step beyond its guarantee may destroy, as a multiple
of its own work."""
MAX_LATE_LOSS_SHARE = 0.25
"""The same for a step that is not urgent and about to miss its objective.

Lower, because its victims are long runs as well and their callers also wait."""
ESTIMATE_ERROR_SHARE = 0.5
"""Assumed error of estimates: with an estimate that is too short by this share, the
objective is later than computed, so a step is not given up as soon as its slack is
negative."""
OVERRUN_FACTOR = 1.3
"""Runs are assumed to take up to this multiple of their estimated remaining time."""


def plan_round(
    waiting: Iterable[WaitingStep],
    upstreams: list[UpstreamView],
    units: Iterable[RunningUnit],
    *,
    reclaim_s: float,
    terms: DispatchTerms = DispatchTerms(),  # noqa: B008 - immutable
) -> Plan:
    """Return the starts and stops of one round.

    Parameters
    ----------
    waiting : iterable of WaitingStep
        Steps with tasks to place. Tasks that start are removed from their `indices`.
    upstreams : list of UpstreamView
        Upstreams that accept starts. Their free capacity is reduced in place.
    units : iterable of RunningUnit
        Running units that are not being stopped. Read once, and only if a step may
        preempt: finding them costs by what runs.
    reclaim_s : float
        Time within which a job covered by a guarantee must get its resources.
    terms : DispatchTerms
        Decisions under hard load that the deployment calls for; by default none.
    """
    plan = Plan()
    reservations = 0
    stoppable: list[RunningUnit] | None = None
    pricing = StopPricing(terms) if terms.caller_costs else None
    steps = sorted(waiting, key=scheduling_order(terms))
    # Groups where a task that lasts may not wait any longer beside free room.
    lasting = {
        one.job.group
        for one in steps
        if one.step.long_running and one.waited_s >= MAX_IDLE_WAIT_S
    }
    for step in steps:
        may_wait = not has_waited_beside_idle_pool(step, upstreams)
        candidates = _candidates(step, upstreams, may_wait=may_wait)
        held = hold_for_calm(step, candidates, may_wait=may_wait)
        if held is not None:
            plan.held.append(held)
            continue
        if may_wait:
            candidates = exclude_headroom(step, candidates, upstreams)
        spread = not (may_wait and _waits_for_rack(step))
        placeable = candidates
        if terms.upstream_speeds:
            placeable = select_by_speed(step, candidates, spread=spread)
            may_wait_for_faster = may_wait and step.job.group not in lasting
            if may_wait_for_faster and _starts_on_slower(
                step, placeable, candidates, upstreams
            ):
                stoppable = list(units) if stoppable is None else stoppable
                awaited = faster_to_wait_for(step, candidates, placeable, stoppable)
                if awaited:
                    hold_room(step, awaited)
                    continue
        if not candidates or _start_now(step, placeable, plan, spread=spread):
            continue
        stopped = None
        if _may_preempt(step, terms):
            stoppable = list(units) if stoppable is None else stoppable
            # The free room beside runs that are let end is denied to others.
            may_let_end = pricing is not None and not has_waited_beside_idle_pool(
                step, upstreams, fit_times=0
            )
            stopped = _choose_preemptions(
                step, candidates, stoppable, reclaim_s, pricing, may_let_end=may_let_end
            )
        if stopped is not None:
            reason = _stop_reason(step, stopped, priced=pricing is not None)
            plan.stops += [(unit, reason) for unit in stopped]
            if stopped:
                plan.preempting.append(step.key)
            keys = {(unit.step, unit.indices) for unit in stopped}
            stoppable = [
                one for one in stoppable if (one.step, one.indices) not in keys
            ]
        elif reservations < MAX_RESERVATIONS:
            reservations += _reserve_future(step, candidates)
    return plan


def _starts_on_slower(
    step: WaitingStep,
    placeable: list[UpstreamView],
    candidates: list[UpstreamView],
    upstreams: list[UpstreamView],
) -> bool:
    """Return whether a gang would start on slower upstreams, and need not do so.

    It must beside an idle pool, as the room that is kept for it is denied to others.
    """
    return starts_on_slower(
        step, placeable, candidates
    ) and not has_waited_beside_idle_pool(step, upstreams, fit_times=1)


def _waits_for_rack(step: WaitingStep) -> bool:
    """Return whether a step may still wait for the rack on which it runs fastest."""
    return step.waited_s < step.expected_s * LOCALITY_WAIT_SHARE


def _candidates(
    step: WaitingStep, upstreams: list[UpstreamView], *, may_wait: bool
) -> list[UpstreamView]:
    """Return the upstreams on which a step may run now.

    While it may wait for its data's rack, only upstreams there, if any are eligible.
    """
    eligible = _exclude_failing(step, eligible_upstreams(step, upstreams))
    candidates = separate_suspects(step, eligible, may_wait=may_wait)
    if not candidates:
        hold_upstream(step, eligible)
    rack = step.step.data_rack
    is_waiting = may_wait and _waits_for_rack(step)
    if rack and is_waiting and not step.within_guarantee:
        near = [one for one in candidates if one.rack == rack]
        return near or candidates
    return candidates


def _exclude_failing(
    step: WaitingStep, candidates: list[UpstreamView]
) -> list[UpstreamView]:
    """Exclude upstreams on which the job failed repeatedly.

    On the last attempt upstreams with recent failures of any job are excluded, too. An
    upstream that fails everything it starts always has free capacity: a job that may
    return to it uses up its attempts within a second. The exclusions are relaxed, those
    of the last attempt first, if the remaining upstreams could not run a task even when
    empty.
    """
    if not step.excluded_upstreams and not step.is_last_attempt:
        return candidates
    for is_allowed in (
        lambda one: (
            one.key not in step.excluded_upstreams
            and not (step.is_last_attempt and one.penalty)
        ),
        lambda one: one.key not in step.excluded_upstreams,
    ):
        allowed = [one for one in candidates if is_allowed(one)]
        if any(one.capacity.covers(step.step.need) for one in allowed):
            return allowed
    return candidates


def _start_now(
    step: WaitingStep, candidates: list[UpstreamView], plan: Plan, *, spread: bool
) -> bool:
    """Add starts for the tasks that fit to `plan`; return whether all tasks fit.

    `spread` lets a rack-sensitive gang run on several racks.
    """
    if step.step.gang:
        placed_on = place_gang(step, candidates, free_now, spread=spread) or []
    else:
        placed_on = place_tasks(step, candidates, free_now)
    for index, upstream in zip(step.indices, placed_on, strict=False):
        reserve(step, upstream, free_now)
        record_start(step, upstream)
        plan.starts.append(Placement(step.key, index, upstream.key))
    del step.indices[: len(placed_on)]
    return not step.indices


def _reserve_future(step: WaitingStep, candidates: list[UpstreamView]) -> int:
    """Reserve capacity that pending stops release, if all tasks of a step fit.

    Returns the number of reservations made, 0 or 1.
    """
    if step.step.gang:
        placed_on = place_gang(step, candidates, free_after_stops) or []
    else:
        placed_on = place_tasks(step, candidates, free_after_stops)
    if len(placed_on) < len(step.indices):
        return 0
    for upstream in placed_on:
        reserve(step, upstream, free_after_stops)
    return 1


def _may_preempt(step: WaitingStep, terms: DispatchTerms) -> bool:
    """Return whether a step may stop running units.

    Beyond the guarantee an urgent step may at once, and others when they are about to
    miss their objective, unless it cannot be met any more. Where stops have to pay for
    themselves, they may one run time before that, as estimates are that far off.
    """
    if step.within_guarantee:
        return True
    max_slack_s = PREEMPT_SLACK_S
    if terms.caller_costs:
        max_slack_s = max(step.expected_s, PREEMPT_SLACK_S)
    is_pressed = step.is_urgent or step.slack_s < max_slack_s
    return is_pressed and step.slack_s >= -step.expected_s * ESTIMATE_ERROR_SHARE


def _choose_preemptions(
    step: WaitingStep,
    candidates: list[UpstreamView],
    units: list[RunningUnit],
    reclaim_s: float,
    pricing: StopPricing | None,
    *,
    may_let_end: bool,
) -> list[RunningUnit] | None:
    """Return the units to stop so that a step that may preempt fits, or None.

    A step covered by its workspace's guarantee may preempt all but urgent work that
    is covered itself. Beyond the guarantee a step preempts only lower priorities, and
    the work lost is limited to a share of its own. If not all tasks of a step that is
    not a gang can be placed within that limit, one is.
    """
    if step.within_guarantee:
        return _choose_reclaims(step, candidates, units, reclaim_s, pricing)
    lower_priority = [unit for unit in units if unit.priority > step.job.priority]
    if pricing is not None:
        return _choose_paying_stops(
            step, candidates, lower_priority, pricing, may_let_end=may_let_end
        )
    loss_share = MAX_URGENT_LOSS_SHARE if step.is_urgent else MAX_LATE_LOSS_SHARE
    max_cost = step.work_core_s * loss_share
    stops = select_preemptions(step, candidates, lower_priority, max_cost=max_cost)
    if stops is not None or step.step.gang:
        return stops
    one_task = replace(step, indices=step.indices[:1])
    return select_preemptions(
        one_task,
        candidates,
        lower_priority,
        max_cost=one_task.work_core_s * loss_share,
    )


def _choose_paying_stops(
    step: WaitingStep,
    candidates: list[UpstreamView],
    units: list[RunningUnit],
    pricing: StopPricing,
    *,
    may_let_end: bool,
) -> list[RunningUnit] | None:
    """Return the units to stop if this costs callers less than the step's wait.

    If not all tasks of a step that is not a gang can be placed so, one is.
    """
    prices = pricing.price(step, units, may_let_end=may_let_end)
    stops = select_preemptions(step, candidates, prices.units, max_cost=prices.gain)
    if stops is None and not step.step.gang:
        one_task = replace(step, indices=step.indices[:1])
        max_cost = prices.gain / len(step.indices)
        stops = select_preemptions(
            one_task, candidates, prices.units, max_cost=max_cost
        )
    if stops is None:
        return None
    return [unit for unit in stops if id(unit) not in prices.let_end]


def _stop_reason(step: WaitingStep, stopped: list[RunningUnit], *, priced: bool) -> str:
    """Return the reason of stops for a step, with their cost and its caller's gain."""
    reason = f"room for {step.key.job_id}"
    if not priced or step.within_guarantee:
        return reason
    cost = sum(unit.cost for unit in stopped)
    return f"{reason}, costs {cost:.0f} of {stop_gain(step):.0f} gained"


def _choose_reclaims(
    step: WaitingStep,
    candidates: list[UpstreamView],
    units: list[RunningUnit],
    reclaim_s: float,
    pricing: StopPricing | None,
) -> list[RunningUnit] | None:
    """Return the units to stop for a step covered by its workspace's guarantee.

    Units that are expected to end before the reclaim deadline are selected at no cost,
    and left to end by themselves.
    """
    time_left_s = reclaim_s - RECLAIM_MARGIN_S - step.waited_s
    stoppable = [
        unit for unit in units if unit.priority > 0 or not unit.within_guarantee
    ]
    if pricing is not None:
        stoppable = pricing.price(step, stoppable, may_let_end=False).units
    stoppable = [
        replace(unit, cost=-STOP_COST) if _ends_within(unit, time_left_s) else unit
        for unit in stoppable
    ]
    selected = select_preemptions(step, candidates, stoppable)
    if selected is None:
        return None
    return [unit for unit in selected if not _ends_within(unit, time_left_s)]


def _ends_within(unit: RunningUnit, seconds: float) -> bool:
    # Members of a gang of which the progress is known are bounded by their own.
    if unit.likely_remaining_s:
        return max(unit.likely_remaining_s, unit.remaining_s) < seconds
    return unit.remaining_s * OVERRUN_FACTOR < seconds


__all__ = ["plan_round"]
