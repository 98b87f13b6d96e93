"""Runs background tasks: logs why they end, restarts loops, and cancels them."""

from __future__ import annotations

import asyncio
import time
import traceback
from typing import TYPE_CHECKING, Any

from .logs import decision

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterable, Iterator

CANCEL_INTERVAL_S = 0.2
MIN_RESTART_PAUSE_S = 0.1
MAX_RESTART_PAUSE_S = 5.0
"""The pause before a loop is run again doubles with each failure, up to this."""
STABLE_AFTER_S = 10.0
"""A loop that has run for this long is restarted after the shortest pause again."""
MAX_CAUSE_LENGTH = 300


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


async def run_supervised(
    name: str,
    loop: Callable[[], Awaitable[None]],
    on_failure: Callable[[], Awaitable[None]] | None = None,
) -> None:
    """Run a loop again, after a pause, each time that an exception ends it.

    Parameters
    ----------
    name : str
        Names the loop in the log.
    loop : callable
        Coroutine function; it may return to end for good.
    on_failure : callable, optional
        Coroutine function that is called before the pause.
    """
    pause_s = MIN_RESTART_PAUSE_S
    while True:
        began_s = time.monotonic()
        try:
            await loop()
            return
        except Exception as exc:  # noqa: BLE001 - the loop has to go on
            if time.monotonic() - began_s > STABLE_AFTER_S:
                pause_s = MIN_RESTART_PAUSE_S
            log_failure(name, exc, restart_s=pause_s)
        if on_failure is not None:
            try:
                await on_failure()
            except Exception as exc:  # noqa: BLE001 - as above
                log_failure(f"{name}, after a failure", exc)
        await asyncio.sleep(pause_s)
        pause_s = min(pause_s * 2, MAX_RESTART_PAUSE_S)


def log_failure(name: str, exc: BaseException, **fields: Any) -> None:
    """Log an exception that nobody expects, with the place where it was raised."""
    frames = traceback.extract_tb(exc.__traceback__)
    where = f"{frames[-1].filename}:{frames[-1].lineno}" if frames else ""
    why = repr(exc)[:MAX_CAUSE_LENGTH]
    decision("task_failed", task=name, why=why, at=where, **fields)


class TaskSet:
    """Background tasks that are cancelled when their owner closes."""

    def __init__(self) -> None:
        self._tasks: set[asyncio.Task[Any]] = set()

    def __iter__(self) -> Iterator[asyncio.Task[Any]]:
        return iter(self._tasks)

    def spawn(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """Run a coroutine in the background; log an exception that ends it."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._record_end)
        return task

    def supervise(
        self,
        name: str,
        loop: Callable[[], Awaitable[None]],
        on_failure: Callable[[], Awaitable[None]] | None = None,
    ) -> asyncio.Task[Any]:
        """Run a loop in the background, see `run_supervised`."""
        return self.spawn(run_supervised(name, loop, on_failure))

    def _record_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (exc := task.exception()) is not None:
            log_failure(getattr(task.get_coro(), "__qualname__", ""), exc)

    async def close(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        await cancel_all(self._tasks)


__all__ = ["TaskSet", "cancel_all", "log_failure", "run_supervised"]
