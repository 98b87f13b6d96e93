"""Reads and appends to the platform's log; each record is delivered exactly once."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

from loguru import logger

from ...errors import LogUnavailableError
from ...transport.platform_log import LogRecord

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...transport.metrics import Metrics
    from ...transport.platform_log import PlatformLog, StoredRecord

READ_WAIT_S = 0.5
RETRY_DELAY_S = 0.2
BATCH_INTERVAL_S = 0.02
MAX_BATCH = 100
MAX_KNOWN_IDS = 200_000


class LogFollower:
    """Reads the log from its oldest record on and delivers each record once.

    Parameters
    ----------
    log : PlatformLog
        The log service.
    on_begin : callable
        Called once, before the first record, with the oldest offset that the log
        retains.
    on_record : callable
        Called with each record in order; later records of the same id are skipped.
    """

    def __init__(
        self,
        log: PlatformLog,
        on_begin: Callable[[int], None],
        on_record: Callable[[StoredRecord], None],
        metrics: Metrics,
    ) -> None:
        self._log = log
        self._on_begin = on_begin
        self._on_record = on_record
        self._metrics = metrics
        self._next_offset = 0
        self._has_begun = False
        self._offsets: dict[str, int] = {}
        self._last_read_to_end_s = float("-inf")
        self._progress = asyncio.Condition()
        self.is_up = False

    @property
    def last_read_to_end_s(self) -> float:
        """Start time of the last read that reached the end of the log."""
        return self._last_read_to_end_s

    def offset_of(self, record_id: str) -> int | None:
        """Return the lowest offset at which a record was read, or None."""
        return self._offsets.get(record_id)

    async def run(self) -> None:
        """Read the log until cancelled."""
        while True:
            began_s = time.monotonic()
            try:
                page = await self._log.read(self._next_offset, wait_s=READ_WAIT_S)
            except LogUnavailableError as exc:
                self._set_availability(False, str(exc))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._set_availability(True, "")
            if not self._has_begun:
                self._on_begin(page.first)
                self._has_begun = True
            for record in page.records:
                self._deliver(record)
            self._next_offset = max(self._next_offset, page.first)
            if self._next_offset >= page.next:
                self._last_read_to_end_s = began_s
            async with self._progress:
                self._progress.notify_all()

    async def wait_for_offset(self, offset: int) -> None:
        """Wait until the record at an offset was delivered."""
        async with self._progress:
            await self._progress.wait_for(lambda: self._next_offset > offset)

    async def wait_for_read_after(self, moment_s: float) -> None:
        """Wait until a read that began after `moment_s` has reached the end."""
        async with self._progress:
            await self._progress.wait_for(lambda: self._last_read_to_end_s > moment_s)

    def _deliver(self, record: StoredRecord) -> None:
        self._next_offset = record.offset + 1
        if record.id in self._offsets:
            self._metrics.count("log_repeats_ignored")
            return
        self._offsets[record.id] = record.offset
        if len(self._offsets) > MAX_KNOWN_IDS:
            del self._offsets[next(iter(self._offsets))]
        self._metrics.count("log_records_read")
        try:
            self._on_record(record)
        except Exception as exc:  # one bad record must not stop the follower
            self._metrics.failure("log_record", exc)

    def _set_availability(self, is_up: bool, reason: str) -> None:
        if is_up != self.is_up:
            self.is_up = is_up
            logger.info("log available: {} {}", is_up, reason)


class LogWriter:
    """Appends records in batches, and settles appends that had no answer.

    After an append without an answer, the writer waits until the log was read to its
    end, and appends again only the records whose ids are not in it.
    """

    def __init__(
        self, log: PlatformLog, follower: LogFollower, metrics: Metrics
    ) -> None:
        self._log = log
        self._follower = follower
        self._metrics = metrics
        self._queue: asyncio.Queue[tuple[LogRecord, asyncio.Future[int]]] = (
            asyncio.Queue()
        )

    async def append(self, record: LogRecord, *, timeout_s: float) -> int:
        """Append a record and return its offset.

        Raises
        ------
        LogUnavailableError
            Where the append was not confirmed within `timeout_s`; the record may
            still be written later.
        """
        fut: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait((record, fut))
        try:
            return await asyncio.wait_for(asyncio.shield(fut), timeout_s)
        except TimeoutError as exc:
            raise LogUnavailableError(
                "the log did not confirm the record in time",
                code="log_in_doubt",
                remedy="ask for the outcome by id when the log is back",
            ) from exc

    def enqueue(self, record: LogRecord) -> None:
        """Queue a record to be appended once the log is available."""
        fut: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self._queue.put_nowait((record, fut))

    async def run(self) -> None:
        """Append queued records in batches until cancelled."""
        while True:
            batch = [await self._queue.get()]
            await asyncio.sleep(BATCH_INTERVAL_S)
            while len(batch) < MAX_BATCH and not self._queue.empty():
                batch.append(self._queue.get_nowait())
            await self._write(batch)

    async def _write(self, batch: list[tuple[LogRecord, asyncio.Future[int]]]) -> None:
        while batch:
            try:
                offsets = await self._log.append([record for record, _ in batch])
            except LogUnavailableError:
                self._metrics.count("log_appends_in_doubt")
                failed_s = time.monotonic()
                await asyncio.sleep(RETRY_DELAY_S)
                await self._follower.wait_for_read_after(failed_s)
                batch = self._resolve_written(batch)
                continue
            self._metrics.count("log_appends")
            for (_, fut), offset in zip(batch, offsets, strict=True):
                _resolve(fut, offset)
            return

    def _resolve_written(
        self, batch: list[tuple[LogRecord, asyncio.Future[int]]]
    ) -> list[tuple[LogRecord, asyncio.Future[int]]]:
        """Resolve the records that were written after all; return the others."""
        unwritten = []
        for record, fut in batch:
            offset = self._follower.offset_of(record.id)
            if offset is None:
                unwritten.append((record, fut))
            else:
                _resolve(fut, offset)
        return unwritten


def _resolve(fut: asyncio.Future[int], offset: int) -> None:
    if not fut.done():
        fut.set_result(offset)


__all__ = ["LogFollower", "LogWriter"]
