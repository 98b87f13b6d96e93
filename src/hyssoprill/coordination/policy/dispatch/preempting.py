"""Chooses which runs stop for a step that may take their room.

Load pattern: the pool is full of other workspaces' work when a workspace asks for
what is guaranteed to it, or when an urgent job is about to miss its objective. The
place that loses least work is vacated; work that saves its progress at a stop loses
next to nothing.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .placement import fits_on, free_after_stops, place_gang, place_tasks, reserve

if TYPE_CHECKING:
    from .model import RunningUnit, UpstreamView, WaitingStep

STOP_COST = 1.0
"""Core seconds that any stop costs, beside the work that it loses."""


def make_room(
    step: WaitingStep,
    candidates: list[UpstreamView],
    units: list[RunningUnit],
    *,
    max_cost: float = float("inf"),
) -> list[RunningUnit] | None:
    """Return the units to stop so that all tasks of a step fit, or None.

    Room of the units returned counts as `leaving`, and the step's share of it is
    taken. Nothing is changed where the answer is None.

    Parameters
    ----------
    units : list of RunningUnit
        What may be stopped.
    max_cost : float
        Most core seconds that may be lost.
    """
    best: list[RunningUnit] | None = None
    best_cost = max_cost
    best_domain: list[UpstreamView] = []
    by_upstream = _by_upstream(units)
    for domain in _domains(step, candidates):
        found = _vacate(step, domain, by_upstream)
        if found is not None and _cost(found) <= best_cost:
            best, best_cost, best_domain = found, _cost(found), domain
            if not found:
                break
    if best is None:
        return None
    _mark_leaving(best, {one.key: one for one in best_domain})
    for upstream in _places(step, best_domain)[: len(step.indices)]:
        reserve(step, upstream, free_after_stops)
    return best


def _by_upstream(units: list[RunningUnit]) -> dict[str, list[RunningUnit]]:
    """Return the units on each upstream, in the order in which they would stop."""
    found: dict[str, list[RunningUnit]] = defaultdict(list)
    for unit in sorted(units, key=_rank):
        for key in dict.fromkeys(unit.places):
            found[key].append(unit)
    return found


def _domains(
    step: WaitingStep, candidates: list[UpstreamView]
) -> list[list[UpstreamView]]:
    """Return where a step may be placed as a whole: each rack, then anywhere."""
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


def _vacate(
    step: WaitingStep,
    domain: list[UpstreamView],
    by_upstream: dict[str, list[RunningUnit]],
) -> list[RunningUnit] | None:
    """Return the units of a domain to stop; the views are left as they were.

    A stop changes only the upstreams of the unit, so that only their options are
    looked for again.
    """
    views = {one.key: one for one in domain}
    before = [(one, one.leaving) for one in domain]
    chosen: dict[int, RunningUnit] = {}
    counts: dict[str, int] = {}
    options: dict[str, tuple[float, list[RunningUnit]] | None] = {}
    changed = list(views)
    try:
        while True:
            counts.update(
                (key, fits_on(step, views[key], free_after_stops)) for key in changed
            )
            if sum(counts.values()) >= len(step.indices):
                return list(chosen.values())
            for key in changed:
                units = by_upstream.get(key, [])
                options[key] = _option(step, views[key], units, chosen)
            known = (one for one in options.values() if one is not None)
            cheapest = min(known, key=_option_cost, default=None)
            if cheapest is None:
                return None
            chosen.update((id(unit), unit) for unit in cheapest[1])
            _mark_leaving(cheapest[1], views)
            touched = {key for unit in cheapest[1] for key in unit.places}
            changed = [key for key in views if key in touched]
    finally:
        for one, leaving in before:
            one.leaving = leaving


def _option(
    step: WaitingStep,
    upstream: UpstreamView,
    units: list[RunningUnit],
    chosen: dict[int, RunningUnit],
) -> tuple[float, list[RunningUnit]] | None:
    """Return what to stop for one more task on an upstream, and what that costs."""
    found = _victims(step, upstream, units, chosen)
    return None if found is None else (_cost(found), found)


def _option_cost(option: tuple[float, list[RunningUnit]]) -> float:
    return option[0]


def _mark_leaving(units: list[RunningUnit], views: dict[str, UpstreamView]) -> None:
    for unit in units:
        for key in unit.places:
            if key in views:
                views[key].leaving = views[key].leaving.plus(unit.need)


def _places(step: WaitingStep, domain: list[UpstreamView]) -> list[UpstreamView]:
    if step.step.gang:
        return place_gang(step, domain, free_after_stops, spread=True) or []
    return place_tasks(step, domain, free_after_stops)


def _rank(unit: RunningUnit) -> tuple[bool, float, int]:
    return unit.within_guarantee, unit.cost, -unit.priority


def _cost(units: list[RunningUnit]) -> float:
    return sum(unit.cost + STOP_COST for unit in units)


def _victims(
    step: WaitingStep,
    upstream: UpstreamView,
    units: list[RunningUnit],
    chosen: dict[int, RunningUnit],
) -> list[RunningUnit] | None:
    """Return units whose end lets one more task fit on an upstream."""
    need = step.step.need
    wanted = len(step.indices)
    room = free_after_stops(upstream)
    fits_now = room.fit_count(need, wanted)
    picked: list[RunningUnit] = []
    for unit in units:
        if id(unit) in chosen:
            continue
        picked.append(unit)
        room = room.plus(unit.need, unit.places.count(upstream.key))
        if room.fit_count(need, wanted) > fits_now:
            return _without_needless(step, upstream, picked, fits_now)
    return None


def _without_needless(
    step: WaitingStep,
    upstream: UpstreamView,
    picked: list[RunningUnit],
    fits_now: int,
) -> list[RunningUnit]:
    """Leave out, dearest first, units whose room is not needed after all."""
    kept = list(picked)
    for unit in sorted(picked, key=lambda one: -one.cost):
        rest = [one for one in kept if one is not unit]
        room = free_after_stops(upstream)
        for one in rest:
            room = room.plus(one.need, one.places.count(upstream.key))
        if room.fit_count(step.step.need, len(step.indices)) > fits_now:
            kept = rest
    return kept


__all__ = ["STOP_COST", "make_room"]
