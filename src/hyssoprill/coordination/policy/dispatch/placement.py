"""Finds upstreams for the tasks of a step.

Load pattern: tasks that need whole upstreams and gangs that need one rack arrive
between many small ones. Small tasks go where least is left over, so that whole
upstreams and racks stay free for the large. Work that would be lost at a stop is kept
together, so that guaranteed jobs find places that are cheap to vacate. Urgent tasks,
whose objective is little more than their work, go to the fastest upstreams.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ....protocol.job import ResourceAmounts, Step
    from .model import UpstreamView, WaitingStep

    Room = Callable[[UpstreamView], ResourceAmounts]


def free_now(upstream: UpstreamView) -> ResourceAmounts:
    """Room that can be used at once."""
    return upstream.free


def free_after_stops(upstream: UpstreamView) -> ResourceAmounts:
    """Room that is free now or when running stops are done."""
    return upstream.free.plus(upstream.leaving)


def eligible_upstreams(
    step: WaitingStep, upstreams: Iterable[UpstreamView]
) -> list[UpstreamView]:
    """Return the upstreams on which tasks of a step may run."""
    label, group = step.step.label, step.job.group
    return [
        one
        for one in upstreams
        if one.group == group
        and (not label or label in one.labels)
        and not _would_disturb(step.step, one)
    ]


def _would_disturb(step: Step, upstream: UpstreamView) -> bool:
    """Tell whether filling and serving tasks would come together."""
    return (step.fills and upstream.serves) or (step.target_ms > 0 and upstream.fills)


def place_gang(
    step: WaitingStep,
    candidates: list[UpstreamView],
    room: Room,
    *,
    spread: bool = False,
) -> list[UpstreamView] | None:
    """Return an upstream for each task of a gang, or None where not all fit.

    A gang that is slower on several racks gets the rack with least room to spare,
    and several racks only where `spread` allows it or no rack could hold it.
    """
    wanted = len(step.indices)
    if step.step.rack_sensitive:
        found = _tightest_rack(step, candidates, room, wanted)
        if found is not None:
            return found
        if not spread and one_rack_is_possible(step, candidates):
            return None
    counts = _counts(step, candidates, room)
    if sum(counts.values()) < wanted:
        return None
    return _fill(step, candidates, counts, wanted, room)


def place_tasks(
    step: WaitingStep, candidates: list[UpstreamView], room: Room
) -> list[UpstreamView]:
    """Return upstreams for as many tasks as fit, in the order of their indices."""
    counts = _counts(step, candidates, room)
    wanted = min(len(step.indices), sum(counts.values()))
    return _fill(step, candidates, counts, wanted, room)


def one_rack_is_possible(step: WaitingStep, candidates: list[UpstreamView]) -> bool:
    """Tell whether an empty rack could hold all tasks of a step."""
    totals: dict[str, int] = defaultdict(int)
    for upstream in candidates:
        fits = upstream.capacity.fit_count(step.step.need, len(step.indices))
        totals[upstream.rack] += _capped(step, upstream, fits)
    return any(total >= len(step.indices) for total in totals.values())


def reserve(step: WaitingStep, upstream: UpstreamView, room: Room) -> None:
    """Account for one task of a step on an upstream."""
    need = step.step.need
    upstream.holds_dear_work |= step.is_dear
    upstream.serves |= step.step.target_ms > 0
    upstream.fills |= step.step.fills
    upstream.free = upstream.free.minus(need)
    if room is free_after_stops:
        short = [max(-amount, 0) for amount in upstream.free]
        upstream.leaving = upstream.leaving.minus(type(need)(*short))
        upstream.free = upstream.free.plus(type(need)(*short))
    step.placed[upstream.key] = step.placed.get(upstream.key, 0) + 1


def _capped(step: WaitingStep, upstream: UpstreamView, fits: int) -> int:
    most = step.step.max_per_upstream
    if most:
        fits = min(fits, most - step.placed.get(upstream.key, 0))
    return max(fits, 0)


def fits_on(step: WaitingStep, upstream: UpstreamView, room: Room) -> int:
    """Return how many of a step's waiting tasks fit on an upstream."""
    count = room(upstream).fit_count(step.step.need, len(step.indices))
    return _capped(step, upstream, count)


def _counts(
    step: WaitingStep, candidates: list[UpstreamView], room: Room
) -> dict[str, int]:
    """Return how many tasks fit on each upstream."""
    counts = {}
    for upstream in candidates:
        fits = fits_on(step, upstream, room)
        if fits:
            counts[upstream.key] = fits
    return counts


def _tightest_rack(
    step: WaitingStep, candidates: list[UpstreamView], room: Room, wanted: int
) -> list[UpstreamView] | None:
    counts = _counts(step, candidates, room)
    racks: dict[str, list[UpstreamView]] = defaultdict(list)
    for upstream in candidates:
        if upstream.key in counts:
            racks[upstream.rack].append(upstream)
    best: list[UpstreamView] | None = None
    best_rank: tuple[int, int] = (0, 0)
    for members in racks.values():
        total = sum(counts[one.key] for one in members)
        if total < wanted:
            continue
        rank = (max(one.penalty for one in members), total)
        if best is None or rank < best_rank:
            best, best_rank = members, rank
    return None if best is None else _fill(step, best, counts, wanted, room)


def _fill(
    step: WaitingStep,
    candidates: list[UpstreamView],
    counts: dict[str, int],
    wanted: int,
    room: Room,
) -> list[UpstreamView]:
    """Spread tasks over upstreams, best ones first."""
    data_rack = step.step.data_rack

    def rank(
        one: UpstreamView,
    ) -> tuple[bool, bool, int, float, bool, int, int, str]:
        left = room(one).minus(step.step.need)
        return (
            one.key in step.avoid,
            bool(data_rack) and one.rack != data_rack,
            one.penalty,
            -round(one.speed, 1) if step.is_urgent else 0.0,
            one.holds_dear_work != step.is_dear,
            left.accelerators,
            left.millicores,
            one.key,
        )

    places: list[UpstreamView] = []
    for upstream in sorted(
        (one for one in candidates if counts.get(one.key)), key=rank
    ):
        taken = min(counts[upstream.key], wanted - len(places))
        places += [upstream] * taken
        if len(places) == wanted:
            break
    return places


__all__ = [
    "fits_on",
    "free_now",
    "one_rack_is_possible",
    "place_tasks",
    "place_gang",
    "free_after_stops",
    "reserve",
    "eligible_upstreams",
]
