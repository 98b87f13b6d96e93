"""Port of the store that keeps what must outlive every process.

A topic is one ordered sequence of keyed records; the newest record of each key is
kept for good, older ones for a while.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Literal, Protocol

if TYPE_CHECKING:
    from collections.abc import Sequence

Topic = Literal["jobs", "members", "operator"]

MAX_BATCH_BYTES = 1_000_000
"""Most bytes of records in one append, half of what the store takes at once."""


@dataclass(frozen=True, slots=True)
class Record:
    """A record to append; an empty value drops the key."""

    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """A record as read back."""

    offset: int
    key: str
    value: bytes


@dataclass(frozen=True, slots=True)
class Page:
    """Records of one read, and the offset after the newest record of the topic.

    Attributes
    ----------
    next : int
        Where the following read has to begin.
    """

    records: tuple[StoredRecord, ...]
    next_offset: int
    end_offset: int


@dataclass(frozen=True, slots=True)
class Writer:
    """Identity of a writer whose predecessors are shut out.

    Attributes
    ----------
    term : int
        Appends with a lower term than one seen before are refused.
    sequence : int
        Number of this append; a repeat of a number appends nothing.
    """

    term: int
    sequence: int


class StorePort(Protocol):
    """The store, as the product uses it.

    All calls raise `StoreRefusedError` where surely nothing was done and
    `StoreInDoubtError` where no usable answer came.
    """

    async def append(
        self,
        topic: Topic,
        records: Sequence[Record],
        *,
        expected_offset: int | None = None,
        writer: Writer | None = None,
    ) -> int:
        """Append records as a whole and return the offset of the first.

        Raises
        ------
        StoreMovedError
            Where `at` was given and is not the end of the topic.
        StoreFencedError
            Where a writer of a higher term has written.
        """
        ...

    async def read(self, topic: Topic, offset: int, *, wait_s: float) -> Page:
        """Read from an offset on, waiting for the first record to come.

        Raises
        ------
        StoreHistoryLostError
            Where records from that offset on are no longer kept.
        """
        ...

    async def read_latest(self, topic: Topic) -> Page:
        """Read the newest record of each key.

        Reading on from `next` gives all that changed meanwhile.
        """
        ...


__all__ = [
    "MAX_BATCH_BYTES",
    "Page",
    "Record",
    "StorePort",
    "StoredRecord",
    "Topic",
    "Writer",
]
