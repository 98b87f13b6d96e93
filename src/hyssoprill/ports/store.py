"""Port of the store for state that must survive the loss of every process.

A topic is an ordered log of keyed records. The store compacts it: it keeps the newest
record of each key for good, and older ones for a limited time.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal, Protocol

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

Topic = Literal["jobs", "members", "operator"]

MAX_BATCH_BYTES = 1_000_000
"""Largest size of the records in one append; half of what the store accepts."""
DEFAULT_RECORD_BYTES = 262_144
"""Largest size of a record where the settings do not name it."""
RECORD_HEAD_BYTES = 4
"""Space that a record takes in an append besides its size."""


@dataclass(frozen=True, slots=True)
class Record:
    """A record to append; an empty value deletes the key."""

    key: str
    value: bytes

    @property
    def size(self) -> int:
        """Size in bytes that counts against the limit of records."""
        return 1 + len(self.key.encode()) + len(self.value)


def first_batch(records: Iterable[Record]) -> int:
    """Return how many of the first records one append takes, at least one."""
    size, count = 0, 0
    for record in records:
        size += RECORD_HEAD_BYTES + record.size
        if count and size > MAX_BATCH_BYTES:
            break
        count += 1
    return count


def split_batches(records: Sequence[Record]) -> list[list[Record]]:
    """Return records split into appends, in order."""
    batches, rest = [], list(records)
    while rest:
        count = first_batch(rest)
        batches.append(rest[:count])
        rest = rest[count:]
    return batches


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record with its offset in the topic, as read from the store."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Records of one read.

    Attributes
    ----------
    next_offset : int
        Offset at which the following read has to begin.
    end_offset : int
        Offset after the newest record of the topic.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    end_offset: int


@dataclass(frozen=True, slots=True)
class Writer:
    """Identity of an append by a writer that fences off its predecessors.

    Attributes
    ----------
    term : int
        Fencing token: the store refuses appends with a lower term than it has seen.
    sequence : int
        Number of this append; the store ignores a repeated number.
    """

    term: int
    sequence: int


class StorePort(Protocol):
    """Interface of the store.

    All calls raise `StoreRefusedError` if the call was certainly not executed, and
    `StoreInDoubtError` if no usable answer arrived. An append raises
    `StoreRejectedError`, a `StoreRefusedError`, if a repeat would be refused as well.
    """

    async def append(
        self,
        topic: Topic,
        records: Sequence[Record],
        *,
        expected_offset: int | None = None,
        writer: Writer | None = None,
    ) -> int:
        """Append records atomically and return the offset of the first one.

        Raises
        ------
        StoreMovedError
            If `expected_offset` is given and is not the end offset of the topic.
        StoreFencedError
            If a writer with a higher term has appended.
        """
        ...

    async def read(self, topic: Topic, offset: int, *, wait_s: float) -> Page:
        """Read records from an offset on, waiting up to `wait_s` for the first one.

        Raises
        ------
        StoreHistoryLostError
            If records from that offset on have been deleted.
        """
        ...

    async def read_latest(self, topic: Topic) -> Page:
        """Read the newest record of each key.

        Reading on from `next_offset` returns all changes made in the meantime.
        """
        ...


__all__ = [
    "DEFAULT_RECORD_BYTES",
    "Page",
    "Record",
    "StorePort",
    "StoredRecord",
    "Topic",
    "Writer",
    "first_batch",
    "split_batches",
]
