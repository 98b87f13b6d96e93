"""Sizes of upstreams that were ever seen, so that what can never fit is refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from ..protocol.job import ZERO_AMOUNTS, ResourceAmounts

if TYPE_CHECKING:
    from collections.abc import Iterable


class KnownCapacities(Struct, frozen=True):
    """Largest capacities seen, by group of upstreams; none covers another.

    Sizes are never taken back: an upstream that is away may return.
    """

    largest: dict[str, list[ResourceAmounts]] = {}

    def may_fit(self, group: str, need: ResourceAmounts) -> bool:
        """Tell whether a task fits an upstream, also where none was seen yet."""
        known = self.largest.get(group, [])
        return not known or any(one.covers(need) for one in known)

    def extended(self, seen: Iterable[tuple[str, ResourceAmounts]]) -> KnownCapacities:
        """Return these sizes with those of more upstreams, or the very same."""
        largest = dict(self.largest)
        for group, capacity in seen:
            known = largest.get(group, [])
            if capacity == ZERO_AMOUNTS or any(one.covers(capacity) for one in known):
                continue
            largest[group] = [
                *(one for one in known if not capacity.covers(one)),
                capacity,
            ]
        return self if largest == self.largest else KnownCapacities(largest)


__all__ = ["KnownCapacities"]
