"""Names of one lifetime of an upstream."""

from __future__ import annotations

from typing import NamedTuple


class UpstreamKey(NamedTuple):
    """One lifetime of an upstream, and the VM and address where it runs."""

    vm: str
    address: str
    started_ms: int
    id: str

    def __str__(self) -> str:
        return "|".join((self.vm, self.address, str(self.started_ms), self.id))

    def supersedes(self, other: UpstreamKey) -> bool:
        """Tell whether the other lifetime must have ended for this one to be."""
        same_place = (self.vm, self.address) == (other.vm, other.address)
        return same_place and self.started_ms > other.started_ms


def parse_upstream_key(text: str) -> UpstreamKey:
    """Return the parts of a key.

    Raises
    ------
    ValueError
        Where the text is no such key.
    """
    vm, address, born_ms, upstream_id = text.split("|")
    return UpstreamKey(vm, address, int(born_ms), upstream_id)


__all__ = ["UpstreamKey", "parse_upstream_key"]
