"""Shapes of tasks and gangs, and the vector of resources they need."""

from __future__ import annotations

from typing import Annotated, Literal, NamedTuple

from msgspec import Meta, Struct

Adjacency = Literal["upstream", "rack", "availability_zone"]
MAX_MEMBERS = 1024


class Resources(NamedTuple):
    """Amounts of each resource: slots, accelerators, cores, memory in GB."""

    slots: int = 0
    accelerators: int = 0
    cores: int = 0
    memory_gb: int = 0

    def plus(self, other: Resources, times: int = 1) -> Resources:
        """Return the sum with `times` times another vector."""
        return Resources(
            self[0] + other[0] * times,
            self[1] + other[1] * times,
            self[2] + other[2] * times,
            self[3] + other[3] * times,
        )

    def minus(self, other: Resources, times: int = 1) -> Resources:
        """Return the difference from `times` times another vector."""
        return self.plus(other, -times)

    def minimum(self, other: Resources) -> Resources:
        """Return the smaller amount of each resource."""
        return Resources(
            min(self[0], other[0]),
            min(self[1], other[1]),
            min(self[2], other[2]),
            min(self[3], other[3]),
        )

    def fit_count(self, need: Resources) -> int:
        """Return how many times `need` fits into this vector."""
        slots, accelerators, cores, memory_gb = need
        best = MAX_MEMBERS
        if slots:
            best = self[0] // slots
        if accelerators:
            best = min(best, self[1] // accelerators)
        if cores:
            best = min(best, self[2] // cores)
        if memory_gb:
            best = min(best, self[3] // memory_gb)
        return max(best, 0)

    def times_to_cover(self, need: Resources, count: int) -> int | None:
        """Return how many of this vector hold `count` of `need`; None if none can."""
        times = 0
        for have, want in zip(self, need, strict=True):
            if want > 0:
                if have <= 0:
                    return None
                times = max(times, -(-want * count // have))
        return times


class Shape(Struct, frozen=True, forbid_unknown_fields=True):
    """What a task or gang needs, and how close its members must be.

    Each member occupies one slot of an upstream; members of a gang may share
    an upstream.
    """

    members: Annotated[int, Meta(ge=1, le=MAX_MEMBERS)] = 1
    accelerators: Annotated[int, Meta(ge=0, le=1024)] = 0
    adjacent: Adjacency = "availability_zone"
    cores: Annotated[int, Meta(ge=0, le=4096)] = 0
    memory_gb: Annotated[int, Meta(ge=0, le=65536)] = 0

    @property
    def need(self) -> Resources:
        """Resources of one member."""
        return Resources(1, self.accelerators, self.cores, self.memory_gb)

    @property
    def total_accelerators(self) -> int:
        """Accelerators of all members together."""
        return self.members * self.accelerators


__all__ = ["Adjacency", "Resources", "Shape"]
