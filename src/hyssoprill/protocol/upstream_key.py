"""Key that identifies one incarnation of an upstream."""

from __future__ import annotations

from functools import lru_cache
from typing import Annotated, NamedTuple

from msgspec import Meta

_KEY_PATTERN = r"[^|]*\|[^|]*\|[0-9]{1,16}\|[^|]*"
KeyText = Annotated[str, Meta(pattern=rf"^{_KEY_PATTERN}\Z")]
"""Text that `parse_upstream_key` can parse."""
OptionalKeyText = Annotated[str, Meta(pattern=rf"^(?:{_KEY_PATTERN})?\Z")]
"""The same, or ''."""
MAX_PARSED_KEYS = 4096
"""Keys of which the parsed form is kept: the same ones are parsed again and again."""


class UpstreamKey(NamedTuple):
    """Identifies one incarnation of an upstream by where and when it was started.

    The text form is `vm|address|started_ms|id`.
    """

    vm: str
    address: str
    started_ms: int
    id: str

    def __str__(self) -> str:
        return "|".join((self.vm, self.address, str(self.started_ms), self.id))

    def supersedes(self, other: UpstreamKey) -> bool:
        """Tell whether this incarnation proves that the other one has ended.

        Only one can run at an address of a VM, so a later one proves it.
        """
        same_address = (self.vm, self.address) == (other.vm, other.address)
        return same_address and self.started_ms > other.started_ms

    def restarts(self, other: UpstreamKey) -> bool:
        """Tell whether calls to the other, ended incarnation also reach this one.

        Calls name an incarnation by its address and id only.
        """
        return self.supersedes(other) and self.id == other.id


@lru_cache(MAX_PARSED_KEYS)
def parse_upstream_key(text: str) -> UpstreamKey:
    """Parse the text form of a key.

    Raises
    ------
    ValueError
        If the text is not a key.
    """
    vm, address, born_ms, upstream_id = text.split("|")
    return UpstreamKey(vm, address, int(born_ms), upstream_id)


__all__ = ["KeyText", "OptionalKeyText", "UpstreamKey", "parse_upstream_key"]
