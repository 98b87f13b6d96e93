"""Bounded queue in which a message replaces those that it supersedes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from collections.abc import Callable

Item = TypeVar("Item")


class Mailbox(Generic[Item]):
    """Queue for one reader that holds no superseded items.

    All other items keep their order. An item takes the last place, not that of the
    items that it replaces, as items between them may be older than it is.

    Parameters
    ----------
    max_items : int
        Number of items that are held at most.
    supersedes : callable
        Returns whether its first argument, the newer item, replaces the second.
    """

    def __init__(
        self, max_items: int, supersedes: Callable[[Item, Item], bool]
    ) -> None:
        self._max_items = max_items
        self._supersedes = supersedes
        self._items: list[Item] = []
        self._is_filled = asyncio.Event()

    def __len__(self) -> int:
        return len(self._items)

    def put(self, item: Item) -> int:
        """Add an item and return the number of items that it replaces.

        Raises
        ------
        asyncio.QueueFull
            If the mailbox is full of items that the new one does not replace.
        """
        kept = [one for one in self._items if not self._supersedes(item, one)]
        if len(kept) >= self._max_items:
            raise asyncio.QueueFull
        replaced = len(self._items) - len(kept)
        self._items = [*kept, item]
        self._is_filled.set()
        return replaced

    async def get(self) -> Item:
        """Remove and return the first item; wait for one if there is none."""
        while not self._items:
            self._is_filled.clear()
            await self._is_filled.wait()
        return self._items.pop(0)


__all__ = ["Mailbox"]
