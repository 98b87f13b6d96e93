"""Client for the platform's append-only log."""

from __future__ import annotations

from typing import Any

import msgspec
from msgspec import Struct

from ..errors import LogUnavailableError
from .http_client import JsonClient

APPEND_TIMEOUT_S = 2.0
READ_MARGIN_S = 1.0
MAX_RECORDS_PER_READ = 500


class LogRecord(Struct, frozen=True):
    """A record to append; readers ignore later records with the same id."""

    id: str
    stream: str
    body: Any


class StoredRecord(Struct, frozen=True):
    """A record as read back, with its offset."""

    offset: int
    id: str
    stream: str
    body: Any


class LogPage(Struct, frozen=True):
    """Result of one read.

    Attributes
    ----------
    first : int
        Oldest offset that the log still retains.
    next : int
        Offset after the newest record.
    """

    first: int
    next: int
    records: list[StoredRecord]


class PlatformLog:
    """Appends to and reads from the log service."""

    def __init__(self, url: str) -> None:
        self._client = JsonClient(url)

    async def append(self, records: list[LogRecord]) -> list[int]:
        """Append records in one request and return their offsets.

        Raises
        ------
        LogUnavailableError
            If the request failed; the records may or may not have been written.
        """
        answer = await self._call(
            "POST", "/v1/append", {"records": records}, APPEND_TIMEOUT_S
        )
        return list(answer["offsets"])

    async def read(self, offset: int, *, wait_s: float) -> LogPage:
        """Read records starting at an offset, waiting up to `wait_s` for the first.

        Raises
        ------
        LogUnavailableError
            If the request failed or the response is malformed.
        """
        path = f"/v1/read?from={offset}&wait_s={wait_s}&max={MAX_RECORDS_PER_READ}"
        answer = await self._call("GET", path, None, wait_s + READ_MARGIN_S)
        try:
            return msgspec.convert(answer, LogPage)
        except msgspec.ValidationError as exc:
            raise LogUnavailableError(
                f"the log's response is malformed: {exc}",
                remedy="check the log service",
            ) from exc

    def close(self) -> None:
        """Close the client."""
        self._client.close()

    async def _call(self, method: str, path: str, body: Any, timeout_s: float) -> Any:
        try:
            status, answer = await self._client.call(
                method, path, body, timeout_s=timeout_s
            )
        except OSError as exc:
            raise LogUnavailableError(
                f"the log does not respond: {exc}",
                remedy="retry when the log is reachable",
            ) from exc
        if status != 200:
            raise LogUnavailableError(
                f"the log responded with status {status}", remedy="retry later"
            )
        return answer


__all__ = ["LogPage", "LogRecord", "PlatformLog", "StoredRecord"]
