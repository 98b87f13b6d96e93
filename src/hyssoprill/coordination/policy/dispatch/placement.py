"""Selects upstreams for the tasks of a step by best fit.

Load pattern: tasks that need whole upstreams and gangs that need one rack arrive
among many small tasks. Small tasks go to the upstream with the least capacity left
over, so that whole upstreams and racks stay free for large ones. Work that is costly to
preempt is packed together, so that jobs covered by a guarantee find upstreams that are
cheap to clear. Urgent tasks, whose objective leaves little slack beyond their run time,
go to the fastest upstreams, and work that is costly to lose to those rarely lost.
"""

from __future__ import annotations

from collections import defaultdict
from operator import attrgetter
from typing import TYPE_CHECKING

from ....protocol.job import ZERO_AMOUNTS

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ....protocol.job import ResourceAmounts
    from .model import UpstreamView, WaitingStep

    FreeCapacity = Callable[[UpstreamView], ResourceAmounts]


free_now: FreeCapacity = attrgetter("free")
"""Returns the capacity of an upstream that can be used at once."""


def free_after_stops(upstream: UpstreamView) -> ResourceAmounts:
    """Return the capacity that is free now or once pending stops have finished."""
    if upstream.releasing == ZERO_AMOUNTS:
        return upstream.free
    return upstream.free.plus(upstream.releasing)


def eligible_upstreams(
    step: WaitingStep, upstreams: Iterable[UpstreamView]
) -> list[UpstreamView]:
    """Return the upstreams that match a step's group, label and interference rules."""
    label, group = step.step.label, step.job.group
    fills, serves = step.step.fills, step.step.target_ms > 0
    return [
        one
        for one in upstreams
        if one.group == group
        and (not label or label in one.labels)
        and not (fills and one.has_serving_tasks)
        and not (serves and one.has_filling_tasks)
    ]


def with_room(
    need: ResourceAmounts,
    upstreams: Iterable[UpstreamView],
    free_capacity: FreeCapacity = free_now,
) -> list[tuple[UpstreamView, ResourceAmounts]]:
    """Return the upstreams with room for a task, each with its free capacity.

    As `covers` tells, without a call for each of the many that are full.
    """
    accelerators, millicores, memory_mb = need
    found = []
    for one in upstreams:
        free = free_capacity(one)
        if free[0] >= accelerators and free[1] >= millicores and free[2] >= memory_mb:
            found.append((one, free))
    return found


def place_gang(
    step: WaitingStep,
    candidates: list[UpstreamView],
    free_capacity: FreeCapacity,
    *,
    spread: bool = False,
) -> list[UpstreamView] | None:
    """Return an upstream for each task of a gang, or None if not all fit.

    A rack-sensitive gang gets the rack with the fewest tasks to spare. It is placed on
    several racks only if `spread` allows it or no rack could hold it even when empty.
    """
    wanted = len(step.indices)
    counts = count_fits(step, candidates, free_capacity)
    if sum(counts.values()) < wanted:
        return None
    if step.step.rack_sensitive:
        placed_on = _best_fit_rack(step, candidates, counts, wanted, free_capacity)
        if placed_on is not None:
            return placed_on
        if not spread and fits_empty_rack(step, candidates):
            return None
    return _assign(step, candidates, counts, wanted, free_capacity)


def place_tasks(
    step: WaitingStep, candidates: list[UpstreamView], free_capacity: FreeCapacity
) -> list[UpstreamView]:
    """Return upstreams for as many waiting tasks as fit, in the order of `indices`."""
    counts = count_fits(step, candidates, free_capacity)
    wanted = min(len(step.indices), sum(counts.values()))
    return _assign(step, candidates, counts, wanted, free_capacity)


def fits_empty_rack(step: WaitingStep, candidates: list[UpstreamView]) -> bool:
    """Return whether some rack, if empty, could hold all waiting tasks of a step."""
    totals: dict[str, int] = defaultdict(int)
    for upstream in candidates:
        fits = upstream.capacity.fit_count(step.step.need, len(step.indices))
        totals[upstream.rack] += _cap_per_upstream(step, upstream, fits)
    return any(total >= len(step.indices) for total in totals.values())


