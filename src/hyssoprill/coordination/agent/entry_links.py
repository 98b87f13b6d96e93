"""The entries that an agent knows, and how it finds replaced ones."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import msgspec

from ...errors import LogUnavailableError
from ...protocol.messages import EntryAddress

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...transport.link import LinkHub
    from ...transport.platform_log import PlatformLog

ENTRY_STREAM = "entry"
FORGET_S = 15.0
LOST_ALL_S = 2.0


class EntryLinks:
    """Dials every entry of the region, and forgets those long silent.

    Addresses come from settings, from the replies of entries and, where none
    answers, from the platform's log.

    Parameters
    ----------
    hub : LinkHub
        Keeps the links.
    seeds : iterable of str
        Link URLs from the settings.
    region : str
        Entries of other regions are not dialled.
    """

    def __init__(self, hub: LinkHub, seeds: Iterable[str], region: str) -> None:
        self._hub = hub
        self._seeds = list(seeds)
        self._region = region
        self._heard_s: dict[str, float] = {}
        self._dialled_s: dict[str, float] = {}
        self._started_s = time.monotonic()
        self.dial_seeds()

    def dial_seeds(self) -> None:
        """Dial the addresses of the settings."""
        known = set(self._hub.dialled_urls.values())
        for url in self._seeds:
            if url not in known:
                self._hub.dial(url, url)

    def names(self) -> list[str]:
        """Return the names of the links to entries."""
        return list(self._hub.dialled_urls)

    def heard(self, name: str) -> None:
        """Note that an entry answered."""
        self._heard_s[name] = time.monotonic()

    def learn(self, entries: Iterable[EntryAddress]) -> None:
        """Dial the entries that another one named."""
        for entry in entries:
            if entry.region != self._region:
                continue
            if entry.link_url in self._hub.dialled_urls.values():
                self._rename(entry)
            self._hub.dial(entry.name, entry.link_url)
            self._dialled_s.setdefault(entry.name, time.monotonic())

    def forget_silent(self) -> None:
        """Hang up on entries that have been silent for long."""
        now_s = time.monotonic()
        for name in self.names():
            if name in self._seeds:
                continue
            last_s = max(
                self._heard_s.get(name, self._started_s), self._dialled_s.get(name, 0)
            )
            if now_s - last_s > FORGET_S:
                self._hub.hang_up(name)
                self._dialled_s.pop(name, None)
                self._heard_s.pop(name, None)

    @property
    def lost_all(self) -> bool:
        """Whether no entry has answered for some time."""
        last_s = max(self._heard_s.values(), default=self._started_s)
        return time.monotonic() - last_s > LOST_ALL_S

    async def learn_from_log(self, log: PlatformLog) -> None:
        """Read the announcements of entries in the log, if it answers."""
        offset = 0
        try:
            while True:
                page = await log.read(offset, wait_s=0.0)
                self.learn(_announced(page.records))
                if not page.records:
                    return
                offset = page.records[-1].offset + 1
        except LogUnavailableError:
            return

    def _rename(self, entry: EntryAddress) -> None:
        """Give up a seed link whose entry is now known by name."""
        for name, url in self._hub.dialled_urls.items():
            if url == entry.link_url and name != entry.name:
                self._hub.hang_up(name)


def _announced(records: Iterable[object]) -> list[EntryAddress]:
    """Return the last address of each entry."""
    found: dict[str, EntryAddress] = {}
    for record in records:
        if record.stream == ENTRY_STREAM:
            try:
                entry = msgspec.convert(record.body, EntryAddress)
            except msgspec.ValidationError:
                continue
            found[entry.name] = entry
    return list(found.values())


__all__ = ["ENTRY_STREAM", "EntryLinks"]
