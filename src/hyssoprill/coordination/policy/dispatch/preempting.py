"""Chooses which runs stop for a job that has a right to their room.

Load pattern: the pool is full of other workspaces' work when a workspace asks for
what is guaranteed to it. The place that loses least work is vacated; work that saves
its progress at a stop loses next to nothing.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from .placing import place_each, place_gang, soon_free, take

if TYPE_CHECKING:
    from collections.abc import Callable

    from ....protocol.job import Amounts
    from .view import RunningUnit, UpstreamView, WaitingStep


def make_room(
    step: WaitingStep,
    candidates: list[UpstreamView],
    units: list[RunningUnit],
    may_stop: Callable[[RunningUnit], bool],
) -> list[RunningUnit] | None:
    """Return the units to stop so that all tasks of a step fit, or None.

    Room of the units returned is moved to `leaving`, and the step's share of it is
    taken.
    """
    stoppable = sorted(
        (unit for unit in units if may_stop(unit)), key=lambda one: _unit_rank(one)
    )
    by_upstream: dict[str, list[RunningUnit]] = defaultdict(list)
    for unit in stoppable:
        for key in dict.fromkeys(unit.places):
            by_upstream[key].append(unit)
    chosen: dict[int, RunningUnit] = {}
    before = {one.key: (one.free, one.leaving) for one in candidates}
    placed = dict(step.placed)
    views = {one.key: one for one in candidates}
    remaining = len(step.indices)
    while remaining:
        places = _places(step, candidates)
        if len(places) >= remaining:
            for upstream in places[:remaining]:
                take(step, upstream, soon_free)
            return list(chosen.values())
        option = _cheapest_option(step, candidates, by_upstream, chosen)
        if option is None:
            break
        for unit in option:
            chosen[id(unit)] = unit
            for key in unit.places:
                if key in views:
                    view = views[key]
                    view.leaving = view.leaving.plus(unit.need)
    for one in candidates:
        one.free, one.leaving = before[one.key]
    step.placed.clear()
    step.placed.update(placed)
    return None


def _places(step: WaitingStep, candidates: list[UpstreamView]) -> list[UpstreamView]:
    if step.step.gang:
        return place_gang(step, candidates, soon_free) or []
    return place_each(step, candidates, soon_free)


def _unit_rank(unit: RunningUnit) -> tuple[bool, float]:
    return unit.within_guarantee, unit.cost


def _cheapest_option(
    step: WaitingStep,
    candidates: list[UpstreamView],
    by_upstream: dict[str, list[RunningUnit]],
    chosen: dict[int, RunningUnit],
) -> list[RunningUnit] | None:
    """Return the cheapest units whose end makes room for one more task."""
    best: list[RunningUnit] | None = None
    best_cost = float("inf")
    for upstream in candidates:
        option = _victims(step, upstream, by_upstream[upstream.key], chosen)
        if option is None:
            continue
        cost = sum(unit.cost + 1.0 for unit in option)
        if cost < best_cost:
            best, best_cost = option, cost
    return best


def _victims(
    step: WaitingStep,
    upstream: UpstreamView,
    units: list[RunningUnit],
    chosen: dict[int, RunningUnit],
) -> list[RunningUnit] | None:
    """Return units whose end lets one more task fit on an upstream."""
    need: Amounts = step.step.need
    room = soon_free(upstream)
    fits_now = room.count(need, len(step.indices))
    picked: list[RunningUnit] = []
    for unit in units:
        if id(unit) in chosen:
            continue
        picked.append(unit)
        room = room.plus(unit.need, unit.places.count(upstream.key))
        if room.count(need, len(step.indices)) > fits_now:
            return picked
    return None


__all__ = ["make_room"]
