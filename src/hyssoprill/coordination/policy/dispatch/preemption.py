"""Selects the cheapest running units to preempt for a step.

Load pattern: the pool is full of other workspaces' work when a workspace claims its
guarantee, or when an urgent job is about to miss its objective. The step gets the
upstreams on which preemption loses the least work. Work with checkpoints loses next to
nothing when it is stopped.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ....protocol.job import ZERO_AMOUNTS, ResourceAmounts
from .placement import count_fits, free_after_stops, place_gang, place_tasks, reserve

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .model import RunningUnit, UpstreamView, WaitingStep

STOP_COST = 1.0
"""Fixed cost of a stop in core seconds, added to the work that it loses."""


def select_preemptions(
    step: WaitingStep,
    candidates: list[UpstreamView],
    units: list[RunningUnit],
    *,
    max_cost: float = float("inf"),
) -> list[RunningUnit] | None:
    """Return the units to stop so that all tasks of a step fit, or None.

    The resources of the returned units are added to `releasing` of their upstreams, and
    those that the step needs are reserved. If the result is None, nothing is changed.

    Parameters
    ----------
    units : list of RunningUnit
        Units that may be stopped.
    max_cost : float
        Maximum total cost of the stops in core seconds.
    """
    best: list[RunningUnit] | None = None
    best_cost = max_cost
    best_domain: list[UpstreamView] = []
    by_upstream = _units_by_upstream(units)
    for domain in _placement_domains(step, candidates):
        victims = _choose_victims(step, domain, by_upstream, best_cost)
        if victims is not None:
            best, best_cost, best_domain = victims, _cost_of(victims), domain
            if not victims:
                break
    if best is None:
        return None
    _mark_releasing(best, {one.key: one for one in best_domain})
    for upstream in _place_after_stops(step, best_domain)[: len(step.indices)]:
        reserve(step, upstream, free_after_stops)
    return best


def _units_by_upstream(units: list[RunningUnit]) -> dict[str, list[RunningUnit]]:
    """Return the units on each upstream in the order in which they would be stopped."""
    found: dict[str, list[RunningUnit]] = defaultdict(list)
    for unit in sorted(units, key=_stop_order):
        for key in dict.fromkeys(unit.upstreams):
            found[key].append(unit)
    return found


def _placement_domains(
    step: WaitingStep, candidates: list[UpstreamView]
) -> list[list[UpstreamView]]:
    """Return the sets of upstreams on which a step may be placed as a whole.

    For a rack-sensitive gang these are the racks that could hold it when empty, if any.
    Otherwise all candidates are one domain.
    """
    if not (step.step.gang and step.step.rack_sensitive):
        return [candidates]
    racks: dict[str, list[UpstreamView]] = defaultdict(list)
    for upstream in candidates:
        racks[upstream.rack].append(upstream)
    found = [
        rack
        for rack in racks.values()
        if sum(one.capacity.fit_count(step.step.need, step.step.count) for one in rack)
        >= len(step.indices)
    ]
    return found or [candidates]


def _choose_victims(
    step: WaitingStep,
    domain: list[UpstreamView],
    by_upstream: dict[str, list[RunningUnit]],
    max_cost: float = float("inf"),
) -> list[RunningUnit] | None:
    """Return the units of a domain to stop; the views are left unchanged.

    None if they do not suffice or would cost more than `max_cost`. Greedy: repeatedly
    stops the cheapest units that make room for one more task. A stop affects only the
    unit's upstreams, so only their options are computed again.
    """
    views = {one.key: one for one in domain}
    before = [(one, one.releasing) for one in domain]
    chosen: dict[int, RunningUnit] = {}
    counts: dict[str, int] = {}
    options: dict[str, tuple[float, list[RunningUnit]] | None] = {}
    changed = list(views)
    try:
        while True:
            affected = [views[key] for key in changed]
            counts.update(dict.fromkeys(changed, 0))
            counts.update(count_fits(step, affected, free_after_stops))
            if sum(counts.values()) >= len(step.indices):
                return list(chosen.values())
            for key in changed:
                units = by_upstream.get(key)
                options[key] = (
                    _cheapest_victims(step, views[key], units, chosen)
                    if units
                    else None
                )
            available = (one for one in options.values() if one is not None)
            cheapest = min(available, key=_total_cost, default=None)
            if cheapest is None:
                return None
            chosen.update((id(unit), unit) for unit in cheapest[1])
            if _cost_of(chosen.values()) > max_cost:
                return None
            _mark_releasing(cheapest[1], views)
            cleared = {key for unit in cheapest[1] for key in unit.upstreams}
            changed = [key for key in views if key in cleared]
    finally:
        for one, releasing in before:
            one.releasing = releasing


def _cheapest_victims(
    step: WaitingStep,
    upstream: UpstreamView,
    units: list[RunningUnit],
    chosen: dict[int, RunningUnit],
) -> tuple[float, list[RunningUnit]] | None:
    """Return the cost and the units to stop for one more task on an upstream."""
    victims = _victims_for_one_task(step, upstream, units, chosen)
    return None if victims is None else (_cost_of(victims), victims)


def _total_cost(option: tuple[float, list[RunningUnit]]) -> float:
    return option[0]


def _mark_releasing(units: list[RunningUnit], views: dict[str, UpstreamView]) -> None:
    """Add the units' resources to `releasing` of the upstreams in `views`."""
    for unit in units:
        for key in unit.upstreams:
            if key in views:
                views[key].releasing = views[key].releasing.plus(unit.need)


