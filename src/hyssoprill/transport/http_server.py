"""HTTP server and base handlers for callers, operators, load balancer and metrics."""

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
    """Base handler: JSON bodies, bearer tokens and errors as JSON."""

    @property
    def token(self) -> str:
        """Bearer token of the request, or '' if there is none."""
        header = self.request.headers.get("Authorization", "")
        return header.removeprefix(BEARER) if header.startswith(BEARER) else ""

    def reply(self, body: Any, status: int = 200) -> None:
        """Send a JSON response."""
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Send an error's code, message, field and remedy as JSON."""
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
        """Log only unexpected exceptions."""
        if not isinstance(args[1], HyssoprillError | HTTPError):
            super().log_exception(*args)


class NotFoundHandler(Handler):
    """Responds with 404 to requests for unknown paths."""

    def prepare(self) -> None:
        """Respond with 404."""
        raise HTTPError(404)


class OperatorHandler(Handler):
    """Base handler that requires the operator token."""

    operator_token = ""

    def initialize(self, operator_token: str, **services: Any) -> None:
        """Store the token and the objects that subclasses use."""
        self.operator_token = operator_token
        self.services = services

    def prepare(self) -> None:
        """Reject requests without the operator token.

        Raises
        ------
        AccessError
            If the token is missing or wrong.
        """
        known = self.operator_token.encode()
        if not hmac.compare_digest(known, self.token.encode()):
            raise AccessError(
                "the operator token is missing or wrong",
                remedy="put 'operator_token' of the entries into your settings",
            )


class MetricsHandler(OperatorHandler):
    """Serves the metrics of one process in Prometheus format."""

    def get(self) -> None:
        """Send all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.services["metrics"].text())


class PlainMetricsHandler(RequestHandler):
    """Serves the metrics in Prometheus format on a separate address, with no token."""

    def initialize(self, metrics: Metrics) -> None:
        """Store the metrics to serve."""
        self._process_metrics = metrics

    def get(self) -> None:
        """Send all metrics."""
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self._process_metrics.text())


class DumpHandler(OperatorHandler):
    """Serves the complete state of one process for debugging."""

    def get(self) -> None:
        """Send the state as JSON."""
        self.reply(self.services["dump"]())


class HttpListener:
    """HTTP server whose port is bound before its routes are known."""

    def __init__(self, address: str, port: int) -> None:
        self._sockets = bind_sockets(port, address)
        self._server: HTTPServer | None = None
        bound = self._sockets[0].getsockname()[1]
        self.url = f"http://{address}:{bound}"

    def serve(self, routes: list[Any], *, body_limit_bytes: int) -> None:
        """Start serving the routes."""
        app = Application(routes, default_handler_class=NotFoundHandler)
        app.settings["log_function"] = _skip_access_log
        self._server = HTTPServer(app, max_body_size=body_limit_bytes)
        self._server.add_sockets(self._sockets)

    async def close(self) -> None:
        """Stop listening and close idle connections."""
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


def error_body(exc: HyssoprillError) -> dict[str, Any]:
    """Return the JSON body of an error response."""
    return {
        "error": {
            "code": exc.code,
            "message": exc.message,
            "field": exc.field,
            "remedy": exc.remedy,
        }
    }


def number_argument(handler: RequestHandler, name: str, default: float) -> float:
    """Return a query argument as a number of seconds, clamped to 0 to 3600.

    Raises
    ------
    InvalidRequestError
        If it is not a number.
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


def _skip_access_log(_handler: RequestHandler) -> None:
    """Disable the access log; requests are counted instead."""


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
