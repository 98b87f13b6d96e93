"""JSON-over-HTTP client that opens a new connection for each request."""

from __future__ import annotations

from typing import Any

import msgspec
from tornado.httpclient import HTTPError, HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

MAX_CONNECTIONS = 512
MAX_BODY_BYTES = 72 * 1024 * 1024
CONNECT_TIMEOUT_S = 1.0


class JsonClient:
    """JSON HTTP client for one service.

    A connection is closed after its response or timeout, so that a late response
    cannot be mistaken for the response to another request.

    Parameters
    ----------
    base_url : str
        Scheme, host and port.
    headers : dict, optional
        Headers sent with each request.
    """

    def __init__(self, base_url: str, headers: dict[str, str] | None = None) -> None:
        self._base_url = base_url.rstrip("/")
        self._headers = headers or {}
        self._client = SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=MAX_CONNECTIONS,
            max_body_size=MAX_BODY_BYTES,
        )

    async def call(
        self,
        method: str,
        path: str,
        body: Any = None,
        *,
        timeout_s: float = 2.0,
    ) -> tuple[int, Any]:
        """Send a request and return the status and the decoded JSON body.

        Raises
        ------
        OSError
            If no complete response arrived within the timeout, or it is not JSON.
        """
        request = HTTPRequest(
            self._base_url + path,
            method=method,
            headers=self._headers,
            body=None if body is None else msgspec.json.encode(body),
            allow_nonstandard_methods=True,
            connect_timeout=min(CONNECT_TIMEOUT_S, timeout_s),
            request_timeout=timeout_s,
        )
        try:
            resp = await self._client.fetch(request, raise_error=False)
        except HTTPError as exc:
            raise OSError(str(exc)) from exc
        if resp.code == 599:
            raise OSError(str(resp.error))
        try:
            return resp.code, msgspec.json.decode(resp.body) if resp.body else None
        except msgspec.DecodeError as exc:
            raise OSError(f"response to {path} is not JSON") from exc

    def close(self) -> None:
        """Close the client."""
        self._client.close()


__all__ = ["JsonClient"]
