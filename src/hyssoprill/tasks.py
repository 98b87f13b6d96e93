"""Cancels background tasks and waits until they have ended."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Coroutine, Iterable

CANCEL_INTERVAL_S = 0.2


async def cancel_all(tasks: Iterable[asyncio.Future[Any]]) -> None:
    """Cancel tasks until all have ended.

    Before Python 3.12, `asyncio.wait_for` loses a cancellation that arrives as the
    awaited future completes, so one cancellation may not be enough.
    """
    pending = {task for task in tasks if not task.done()}
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_INTERVAL_S)


class TaskSet:
    """Background tasks that are cancelled when their owner closes."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        await cancel_all(self._tasks)


__all__ = ["TaskSet", "cancel_all"]
