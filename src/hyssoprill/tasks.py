"""Ends background tasks for certain."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterable

CANCEL_INTERVAL_S = 0.2


async def cancel_all(tasks: Iterable[asyncio.Future[Any]]) -> None:
    """Cancel tasks until all have ended.

    Before Python 3.12, `asyncio.wait_for` swallows a cancellation that meets the
    end of what it waits for, so that one cancellation may not be enough.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL_S)


class TaskSet:
    """Background tasks that end together with their owner."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """End all tasks."""
        await cancel_all(self._tasks)


__all__ = ["TaskSet", "cancel_all"]
