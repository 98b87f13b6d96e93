"""The pool of upstreams, with what is used, claimed and blocked on each.

`used` is what running jobs occupy, `claimed` what guarantees and irrevocable jobs
may count on, `blocked` what is kept free for a start that waits for a stop.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ..protocol.shape import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..protocol.shape import Adjacency

Placement = tuple[tuple[str, int], ...]
"""Members by upstream: pairs of upstream name and number of members."""

ZERO_RESOURCES = Resources()


class Upstream:
    """One upstream and its accounts.

    Attributes
    ----------
    open : bool
        Whether new starts may be placed here.
    free : Resources
        What a job may take now.
    unclaimed : Resources
        What no guarantee and no irrevocable job counts on.
    """

    __slots__ = (
        "availability_zone",
        "capacity",
        "claimed",
        "free",
        "free_and_unclaimed",
        "jobs",
        "name",
        "rack",
        "reserved",
        "schedulable",
        "unclaimed",
        "used",
    )

    def __init__(
        self, name: str, availability_zone: str, rack: str, capacity: Resources
    ) -> None:
        self.name = name
        self.availability_zone = availability_zone
        self.rack = rack
        self.capacity = capacity
        self.used = ZERO_RESOURCES
        self.claimed = ZERO_RESOURCES
        self.reserved = ZERO_RESOURCES
        self.schedulable = True
        self._refresh()
        self.jobs: dict[str, int] = {}

    def add_used(self, amount: Resources, times: int) -> None:
        """Add to what running jobs occupy."""
        self.used = self.used.plus(amount, times)
        self._refresh()

    def add_reserved(self, amount: Resources, times: int) -> None:
        """Add to what is kept free for a start to come."""
        self.reserved = self.reserved.plus(amount, times)
        self._refresh()

    def add_claimed(self, amount: Resources, times: int) -> None:
        """Add to what guarantees and irrevocable jobs count on."""
        self.claimed = self.claimed.plus(amount, times)
        self._refresh()

    def _refresh(self) -> None:
        """Derive what is free and unclaimed, as both are read far more often."""
        self.free = self.capacity.minus(self.used).minus(self.reserved)
        self.unclaimed = self.capacity.minus(self.claimed)
        self.free_and_unclaimed = self.free.minimum(self.unclaimed)


class Pool:
    """All upstreams, by name and by domain of adjacency."""

    def __init__(self) -> None:
        self.upstreams: dict[str, Upstream] = {}
        self.generation = 0
        self._racks: dict[tuple[str, str], list[Upstream]] = defaultdict(list)
        self._zones: dict[str, list[Upstream]] = defaultdict(list)

    def add(self, upstream: Upstream) -> None:
        """Add an upstream."""
        self.upstreams[upstream.name] = upstream
        self._racks[upstream.availability_zone, upstream.rack].append(upstream)
        self._zones[upstream.availability_zone].append(upstream)
        self.generation += 1

    def remove(self, name: str) -> None:
        """Remove an upstream."""
        upstream = self.upstreams.pop(name)
        self._racks[upstream.availability_zone, upstream.rack].remove(upstream)
        self._zones[upstream.availability_zone].remove(upstream)
        self.generation += 1

    def domains(self, adjacent: Adjacency) -> Iterator[list[Upstream]]:
        """Yield the groups of upstreams within which members are adjacent."""
        if adjacent == "upstream":
            yield from ([one] for one in self.upstreams.values())
        elif adjacent == "rack":
            yield from self._racks.values()
        else:
            yield from self._zones.values()

    def domain_of(self, upstream: Upstream, adjacent: Adjacency) -> list[Upstream]:
        """Return the upstreams that are adjacent to one."""
        if adjacent == "upstream":
            return [upstream]
        if adjacent == "rack":
            return self._racks[upstream.availability_zone, upstream.rack]
        return self._zones[upstream.availability_zone]

    def upstreams_in_zone(self, name: str) -> list[Upstream]:
        """Return the upstreams of an availability zone."""
        return self._zones.get(name, [])

    def allocate(self, place: Placement, need: Resources, job: str) -> None:
        """Account for a job that occupies a place."""
        for name, members in place:
            upstream = self.upstreams.get(name)
            if upstream is not None:
                upstream.add_used(need, members)
                upstream.jobs[job] = upstream.jobs.get(job, 0) + members

    def release(self, place: Placement, need: Resources, job: str) -> None:
        """Account for the end of a job."""
        self.generation += 1
        for name, members in place:
            upstream = self.upstreams.get(name)
            if upstream is not None and job in upstream.jobs:
                upstream.add_used(need, -members)
                del upstream.jobs[job]

    def claim(self, place: Placement, need: Resources, sign: int = 1) -> None:
        """Add a place to the claims, or take it back with `sign` -1."""
        for name, members in place:
            upstream = self.upstreams.get(name)
            if upstream is not None:
                upstream.add_claimed(need, sign * members)

    def reserve(self, place: Placement, need: Resources, sign: int = 1) -> None:
        """Keep a place free for a start to come, or give up with `sign` -1."""
        if sign < 0:
            self.generation += 1
        for name, members in place:
            upstream = self.upstreams.get(name)
            if upstream is not None:
                upstream.add_reserved(need, sign * members)


def build_placement(names: Iterable[str]) -> Placement:
    """Build a place from the upstream of each member."""
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return tuple(counts.items())


def member_upstreams(place: Placement) -> list[str]:
    """Return the upstream of each member."""
    return [name for name, members in place for _ in range(members)]


__all__ = [
    "ZERO_RESOURCES",
    "Placement",
    "Pool",
    "Upstream",
    "build_placement",
    "member_upstreams",
]
