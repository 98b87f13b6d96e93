"""Keeps an agent linked to the entries of its region, and discovers replacements."""

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
SILENCE_TIMEOUT_S = 15.0
ALL_SILENT_S = 2.0


class EntryLinks:
    """Dials every entry of the region and drops those that have become silent.

    Addresses come from the settings, from the replies of entries and, if no entry
    answers, from the platform's log.

    Parameters
    ----------
    hub : LinkHub
        Holds the links.
    seeds : iterable of str
        Link URLs from the settings.
    region : str
        Region of the agent; entries of other regions are not dialled.
    """

    def __init__(self, hub: LinkHub, seeds: Iterable[str], region: str) -> None:
        self._hub = hub
        self._seeds = list(seeds)
        self._region = region
        self._answered_s: dict[str, float] = {}
        self._dialled_s: dict[str, float] = {}
        self._started_s = time.monotonic()
        self.dial_seeds()

    def dial_seeds(self) -> None:
        """Dial the seed addresses that are not dialled yet."""
        known = set(self._hub.dialled_urls.values())
        for url in self._seeds:
            if url not in known:
                self._hub.dial(url, url)

    def names(self) -> list[str]:
        """Return the names of the links to entries."""
        return list(self._hub.dialled_urls)

    def record_answer(self, name: str) -> None:
        """Record that an entry has answered now."""
        self._answered_s[name] = time.monotonic()

    def dial(self, entries: Iterable[EntryAddress]) -> None:
        """Dial the entries that another entry or the log has named."""
        for entry in entries:
            if entry.region != self._region:
                continue
            if entry.link_url in self._hub.dialled_urls.values():
                self._close_seed_link(entry)
            self._hub.dial(entry.name, entry.link_url)
            self._dialled_s.setdefault(entry.name, time.monotonic())

    def close_silent(self) -> None:
        """Close links to entries that have been silent for `SILENCE_TIMEOUT_S`.

        Seed links are kept.
        """
        now_s = time.monotonic()
        for name in self.names():
            if name in self._seeds:
                continue
            last_s = max(
                self._answered_s.get(name, self._started_s),
                self._dialled_s.get(name, 0),
            )
            if now_s - last_s > SILENCE_TIMEOUT_S:
                self._hub.hang_up(name)
                self._dialled_s.pop(name, None)
                self._answered_s.pop(name, None)

    @property
    def all_silent(self) -> bool:
        """Whether no entry has answered for `ALL_SILENT_S`."""
        last_s = max(self._answered_s.values(), default=self._started_s)
        return time.monotonic() - last_s > ALL_SILENT_S

    async def discover_from_log(self, log: PlatformLog) -> None:
        """Dial the entries announced in the log, if the log answers."""
        offset = 0
        try:
            while True:
                page = await log.read(offset, wait_s=0.0)
                self.dial(_latest_addresses(page.records))
                if not page.records:
                    return
                offset = page.records[-1].offset + 1
        except LogUnavailableError:
            return

    def _close_seed_link(self, entry: EntryAddress) -> None:
        """Close a seed link whose entry is now known by its name."""
        for name, url in self._hub.dialled_urls.items():
            if url == entry.link_url and name != entry.name:
                self._hub.hang_up(name)


def _latest_addresses(records: Iterable[object]) -> list[EntryAddress]:
    """Return the latest announced address of each entry."""
    latest: dict[str, EntryAddress] = {}
    for record in records:
        if record.stream == ENTRY_STREAM:
            try:
                entry = msgspec.convert(record.body, EntryAddress)
            except msgspec.ValidationError:
                continue
            latest[entry.name] = entry
    return list(latest.values())


__all__ = ["ENTRY_STREAM", "EntryLinks"]