def reserve(
    step: WaitingStep, upstream: UpstreamView, free_capacity: FreeCapacity
) -> None:
    """Account for one task of a step on an upstream.

    With `free_after_stops`, what exceeds the free capacity is taken from the capacity
    that pending stops release. Free capacity that is negative, as the capacity of the
    upstream has shrunk, stays so: it is exceeded until those stops have finished.
    """
    need = step.step.need
    upstream.hosts_costly_work |= step.is_costly_to_preempt
    upstream.has_serving_tasks |= step.step.target_ms > 0
    upstream.has_filling_tasks |= step.step.fills
    before = upstream.free
    upstream.free = before.minus(need)
    if free_capacity is free_after_stops:
        deficit = [
            max(needed - max(free, 0), 0)
            for needed, free in zip(need, before, strict=True)
        ]
        upstream.releasing = upstream.releasing.minus(type(need)(*deficit))
        upstream.free = upstream.free.plus(type(need)(*deficit))
    step.tasks_per_upstream[upstream.key] = (
        step.tasks_per_upstream.get(upstream.key, 0) + 1
    )


def _cap_per_upstream(step: WaitingStep, upstream: UpstreamView, fits: int) -> int:
    limit = step.step.max_per_upstream
    if limit:
        fits = min(fits, limit - step.tasks_per_upstream.get(upstream.key, 0))
    return max(fits, 0)


def count_fits(
    step: WaitingStep, candidates: list[UpstreamView], free_capacity: FreeCapacity
) -> dict[str, int]:
    """Return how many waiting tasks fit on each upstream that fits at least one."""
    need, wanted = step.step.need, len(step.indices)
    counts = {}
    for upstream, free in with_room(need, candidates, free_capacity):
        fits = _cap_per_upstream(step, upstream, free.fit_count(need, wanted))
        if fits:
            counts[upstream.key] = fits
    return counts


def _best_fit_rack(
    step: WaitingStep,
    candidates: list[UpstreamView],
    counts: dict[str, int],
    wanted: int,
    free_capacity: FreeCapacity,
) -> list[UpstreamView] | None:
    """Place all tasks on the rack with the fewest failures, then the tightest fit."""
    racks: dict[str, list[UpstreamView]] = defaultdict(list)
    for upstream in candidates:
        if upstream.key in counts:
            racks[upstream.rack].append(upstream)
    best: list[UpstreamView] | None = None
    best_order: tuple[int, int, float] = (0, 0, 0.0)
    is_costly = step.is_costly_to_preempt
    for members in racks.values():
        total = sum(counts[one.key] for one in members)
        if total < wanted:
            continue
        order = (
            max(one.penalty for one in members),
            total,
            max(_loss_chance(step, one) for one in members) if is_costly else 0.0,
        )
        if best is None or order < best_order:
            best, best_order = members, order
    return None if best is None else _assign(step, best, counts, wanted, free_capacity)


def _loss_chance(step: WaitingStep, upstream: UpstreamView) -> float:
    """Return the chance to lose an upstream during a step, in tenths."""
    return round(min(upstream.loss_rate * step.expected_s, 1.0), 1)


def _assign(
    step: WaitingStep,
    candidates: list[UpstreamView],
    counts: dict[str, int],
    wanted: int,
    free_capacity: FreeCapacity,
) -> list[UpstreamView]:
    """Return upstreams for `wanted` tasks, filling the preferred upstreams first."""
    data_rack, need = step.step.data_rack, step.step.need
    is_urgent, is_costly = step.is_urgent, step.is_costly_to_preempt

    def preference(
        one: UpstreamView,
    ) -> tuple[bool, bool, bool, int, float, bool, int, int, float, str]:
        free = free_capacity(one)
        return (
            one.key in step.deprioritized_upstreams,
            step.is_suspect and not one.is_idle,
            bool(data_rack) and one.rack != data_rack,
            one.penalty,
            -round(one.speed, 1) if is_urgent else 0.0,
            one.hosts_costly_work != is_costly,
            free.accelerators - need.accelerators,
            free.millicores - need.millicores,
            _loss_chance(step, one) if is_costly and one.loss_rate else 0.0,
            one.key,
        )

    placed_on: list[UpstreamView] = []
    fitting = [one for one in candidates if counts.get(one.key)]
    for upstream in sorted(fitting, key=preference):
        count = min(counts[upstream.key], wanted - len(placed_on))
        placed_on += [upstream] * count
        if len(placed_on) == wanted:
            break
    return placed_on


__all__ = [
    "count_fits",
    "eligible_upstreams",
    "fits_empty_rack",
    "free_after_stops",
    "free_now",
    "place_gang",
    "place_tasks",
    "reserve",
    "with_room",
]
