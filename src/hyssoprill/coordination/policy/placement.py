"""Best-fit placement of shapes, which leaves whole upstreams and racks free."""

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
    """Return the best-fitting place for a shape, or None.

    A place on one upstream is preferred to one within a rack, and that to one across
    racks. Among domains of one level, the one with the least available capacity,
    counted in members that fit, wins.

    Parameters
    ----------
    pool : Pool
        The upstreams; closed ones are skipped.
    shape : Shape
        The shape to place.
    available : callable
        Resources of an upstream that may be taken.
    excluded : collection of str
        Upstreams to skip.
    within : iterable of str, optional
        The only upstreams that may be used.
    """
    need = shape.need
    fit_counts: dict[str, int] = {}
    for name in pool.upstreams if within is None else within:
        upstream = pool.upstreams.get(name)
        if upstream is not None and upstream.schedulable and name not in excluded:
            members = available(upstream).fit_count(need)
            if members > 0:
                fit_counts[name] = members
    if not fit_counts or sum(fit_counts.values()) < shape.members:
        return None
    for level in _ADJACENCY_LEVELS[: _ADJACENCY_LEVELS.index(shape.adjacent) + 1]:
        domain = _tightest_domain(pool, level, fit_counts, shape.members)
        if domain is not None:
            return _fill(domain, fit_counts, shape.members)
    return None


def _tightest_domain(
    pool: Pool, level: Adjacency, fit_counts: dict[str, int], members: int
) -> list[Upstream] | None:
    """Return the domain with the least capacity that holds all members, or None."""
    if level == "upstream":
        return _tightest_upstream(pool, fit_counts, members)
    best: list[Upstream] | None = None
    best_total = 0
    for domain in pool.domains(level):
        total = sum(fit_counts.get(upstream.name, 0) for upstream in domain)
        if total >= members and (best is None or total < best_total):
            best, best_total = domain, total
    return best


def _tightest_upstream(
    pool: Pool, fit_counts: dict[str, int], members: int
) -> list[Upstream] | None:
    """Return the upstream with the least capacity that holds all members, or None.

    Among equals, the one in the rack with the least capacity wins.
    """
    candidates = [name for name, count in fit_counts.items() if count >= members]
    if not candidates:
        return None
    rack_counts: dict[tuple[str, str], int] = {}
    for name, count in fit_counts.items():
        upstream = pool.upstreams[name]
        key = (upstream.availability_zone, upstream.rack)
        rack_counts[key] = rack_counts.get(key, 0) + count

    def tightness(name: str) -> tuple[int, int]:
        upstream = pool.upstreams[name]
        key = (upstream.availability_zone, upstream.rack)
        return fit_counts[name], rack_counts[key]

    return [pool.upstreams[min(candidates, key=tightness)]]


def _fill(
    domain: list[Upstream], fit_counts: dict[str, int], members: int
) -> Placement:
    """Fill the largest racks and upstreams of a domain first, to use few of them."""
    rack_counts: dict[str, int] = {}
    for upstream in domain:
        count = fit_counts.get(upstream.name, 0)
        rack_counts[upstream.rack] = rack_counts.get(upstream.rack, 0) + count
    ordered = sorted(
        (upstream for upstream in domain if fit_counts.get(upstream.name, 0) > 0),
        key=lambda one: (-rack_counts[one.rack], one.rack, -fit_counts[one.name]),
    )
    place = []
    left = members
    for upstream in ordered:
        taken = min(left, fit_counts[upstream.name])
        place.append((upstream.name, taken))
        left -= taken
        if left == 0:
            break
    return tuple(place)


def free(upstream: Upstream) -> Resources:
    """Return the resources that a revocable job may take."""
    return upstream.free


def free_and_unclaimed(upstream: Upstream) -> Resources:
    """Return the resources that a non-revocable job may take."""
    return upstream.free_and_unclaimed


def unclaimed(upstream: Upstream) -> Resources:
    """Return the resources that a cell may claim, also if revocable jobs use them."""
    return upstream.unclaimed


def total_capacity(upstream: Upstream) -> Resources:
    """Return all resources of an upstream, used or not."""
    return upstream.capacity


__all__ = ["find_place", "free", "free_and_unclaimed", "total_capacity", "unclaimed"]
