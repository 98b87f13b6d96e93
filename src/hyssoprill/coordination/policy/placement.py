"""Finds places for shapes so that upstreams and racks stay whole."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection, Iterable

    from ...protocol.shape import Adjacency, Resources, Shape
    from ...state.pool import Placement, Pool, Upstream

    Available = Callable[[Upstream], Resources]

_ADJACENCY_LEVELS: tuple[Adjacency, ...] = ("upstream", "rack", "availability_zone")


def find_place(
    pool: Pool,
    shape: Shape,
    available: Available,
    *,
    excluded: Collection[str] = (),
    within: Iterable[str] | None = None,
) -> Placement | None:
    """Return the tightest place for a shape, or None.

    A place on one upstream goes before one in a rack, and that before one
    across racks; among equals the one that leaves least room wins.

    Parameters
    ----------
    pool : Pool
        The upstreams; closed ones are passed over.
    shape : Shape
        What is to be placed.
    available : callable
        Resources of an upstream that may be taken.
    excluded : collection of str
        Upstreams that may not be used.
    within : iterable of str, optional
        The only upstreams that may be used.
    """
    need = shape.need
    room: dict[str, int] = {}
    for name in pool.upstreams if within is None else within:
        upstream = pool.upstreams.get(name)
        if upstream is not None and upstream.schedulable and name not in excluded:
            members = available(upstream).fit_count(need)
            if members > 0:
                room[name] = members
    if not room or sum(room.values()) < shape.members:
        return None
    for level in _ADJACENCY_LEVELS[: _ADJACENCY_LEVELS.index(shape.adjacent) + 1]:
        domain = _tightest_domain(pool, level, room, shape.members)
        if domain is not None:
            return _fill(domain, room, shape.members)
    return None


def _tightest_domain(
    pool: Pool, level: Adjacency, room: dict[str, int], members: int
) -> list[Upstream] | None:
    """Return the domain that holds all members with least room left over."""
    if level == "upstream":
        return _tightest_upstream(pool, room, members)
    best: list[Upstream] | None = None
    best_total = 0
    for domain in pool.domains(level):
        total = sum(room.get(upstream.name, 0) for upstream in domain)
        if total >= members and (best is None or total < best_total):
            best, best_total = domain, total
    return best


def _tightest_upstream(
    pool: Pool, room: dict[str, int], members: int
) -> list[Upstream] | None:
    """Return the upstream with least room in the rack with least room."""
    fitting = [name for name, count in room.items() if count >= members]
    if not fitting:
        return None
    rack_room: dict[tuple[str, str], int] = {}
    for name, count in room.items():
        upstream = pool.upstreams[name]
        key = (upstream.availability_zone, upstream.rack)
        rack_room[key] = rack_room.get(key, 0) + count

    def tightness(name: str) -> tuple[int, int]:
        upstream = pool.upstreams[name]
        key = (upstream.availability_zone, upstream.rack)
        return room[name], rack_room[key]

    return [pool.upstreams[min(fitting, key=tightness)]]


def _fill(domain: list[Upstream], room: dict[str, int], members: int) -> Placement:
    """Spread members over as few upstreams and racks of a domain as possible."""
    rack_room: dict[str, int] = {}
    for upstream in domain:
        count = room.get(upstream.name, 0)
        rack_room[upstream.rack] = rack_room.get(upstream.rack, 0) + count
    ordered = sorted(
        (upstream for upstream in domain if room.get(upstream.name, 0) > 0),
        key=lambda one: (-rack_room[one.rack], one.rack, -room[one.name]),
    )
    place = []
    left = members
    for upstream in ordered:
        taken = min(left, room[upstream.name])
        place.append((upstream.name, taken))
        left -= taken
        if left == 0:
            break
    return tuple(place)


def free(upstream: Upstream) -> Resources:
    """Resources for a revocable job."""
    return upstream.free


def free_and_unclaimed(upstream: Upstream) -> Resources:
    """Resources for a job that nobody will revoke."""
    return upstream.free_and_unclaimed


def unclaimed(upstream: Upstream) -> Resources:
    """Resources for a guarantee, in use by revocable jobs or not."""
    return upstream.unclaimed


def capacity(upstream: Upstream) -> Resources:
    """All resources of an upstream."""
    return upstream.capacity


__all__ = ["capacity", "find_place", "free", "free_and_unclaimed", "unclaimed"]
