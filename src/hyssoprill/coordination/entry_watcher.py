"""Follows the list of entries that the store keeps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ..errors import StoreError
from ..logs import decision

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ports.store import StorePort

READ_WAIT_S = 20.0
RETRY_DELAY_S = 1.0


class EntryWatcher:
    """Link addresses of all entries by name.

    Parameters
    ----------
    on_change : callable
        Called with the name of an entry that is new or has another address.
    """

    def __init__(self, store: StorePort, on_change: Callable[[str], None]) -> None:
        self.link_urls: dict[str, str] = {}
        self._store = store
        self._on_change = on_change

    def update(self, name: str, url: str) -> None:
        """Take in where an entry listens; '' where it has left."""
        if not url:
            self.link_urls.pop(name, None)
        elif self.link_urls.get(name) != url:
            self.link_urls[name] = url
            self._on_change(name)

    async def run(self) -> None:
        """Read on for ever."""
        offset: int | None = None
        while True:
            try:
                if offset is None:
                    page = await self._store.read_latest("members")
                else:
                    page = await self._store.read("members", offset, wait_s=READ_WAIT_S)
            except StoreError as exc:
                decision("members_unread", why=str(exc))
                offset = None
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            offset = page.next_offset
            for record in page.records:
                self.update(record.key, record.value.decode(errors="replace"))


__all__ = ["EntryWatcher"]
