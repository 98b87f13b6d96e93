"""Client for the operator API of the entries and for the platform's log."""

from __future__ import annotations

import asyncio
from functools import cached_property
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..errors import HyssoprillError
from ..settings import ClientSettings, load_settings
from ..transport.http_client import JsonClient
from ..transport.platform_log import PlatformLog

if TYPE_CHECKING:
    from ..transport.platform_log import LogRecord, StoredRecord

CALL_TIMEOUT_S = 5.0


class UnreachableError(HyssoprillError):
    """No entry gave a successful response."""

    code = "unreachable"


class Client:
    """Sends requests to the entries in turn until one succeeds.

    Parameters
    ----------
    path : str
        Path of the settings file, which is read on first use.
    """

    def __init__(self, path: str) -> None:
        self._path = Path(path)

    @cached_property
    def cfg(self) -> ClientSettings:
        """The validated settings."""
        return load_settings(self._path, ClientSettings)

    def get(self, path: str) -> Any:
        """Return the first successful response of an entry to an operator API path.

        Raises
        ------
        UnreachableError
            If no entry responds with status 200.
        """
        return asyncio.run(self._call("GET", self.cfg.entries, f"/v1/operator/{path}"))

    def post(self, path: str, body: Any) -> Any:
        """Return the first successful response to a question with a body.

        Raises
        ------
        UnreachableError
            If no entry responds with status 200.
        """
        full_path = f"/v1/operator/{path}"
        return asyncio.run(self._call("POST", self.cfg.entries, full_path, body))

    def get_from(self, base_url: str, path: str) -> Any:
        """Return the response of one process."""
        return asyncio.run(self._call("GET", [base_url], path))

    def append(self, record: LogRecord) -> int:
        """Append a record to the log; see `PlatformLog.append` for the errors."""
        return asyncio.run(self._append(record))

    def read_log(self) -> list[StoredRecord]:
        """Return all records that the log retains."""
        return asyncio.run(self._read_log())

    async def _call(
        self, method: str, base_urls: list[str], path: str, body: Any = None
    ) -> Any:
        headers = {"Authorization": f"Bearer {self.cfg.operator_token}"}
        problem = ""
        for base_url in base_urls:
            client = JsonClient(base_url, headers)
            try:
                status, answer = await client.call(
                    method, path, body, timeout_s=CALL_TIMEOUT_S
                )
            except OSError as exc:
                problem = f"{base_url}: {exc}"
                continue
            finally:
                client.close()
            if status == 200:
                return answer
            problem = f"{base_url}: {_describe_error(status, answer)}"
        raise UnreachableError(
            f"no entry responded successfully; last error: {problem}",
            remedy="check 'entries' and 'operator_token' in your settings",
        )

    async def _append(self, record: LogRecord) -> int:
        log = PlatformLog(self.cfg.log_url)
        try:
            return (await log.append([record]))[0]
        finally:
            log.close()

    async def _read_log(self) -> list[StoredRecord]:
        log = PlatformLog(self.cfg.log_url)
        found: list[StoredRecord] = []
        try:
            offset = 0
            while True:
                page = await log.read(offset, wait_s=0.0)
                if not page.records:
                    return found
                found += page.records
                offset = page.records[-1].offset + 1
        finally:
            log.close()


def _describe_error(status: int, body: Any) -> str:
    if isinstance(body, dict) and "error" in body:
        return f"{body['error']['message']} ({status})"
    return f"status {status}"


pass_client = click.make_pass_decorator(Client)

__all__ = ["Client", "pass_client"]
