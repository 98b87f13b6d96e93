"""Largest capacities of upstreams ever seen, to refuse tasks that can never fit."""

from __future__ import annotations

from typing import TYPE_CHECKING

from msgspec import Struct

from ..protocol.job import ZERO_AMOUNTS, ResourceAmounts

if TYPE_CHECKING:
    from collections.abc import Iterable


class KnownCapacities(Struct, frozen=True):
    """The largest capacities seen of each group of upstreams.

    None of a group's capacities covers another one. They are never removed, as an
    upstream that is away may return.
    """

    largest: dict[str, list[ResourceAmounts]] = {}

    def may_fit(self, group: str, need: ResourceAmounts) -> bool:
        """Tell whether a task may fit an upstream; true if none was seen yet."""
        known = self.largest.get(group, [])
        return not known or any(one.covers(need) for one in known)

    def extended(self, seen: Iterable[tuple[str, ResourceAmounts]]) -> KnownCapacities:
        """Return the capacities with newly seen ones added.

        Returns `self` if the new ones are covered by those known already.
        """
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

    def merged(self) -> KnownCapacities:
        """Return one capacity for each group, which covers all that were seen.

        Takes less space, and may let pass a task that fits no upstream.
        """
        return KnownCapacities(
            {
                group: [ResourceAmounts(*map(max, *known))] if known[1:] else known
                for group, known in self.largest.items()
            }
        )


__all__ = ["KnownCapacities"]
