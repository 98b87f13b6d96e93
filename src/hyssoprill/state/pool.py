"""The pool of upstreams, with the resources used, claimed and reserved on each.

`used` is what running jobs occupy, `claimed` what is set aside for guarantees and for
jobs that may not be revoked, `reserved` what is kept free for a job whose start waits
until other jobs have stopped.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ..protocol.shape import Resources

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from ..protocol.shape import Adjacency

Placement = tuple[tuple[str, int], ...]
"""Where the members of a job run: pairs of upstream name and number of members."""

ZERO_RESOURCES = Resources()


class Upstream:
    """One upstream with its capacity and how much of it is taken.

    Attributes
    ----------
    used : Resources
        What running jobs occupy.
    claimed : Resources
        What is set aside for guarantees and for jobs that may not be revoked.
    reserved : Resources
        What is kept free for pending starts.
    schedulable : bool
        Whether new starts may be placed here.
    free : Resources
        Capacity that is neither used nor reserved.
    unclaimed : Resources
        Capacity that is not claimed.
    free_and_unclaimed : Resources
        The smaller of `free` and `unclaimed` for each resource.
    jobs : dict
        Number of members of each running job here, by job id.
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
        """Add `times` times an amount to `used`; negative to subtract."""
        self.used = self.used.plus(amount, times)
        self._refresh()

    def add_reserved(self, amount: Resources, times: int) -> None:
        """Add `times` times an amount to `reserved`; negative to subtract."""
        self.reserved = self.reserved.plus(amount, times)
        self._refresh()

    def add_claimed(self, amount: Resources, times: int) -> None:
        """Add `times` times an amount to `claimed`; negative to subtract."""
        self.claimed = self.claimed.plus(amount, times)
        self._refresh()

    def _refresh(self) -> None:
        """Recompute the derived amounts, which are read far more often than changed."""
        self.free = self.capacity.minus(self.used).minus(self.reserved)
        self.unclaimed = self.capacity.minus(self.claimed)
        self.free_and_unclaimed = self.free.minimum(self.unclaimed)


class Pool:
    """All upstreams, by name, rack and availability zone.

    Attributes
    ----------
    upstreams : dict
        Upstreams by name.
    generation : int
        Rises with each change after which a search for room that failed is worth
        repeating; the scheduler raises it too.
    """

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
        """Yield the topology domains of a level: upstreams, racks or zones.

        Members that run in the same domain are adjacent at that level.
        """
        if adjacent == "upstream":
            yield from ([one] for one in self.upstreams.values())
        elif adjacent == "rack":
            yield from self._racks.values()
        else:
            yield from self._zones.values()

    def domain_of(self, upstream: Upstream, adjacent: Adjacency) -> list[Upstream]:
        """Return the topology domain that an upstream belongs to, with itself."""
        if adjacent == "upstream":
            return [upstream]
        if adjacent == "rack":
            return self._racks[upstream.availability_zone, upstream.rack]
        return self._zones[upstream.availability_zone]

    def upstreams_in_zone(self, name: str) -> list[Upstream]:
        """Return the upstreams of an availability zone."""
        return self._zones.get(name, [])

    def allocate(self, placement: Placement, need: Resources, job: str) -> None:
        """Count a job's resources as used at its placement."""
        for name, members in placement:
            upstream = self.upstreams.get(name)
            if upstream is not None:
                upstream.add_used(need, members)
                upstream.jobs[job] = upstream.jobs.get(job, 0) + members

    def release(self, placement: Placement, need: Resources, job: str) -> None:
        """Count a job's resources as free again."""
        self.generation += 1
        for name, members in placement:
            upstream = self.upstreams.get(name)
            if upstream is not None and job in upstream.jobs:
                upstream.add_used(need, -members)
                del upstream.jobs[job]

    def claim(self, placement: Placement, need: Resources, sign: int = 1) -> None:
        """Claim the resources of a placement, or end the claim with `sign` -1."""
        for name, members in placement:
            upstream = self.upstreams.get(name)
            if upstream is not None:
                upstream.add_claimed(need, sign * members)

    def reserve(self, placement: Placement, need: Resources, sign: int = 1) -> None:
        """Reserve a placement for a pending start, or release it with `sign` -1."""
        if sign < 0:
            self.generation += 1
        for name, members in placement:
            upstream = self.upstreams.get(name)
            if upstream is not None:
                upstream.add_reserved(need, sign * members)


def build_placement(names: Iterable[str]) -> Placement:
    """Build a placement from the upstream of each member."""
    counts: dict[str, int] = {}
    for name in names:
        counts[name] = counts.get(name, 0) + 1
    return tuple(counts.items())


def member_upstreams(placement: Placement) -> list[str]:
    """Return the upstream of each member of a placement."""
    return [name for name, members in placement for _ in range(members)]


__all__ = [
    "ZERO_RESOURCES",
    "Placement",
    "Pool",
    "Upstream",
    "build_placement",
    "member_upstreams",
]
