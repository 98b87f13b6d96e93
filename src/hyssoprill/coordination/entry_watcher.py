"""Watches the list of entries in the store and keeps their link addresses."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from ..errors import StoreError
from ..logs import decision
from ..protocol.bounds import LinkUrl, Name

if TYPE_CHECKING:
    from collections.abc import Callable

    from ..ports.store import StorePort

SPEED_PREFIX = "speed/"
"""Begins the key under which an entry publishes its speed in the list of entries."""
READ_WAIT_S = 20.0
RETRY_DELAY_S = 1.0
MAX_LOGGED = 64
"""Characters of an unreadable entry's name that are logged."""


class EntryWatcher:
    """Keeps the link addresses of all entries up to date.

    Parameters
    ----------
    store : StorePort
        Holds the list of entries.
    on_change : callable
        Called with the name of an entry that is new or has changed its address.
    on_speed : callable, optional
        Called with the name of an entry and the text of its published speed.

    Attributes
    ----------
    link_urls : dict of str to str
        Link address of each entry by its name.
    """

    def __init__(
        self,
        store: StorePort,
        on_change: Callable[[str], None],
        on_speed: Callable[[str, str], None] | None = None,
    ) -> None:
        self.link_urls: dict[str, str] = {}
        self._store = store
        self._on_change = on_change
        self._on_speed = on_speed

    def update(self, name: str, url: str) -> None:
        """Set the address at which an entry listens; '' removes the entry.

        An address that cannot be one is logged, and changes nothing.
        """
        if not url:
            self.link_urls.pop(name, None)
            return
        try:
            msgspec.convert((name, url), tuple[Name, LinkUrl])
        except msgspec.ValidationError as exc:
            decision("address_unreadable", entry=name[:MAX_LOGGED], why=str(exc))
            return
        if self.link_urls.get(name) != url:
            self.link_urls[name] = url
            self._on_change(name)

    async def run(self) -> None:
        """Follow the list forever, and start over after an error of the store."""
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
                self._apply(record.key, record.value.decode(errors="replace"))

    def _apply(self, key: str, text: str) -> None:
        if not key.startswith(SPEED_PREFIX):
            self.update(key, text)
        elif self._on_speed is not None:
            self._on_speed(key.removeprefix(SPEED_PREFIX), text)


__all__ = ["SPEED_PREFIX", "EntryWatcher"]
