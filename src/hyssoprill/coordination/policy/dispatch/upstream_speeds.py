"""Selects upstreams for a step by when its last task is expected to end there.

Load pattern: a part of the upstreams runs at half the speed of the others. A gang runs
as fast as its slowest member, and a wide step ends with its slowest task, so that one
slow upstream among a dozen doubles the time for which the others are held. Among
upstreams of about equal speed a step is placed by best fit, as without speeds.
"""

from __future__ import annotations

from collections import defaultdict
from operator import attrgetter
from typing import TYPE_CHECKING

from .placement import (
    count_fits,
    fits_empty_rack,
    free_after_stops,
    free_now,
    place_tasks,
    reserve,
)

if TYPE_CHECKING:
    from .model import RunningUnit, UpstreamView, WaitingStep

EQUAL_SPEED_SHARE = 0.85
"""Upstreams are about equally fast from this share of the speed of the fastest set."""
WORTH_WAITING_SHARE = 0.8
"""A gang waits for faster upstreams if it then ends within this share of the time."""
WAIT_ERROR_FACTOR = 1.3
"""Runs are assumed to take up to this multiple of their estimated remaining time."""
MAX_WAIT_SHARE = 0.5
"""Longest wait of a gang for faster upstreams, as a multiple of its run time."""


def select_by_speed(
    step: WaitingStep, candidates: list[UpstreamView], *, spread: bool = False
) -> list[UpstreamView]:
    """Return the candidates on which all tasks of a step end earliest.

    All candidates, if not all tasks fit, or not beside the step's data. Upstreams with
    recent failures, or on which the job failed, are left to the case that the others do
    not suffice.

    Parameters
    ----------
    spread : bool
        Whether a rack-sensitive gang may run on several racks.
    """
    if step.is_suspect:
        return candidates
    counts = count_fits(step, candidates, free_now)
    rack = step.step.data_rack
    fitting = [
        one
        for one in candidates
        if one.key in counts and (not rack or one.rack == rack)
    ]
    sure = [one for one in fitting if _is_sure(step, one)]
    domains = [_racks(sure), _racks(fitting)] if _needs_rack(step) else []
    if not domains or spread or not fits_empty_rack(step, candidates):
        domains += [[sure], [fitting]]
    for one in domains:
        chosen = _fastest_set(one, counts, len(step.indices))
        if chosen:
            return chosen
    return candidates


def _needs_rack(step: WaitingStep) -> bool:
    return step.step.gang and step.step.rack_sensitive


def _is_sure(step: WaitingStep, upstream: UpstreamView) -> bool:
    return not upstream.penalty and upstream.key not in step.deprioritized_upstreams


def _racks(upstreams: list[UpstreamView]) -> list[list[UpstreamView]]:
    racks: dict[str, list[UpstreamView]] = defaultdict(list)
    for one in upstreams:
        racks[one.rack].append(one)
    return list(racks.values())


def _fastest_set(
    domains: list[list[UpstreamView]], counts: dict[str, int], wanted: int
) -> list[UpstreamView]:
    """Return the upstreams of the domains where all tasks fit at about full speed.

    None of them is slower than `EQUAL_SPEED_SHARE` of the fastest set that fits.
    """
    speeds = [_slowest_speed(one, counts, wanted) for one in domains]
    least = max(speeds, default=0.0) * EQUAL_SPEED_SHARE
    return [
        one
        for domain, speed in zip(domains, speeds, strict=True)
        if speed and speed >= least
        for one in domain
        if one.speed >= least
    ]


def _slowest_speed(
    upstreams: list[UpstreamView], counts: dict[str, int], wanted: int
) -> float:
    """Return the speed of the slowest member of the fastest set that fits, or 0."""
    fits = 0
    for one in sorted(upstreams, key=lambda one: -one.speed):
        fits += counts.get(one.key, 0)
        if fits >= wanted:
            return one.speed
    return 0.0


def starts_on_slower(
    step: WaitingStep, selected: list[UpstreamView], candidates: list[UpstreamView]
) -> bool:
    """Return whether a gang would start now, on upstreams slower than others."""
    if not step.step.gang or step.within_guarantee or not selected:
        return False
    least = max(one.speed for one in candidates) * WORTH_WAITING_SHARE
    return 0.0 < _speed_now(step, selected) < least


def _speed_now(step: WaitingStep, selected: list[UpstreamView]) -> float:
    """Return the speed at which a gang would start now, 0 if it does not fit."""
    counts = count_fits(step, selected, free_now)
    domains = _racks(selected) if _needs_rack(step) else [selected]
    speeds = [_slowest_speed(one, counts, len(step.indices)) for one in domains]
    return max(speeds, default=0.0)


def faster_to_wait_for(
    step: WaitingStep,
    candidates: list[UpstreamView],
    selected: list[UpstreamView],
    units: list[RunningUnit],
) -> list[UpstreamView]:
    """Return the faster upstreams for which a gang waits, as it then ends earlier.

    Waiting counts by the expected remaining time of what runs there. Empty if the gang
    starts now; a gang covered by a guarantee does.

    Parameters
    ----------
    selected : list of UpstreamView
        Upstreams on which it could start now.
    units : list of RunningUnit
        Running units that are not being stopped.
    """
    max_wait_s = step.expected_s * MAX_WAIT_SHARE - step.waited_s
    if max_wait_s <= 0 or not step.step.gang or step.within_guarantee:
        return []
    now = _speed_now(step, selected)
    faster = [
        one
        for one in candidates
        if one.speed * EQUAL_SPEED_SHARE > now and _is_sure(step, one)
    ]
    if not now or not faster:
        return []
    soon = [one for one in units if one.remaining_s * WAIT_ERROR_FACTOR <= max_wait_s]
    soon.sort(key=attrgetter("remaining_s"))
    found: list[UpstreamView] = []
    best_s = step.expected_s / now * WORTH_WAITING_SHARE
    for domain in _racks(faster) if _needs_rack(step) else [faster]:
        wait_s = _room_after_s(step, domain, soon)
        run_s = step.expected_s / min(one.speed for one in domain)
        if wait_s * WAIT_ERROR_FACTOR + run_s < best_s:
            found, best_s = domain, wait_s * WAIT_ERROR_FACTOR + run_s
    return found


def _room_after_s(
    step: WaitingStep, upstreams: list[UpstreamView], units: list[RunningUnit]
) -> float:
    """Return when units, soonest first, have left room for all tasks of a step.

    Infinite, if they leave too little.
    """
    need, wanted = step.step.need, len(step.indices)
    limit = step.step.max_per_upstream or wanted
    free = {one.key: free_after_stops(one) for one in upstreams}
    fits = {key: min(one.fit_count(need, wanted), limit) for key, one in free.items()}
    total = sum(fits.values())
    if total >= wanted:
        return 0.0
    for unit in units:
        for key in unit.upstreams:
            if key not in free:
                continue
            free[key] = free[key].plus(unit.need)
            count = min(free[key].fit_count(need, wanted), limit)
            total += count - fits[key]
            fits[key] = count
        if total >= wanted:
            return unit.remaining_s
    return float("inf")


def hold_room(step: WaitingStep, upstreams: list[UpstreamView]) -> None:
    """Keep later steps of the round off what is free for a gang that waits."""
    for one in place_tasks(step, upstreams, free_after_stops):
        reserve(step, one, free_after_stops)


__all__ = [
    "faster_to_wait_for",
    "hold_room",
    "select_by_speed",
    "starts_on_slower",
]