def _place_after_stops(
    step: WaitingStep, domain: list[UpstreamView]
) -> list[UpstreamView]:
    if step.step.gang:
        return place_gang(step, domain, free_after_stops, spread=True) or []
    return place_tasks(step, domain, free_after_stops)


def _stop_order(unit: RunningUnit) -> tuple[bool, float, int]:
    return unit.within_guarantee, unit.cost, -unit.priority


def _cost_of(units: Iterable[RunningUnit]) -> float:
    return sum([unit.cost + STOP_COST for unit in units])


def _victims_for_one_task(
    step: WaitingStep,
    upstream: UpstreamView,
    units: list[RunningUnit],
    chosen: dict[int, RunningUnit],
) -> list[RunningUnit] | None:
    """Return units to stop so that one more task fits on an upstream, or None."""
    wanted = len(step.indices)
    free = free_after_stops(upstream)
    fits_now = free.fit_count(step.step.need, wanted)
    if fits_now >= wanted:
        return None
    missing = ZERO_AMOUNTS.plus(step.step.need, fits_now + 1).minus(free)
    # Without calls: this goes through all units of all upstreams.
    accelerators, millicores, memory_mb = missing
    picked: list[RunningUnit] = []
    for unit in units:
        if id(unit) in chosen:
            continue
        picked.append(unit)
        times = unit.upstreams.count(upstream.key)
        accelerators -= unit.need[0] * times
        millicores -= unit.need[1] * times
        memory_mb -= unit.need[2] * times
        if accelerators <= 0 and millicores <= 0 and memory_mb <= 0:
            spare = ResourceAmounts(-accelerators, -millicores, -memory_mb)
            return _drop_unneeded(upstream, picked, spare)
    return None


def _drop_unneeded(
    upstream: UpstreamView, picked: list[RunningUnit], spare: ResourceAmounts
) -> list[RunningUnit]:
    """Return the picked units without those not needed, the costliest dropped first.

    `spare` is what they release beyond what is needed.
    """
    kept = list(picked)
    for unit in sorted(picked, key=lambda one: -one.cost):
        rest = spare.minus(unit.need, unit.upstreams.count(upstream.key))
        if rest.covers(ZERO_AMOUNTS):
            kept = [one for one in kept if one is not unit]
            spare = rest
    return kept


__all__ = ["STOP_COST", "select_preemptions"]
