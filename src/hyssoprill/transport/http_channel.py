"""HTTP client for one server that reuses idle connections, without pipelining.

A connection on which a request failed or was cancelled is closed, so that a late
response cannot be mistaken for the response to another request.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import TYPE_CHECKING

from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tornado.iostream import IOStream

CONNECT_TIMEOUT_S = 1.0
MAX_IDLE_CONNECTIONS = 4
MAX_BODY_BYTES = 16 * 1024 * 1024


@dataclass(frozen=True, slots=True)
class Answer:
    """A complete HTTP response."""

    status: int
    headers: Mapping[str, str]
    body: bytes


class _ResponseCollector(HTTPMessageDelegate):
    """Buffers one response."""

    def __init__(self) -> None:
        self.status = 0
        self.headers: Mapping[str, str] = {}
        self.body = bytearray()
        self.finished = False

    def headers_received(
        self, start_line: RequestStartLine | ResponseStartLine, headers: HTTPHeaders
    ) -> None:
        if isinstance(start_line, ResponseStartLine):
            self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.finished = True


class NotListeningError(ConnectionRefusedError):
    """The server's host answered that nothing listens at the port."""


class HttpChannel:
    """HTTP client for one server with a pool of idle connections.

    Parameters
    ----------
    address : str
        Server address as `host:port`.
    """

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self._host, self._port = host, int(port)
        self._address = address
        self._tcp = TCPClient()
        self._idle: list[IOStream] = []
        self._closed = False
        self._params = HTTP1ConnectionParameters(max_body_size=MAX_BODY_BYTES)

    async def call(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        *,
        timeout_s: float,
    ) -> Answer:
        """Send a request and return its response.

        Raises
        ------
        ConnectionRefusedError
            If no connection was established, so that nothing was sent; of its subclass
            `NotListeningError` where the host refused it.
        ConnectionAbortedError
            If the server closed the connection before its response was complete.
        OSError
            If no complete response arrived within the timeout.
        """
        try:
            async with asyncio.timeout(timeout_s):
                stream = await self._acquire_connection()
                return await self._exchange(stream, method, path, body, headers or {})
        except TimeoutError as exc:
            raise OSError(f"no response to {path} within {timeout_s} s") from exc

    def close(self) -> None:
        """Close all idle connections."""
        self._closed = True
        while self._idle:
            self._idle.pop().close()

    async def _acquire_connection(self) -> IOStream:
        while self._idle:
            stream = self._idle.pop()
            stream.set_close_callback(None)
            if not stream.closed():
                return stream
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                stream = await self._tcp.connect(self._host, self._port)
        except (TimeoutError, StreamClosedError, OSError) as exc:
            cause = exc.real_error if isinstance(exc, StreamClosedError) else exc
            is_refused = isinstance(cause, ConnectionRefusedError)
            error_type = NotListeningError if is_refused else ConnectionRefusedError
            raise error_type(
                f"no connection to {self._address}: {cause or exc}"
            ) from exc
        stream.set_nodelay(True)
        return stream

    async def _exchange(
        self,
        stream: IOStream,
        method: str,
        path: str,
        body: bytes,
        headers: Mapping[str, str],
    ) -> Answer:
        collector = _ResponseCollector()
        finished = False
        try:
            conn = HTTP1Connection(stream, True, self._params)
            sent = HTTPHeaders({"Host": self._address, **headers})
            if body or method in ("POST", "PUT"):
                sent["Content-Length"] = str(len(body))
            start = RequestStartLine(method, path, "HTTP/1.1")
            await conn.write_headers(start, sent, body or None)
            conn.finish()
            await conn.read_response(collector)
            finished = collector.finished
        except StreamClosedError as exc:
            raise ConnectionAbortedError(
                f"incomplete response to {path}: {exc}"
            ) from exc
        except HTTPInputError as exc:
            raise OSError(f"incomplete response to {path}: {exc}") from exc
        finally:
            keeps = collector.headers.get("Connection", "").lower() != "close"
            if not finished or not keeps or not self._return_to_pool(stream):
                stream.close()
        if not finished or not collector.status:
            raise OSError(f"incomplete response to {path}")
        return Answer(collector.status, collector.headers, bytes(collector.body))

    def _return_to_pool(self, stream: IOStream) -> bool:
        """Return a connection to the idle pool; False if it has to be closed."""
        if self._closed or stream.closed() or len(self._idle) >= MAX_IDLE_CONNECTIONS:
            return False
        # A stream notices that the server has closed it only with a callback.
        stream.set_close_callback(_ignore_close)
        self._idle.append(stream)
        return True


def _ignore_close() -> None:
    """Do nothing; a closed connection is dropped when it is next acquired."""


__all__ = ["Answer", "HttpChannel", "NotListeningError"]
