"""Serves the HTTP API of callers, and the balancer's health check."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from tornado.web import HTTPError

from ...errors import InvalidRequestError
from ...protocol.request import parse_request
from ...transport.http_server import Handler, error_body, number_argument
from ..policy.scheduler import NEVER_FITS

if TYPE_CHECKING:
    from ...protocol.outcome import Outcome
    from .entry import Entry

UNPROCESSABLE_STATUS = 422


class CallerHandler(Handler):
    """Base class of handlers that require a caller's token."""

    def initialize(self, entry: Entry) -> None:
        """Store the entry that serves the call."""
        self.entry = entry
        self.job_id = ""

    def prepare(self) -> None:
        """Look up the token's workspace, or refuse the call."""
        self.workspace = self.entry.callers.workspace_of(self.token)


class HealthHandler(Handler):
    """Tells the balancer whether to send new requests."""

    def initialize(self, entry: Entry) -> None:
        """Store the entry that serves the call."""
        self.entry = entry

    def get(self) -> None:
        """Answer 200, or 503 while the entry drains."""
        leaving = self.entry.is_draining
        self.reply({"leaving": leaving}, 503 if leaving else 200)


class RequestsHandler(CallerHandler):
    """Runs requests while their callers wait on the connection."""

    async def post(self) -> None:
        """Run a request and answer with its outcome."""
        callers = self.entry.callers
        body = parse_request(self.request.body)
        spec = callers.spec_of(self.workspace, body, detached=False)
        self.job_id = spec.id
        self.is_idempotent = spec.idempotent
        self.entry.metrics.count("requests")
        outcome = await callers.run(spec, body.work)
        self.entry.metrics.count(f"outcomes_{outcome.status}")
        self.job_id = ""
        if not self.request.connection.stream.closed():
            self._reply_with(spec.id, outcome)

    def _reply_with(self, job_id: str, outcome: Outcome) -> None:
        """Answer with an outcome, with status 422 if no pool could hold the shape."""
        answer = {"id": job_id, "outcome": msgspec.to_builtins(outcome)}
        if outcome.code != NEVER_FITS:
            self.reply(answer)
            return
        exc = InvalidRequestError(
            "no topology of the pool can hold this shape",
            code=NEVER_FITS,
            field="shape",
            remedy=outcome.remedy,
        )
        self.reply({**answer, **error_body(exc)}, UNPROCESSABLE_STATUS)

    def on_connection_close(self) -> None:
        """Cancel an idempotent request whose caller has disconnected."""
        runner = self.entry.requests.runner_of(self.workspace, self.job_id)
        if runner is not None and self.is_idempotent:
            self.entry.metrics.count("callers_gone")
            runner.cancel()


class JobsHandler(CallerHandler):
    """Accepts long jobs."""

    async def post(self) -> None:
        """Store a long job and answer with its id."""
        callers = self.entry.callers
        body = parse_request(self.request.body)
        spec = callers.spec_of(self.workspace, body, detached=True)
        self.entry.metrics.count("jobs")
        status, answer = await callers.submit(spec, body.work)
        self.reply(answer, status)


class OutcomeHandler(CallerHandler):
    """Looks up and cancels requests and long jobs by id."""

    async def get(self, job_id: str) -> None:
        """Answer with state and outcome; `wait_s` asks to wait for the end."""
        wait_s = number_argument(self, "wait_s", 0.0)
        answer = await self.entry.callers.look_up(self.workspace, job_id, wait_s=wait_s)
        if answer["state"] == "not_here":
            raise HTTPError(404, reason="no such request of this workspace")
        self.reply(answer)

    async def delete(self, job_id: str) -> None:
        """Request that a job stop, and answer without waiting for its end."""
        answer: dict[str, Any] = await self.entry.callers.cancel(self.workspace, job_id)
        self.reply(answer, 202)


def caller_routes(entry: Entry) -> list[Any]:
    """Return the routes for callers and the balancer."""
    services = {"entry": entry}
    return [
        ("/health", HealthHandler, services),
        ("/v1/requests", RequestsHandler, services),
        ("/v1/jobs", JobsHandler, services),
        ("/v1/(?:requests|jobs)/([A-Za-z0-9_.:-]+)", OutcomeHandler, services),
    ]


__all__ = ["caller_routes"]
