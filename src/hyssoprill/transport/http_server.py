"""HTTP server for callers, operators, the balancer and metrics."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Any

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, HTTPError, RequestHandler

from ..errors import AccessError, HyssoprillError, InvalidRequestError

if TYPE_CHECKING:
    from .metrics import Metrics

BEARER = "Bearer "


class Handler(RequestHandler):
    """Base of all handlers: JSON bodies, tokens, and typed errors."""

    @property
    def token(self) -> str:
        """The bearer token of the call, or ''."""
        header = self.request.headers.get("Authorization", "")
        return header.removeprefix(BEARER) if header.startswith(BEARER) else ""

    def reply(self, body: Any, status: int = 200) -> None:
        """Answer with JSON."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Answer with code, message, field and remedy of an error."""
        exc = kwargs.get("exc_info", (None, None))[1]
        if isinstance(exc, HyssoprillError):
            self.reply(error_body(exc), exc.http_status)
            return
        codes = {404: "not_found", 405: "method_not_allowed"}
        code = codes.get(status_code, "internal")
        remedy = "see docs/reference/http.md"
        body = {"error": {"code": code, "message": self._reason, "remedy": remedy}}
        self.reply(body, status_code)

    def log_exception(self, *args: Any) -> None:
        """Leave expected errors out of the log."""
        if not isinstance(args[1], HyssoprillError | HTTPError):
            super().log_exception(*args)


class UnknownPath(Handler):
    """Answers calls of paths that do not exist."""

    def prepare(self) -> None:
        """Refuse."""
        raise HTTPError(404)


class OperatorHandler(Handler):
    """Base of handlers that need the operator token."""

    operator_token = ""

    def initialize(self, operator_token: str, **services: Any) -> None:
        """Keep the token and the services that handlers use."""
        self.operator_token = operator_token
        self.services = services

    def prepare(self) -> None:
        """Refuse calls without the operator token.

        Raises
        ------
        AccessError
            Where the token is missing or wrong.
        """
        known = self.operator_token.encode()
        if not hmac.compare_digest(known, self.token.encode()):
            raise AccessError(
                "the operator token is missing or wrong",
                remedy="put 'operator_token' of the entries into your settings",
            )


class MetricsHandler(OperatorHandler):
    """Prometheus exposition of one process."""

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.services["metrics"].text())


class PlainMetricsHandler(RequestHandler):
    """Prometheus exposition on an address of its own, without a token."""

    def initialize(self, metrics: Metrics) -> None:
        """Keep the metrics."""
        self._process_metrics = metrics

    def get(self) -> None:
        """Answer with all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._process_metrics.text())


class DumpHandler(OperatorHandler):
    """The whole state of one process."""

    def get(self) -> None:
        """Answer with the dump."""
        self.reply(self.services["dump"]())


class HttpListener:
    """Listening HTTP server, bound before the application exists."""

    def __init__(self, address: str, port: int) -> None:
        self._sockets = bind_sockets(port, address)
        self._server: HTTPServer | None = None
        bound = self._sockets[0].getsockname()[1]
        self.url = f"http://{address}:{bound}"

    def serve(self, routes: list[Any], *, body_limit_bytes: int) -> None:
        """Begin to answer calls."""
        app = Application(routes, default_handler_class=UnknownPath)
        app.settings["log_function"] = _log_nothing
        self._server = HTTPServer(app, max_body_size=body_limit_bytes)
        self._server.add_sockets(self._sockets)

    async def close(self) -> None:
        """Stop listening and close idle connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


def error_body(exc: HyssoprillError) -> dict[str, Any]:
    """Return the JSON body that tells a caller of an error."""
    return {
        "error": {
            "code": exc.code,
            "message": exc.message,
            "field": exc.field,
            "remedy": exc.remedy,
        }
    }


def number_argument(handler: RequestHandler, name: str, default: float) -> float:
    """Return a query argument as a number.

    Raises
    ------
    InvalidRequestError
        Where it is no number.
    """
    raw = handler.get_query_argument(name, str(default))
    try:
        return min(max(float(raw), 0.0), 3600.0)
    except ValueError as exc:
        raise InvalidRequestError(
            f"{raw!r} is not a number",
            field=name,
            remedy="give seconds as a number",
        ) from exc


def _log_nothing(_handler: RequestHandler) -> None:
    """Write no access log; requests are counted."""


__all__ = [
    "DumpHandler",
    "Handler",
    "HttpListener",
    "MetricsHandler",
    "OperatorHandler",
    "PlainMetricsHandler",
    "error_body",
    "number_argument",
]
