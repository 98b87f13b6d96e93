"""Stand-in of the platform's log store, in memory: the semantics, without HTTP.

It implements the product's store port, and can be told to refuse, to be slow, to lose
answers, to carry calls out late and to forget its history.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from hyssoprill.errors import (
    StoreFencedError,
    StoreHistoryLostError,
    StoreInDoubtError,
    StoreMovedError,
    StoreRefusedError,
    StoreRejectedError,
)
from hyssoprill.ports.store import Page, StoredRecord

if TYPE_CHECKING:
    from collections.abc import Sequence

    from hyssoprill.ports.store import Record, Writer

RECORD_BYTES = 262_144
REQUEST_BYTES = 2_097_152
"""Largest record, and largest sum of the records of one append."""


@dataclass(slots=True)
class LogTopic:
    """One topic with one partition."""

    records: list[StoredRecord] = field(default_factory=list)
    end: int = 0
    newest: dict[str, StoredRecord] = field(default_factory=dict)
    term: int = 0
    sequence: int = -1
    answers: dict[int, int] = field(default_factory=dict)

    def append(
        self, records: Sequence[Record], at: int | None, writer: Writer | None
    ) -> int:
        """Append records that the store takes; return the offset of the first."""
        sizes = [
            1 + len(one.key.encode(errors="surrogateescape")) + len(one.value)
            for one in records
        ]
        if max(sizes, default=0) > RECORD_BYTES or sum(sizes) > REQUEST_BYTES:
            raise StoreRejectedError("too large")
        if at is not None and at != self.end:
            raise StoreMovedError("the topic has grown")
        if writer is not None:
            if writer.term < self.term:
                raise StoreFencedError("fenced")
            if writer.term > self.term:
                self.term, self.sequence = writer.term, writer.sequence - 1
                self.answers.clear()
            if writer.sequence in self.answers:
                return self.answers[writer.sequence]
            if writer.sequence != self.sequence + 1:
                raise StoreFencedError("out of sequence")
            self.sequence = writer.sequence
            self.answers[writer.sequence] = self.end
        first = self.end
        for record in records:
            stored = StoredRecord(self.end, record.key, record.value)
            self.records.append(stored)
            self.newest[record.key] = stored
            self.end += 1
        return first

    def forget(self) -> None:
        """Drop all but the newest record of each key."""
        self.records.clear()

    def read(self, offset: int, most: int | None = None) -> Page:
        """Return the records from an offset on, up to `most`."""
        first = self.records[0].offset if self.records else self.end
        if offset < first:
            raise StoreHistoryLostError("forgotten")
        found = tuple(one for one in self.records if one.offset >= offset)[:most]
        following = found[-1].offset + 1 if found else self.end
        return Page(found, following, self.end)

    def newest_page(self) -> Page:
        """Return the newest record of each key that was not dropped."""
        found = tuple(one for one in self.newest.values() if one.value)
        return Page(found, self.end, self.end)


class MemoryStore:
    """All topics, and the troubles that tests switch on.

    Attributes
    ----------
    down : bool
        Calls are refused; nothing is done.
    lost_answers : int
        So many of the next appends are carried out and not answered.
    late_appends : list
        Where not None, appends are not carried out but kept here.
    page_records : int or None
        Most records of one read.
    """

    def __init__(self) -> None:
        self.topics: dict[str, LogTopic] = {}
        self.down = False
        self.lost_answers = 0
        self.late_appends: list[tuple[str, tuple[Record, ...]]] | None = None
        self.page_records: int | None = None
        self.writes = 0
        self._news = asyncio.Event()

    def topic(self, name: str) -> LogTopic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, LogTopic())

    async def append(
        self,
        topic: str,
        records: Sequence[Record],
        *,
        expected_offset: int | None = None,
        writer: Writer | None = None,
    ) -> int:
        """See `StorePort.append`."""
        await asyncio.sleep(0)
        self._refuse_if_down()
        self.writes += 1
        if self.late_appends is not None:
            self.late_appends.append((topic, tuple(records)))
            raise StoreInDoubtError("late")
        offset = self.topic(topic).append(records, expected_offset, writer)
        self._news.set()
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreInDoubtError("the answer was lost")
        return offset

    async def read(self, topic: str, offset: int, *, wait_s: float) -> Page:
        """See `StorePort.read`."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            await asyncio.sleep(0)
            self._refuse_if_down()
            page = self.topic(topic).read(offset, self.page_records)
            left = deadline - loop.time()
            if page.records or left <= 0:
                return page
            self._news.clear()
            try:
                await asyncio.wait_for(self._news.wait(), min(left, 0.05))
            except TimeoutError:
                continue

    async def read_latest(self, topic: str) -> Page:
        """See `StorePort.read_latest`."""
        await asyncio.sleep(0)
        self._refuse_if_down()
        return self.topic(topic).newest_page()

    def _refuse_if_down(self) -> None:
        if self.down:
            raise StoreRefusedError("down")


__all__ = ["LogTopic", "MemoryStore"]
