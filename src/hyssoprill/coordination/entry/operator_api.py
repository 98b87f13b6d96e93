"""Serves the operators' HTTP API of an entry."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

from ...errors import HyssoprillError
from ...protocol.messages import to_builtins
from ...transport.http_client import JsonClient
from ...transport.http_server import DumpHandler, MetricsHandler, OperatorHandler
from .views import guarantees_at_risk, running_rows, upstream_rows, waiting_rows

if TYPE_CHECKING:
    from .entry import Entry

FORWARD_TIMEOUT_S = 2.0


class NoCoordinatorError(HyssoprillError):
    """No entry is known to coordinate the region now."""

    code = "no_coordinator"
    http_status = 503


class StatusHandler(OperatorHandler):
    """Serves the bundle versions of all processes and the guarantees at risk."""

    def get(self) -> None:
        """Answer with the status as this entry knows it."""
        self.reply(status_of(self.services["entry"]))


class BundleHandler(OperatorHandler):
    """Serves the signed bundle in force."""

    def get(self) -> None:
        """Answer with version, offset and signed bundle."""
        bundles = self.services["entry"].bundles
        signed = to_builtins(bundles.signed) if bundles.signed else None
        answer = {
            "version": bundles.version,
            "offset": bundles.offset,
            "signed": signed,
        }
        self.reply(answer)


class VerdictHandler(OperatorHandler):
    """Serves the result of publishing a bundle."""

    def get(self, record_id: str) -> None:
        """Answer with the publish result, or null while there is none."""
        verdict = self.services["entry"].bundles.publish_results.get(record_id)
        self.reply({"verdict": to_builtins(verdict) if verdict else None})


class CoordinatorHandler(OperatorHandler):
    """Base class of handlers that answer from the coordinator's plan."""

    async def get(self, *args: str) -> None:
        """Answer, or forward the call to the coordinator once."""
        entry: Entry = self.services["entry"]
        if entry.coordinator.is_active:
            self.reply(self.answer(entry, *args))
            return
        name = entry.membership.coordinator(False)
        peer = entry.membership.peers.get(name or "")
        if peer is None or "forwarded" in self.request.arguments:
            raise NoCoordinatorError(
                "no entry coordinates the region now", remedy="try again in 3 s"
            )
        client = JsonClient(
            peer.address.http_url, {"Authorization": f"Bearer {self.operator_token}"}
        )
        try:
            status, body = await client.call(
                "GET", f"{self.request.path}?forwarded=1", timeout_s=FORWARD_TIMEOUT_S
            )
        except OSError as exc:
            raise NoCoordinatorError(
                f"coordinator {name!r} does not answer", remedy="try again in 3 s"
            ) from exc
        finally:
            client.close()
        self.reply(body, status)

    def answer(self, entry: Entry, *args: str) -> Any:
        """Return the body of the answer from the coordinator's plan."""
        raise NotImplementedError


class UpstreamsHandler(CoordinatorHandler):
    """Lists the upstreams."""

    def answer(self, entry: Entry, *args: str) -> Any:
        """Return a row for each upstream."""
        return upstream_rows(entry.coordinator.scheduler.state)


class JobsHandler(CoordinatorHandler):
    """Lists the running and waiting jobs."""

    def answer(self, entry: Entry, *args: str) -> Any:
        """Return a row for each running and waiting job."""
        state = entry.coordinator.scheduler.state
        return [*running_rows(state), *waiting_rows(state)]


class ZonesHandler(CoordinatorHandler):
    """Lists the availability zones with their capacity."""

    def answer(self, entry: Entry, *args: str) -> Any:
        """Return a row for each availability zone."""
        rows: dict[str, dict[str, Any]] = {}
        for one in upstream_rows(entry.coordinator.scheduler.state):
            name = one["availability_zone"]
            row = rows.setdefault(
                name,
                {
                    "availability_zone": name,
                    "state": entry.bundles.bundle.zone_policy(name).state,
                    "upstreams": 0,
                    "accelerators": 0,
                    "free_accelerators": 0,
                    "jobs": 0,
                },
            )
            row["upstreams"] += 1
            for field in ("accelerators", "free_accelerators", "jobs"):
                row[field] += one[field]
        return list(rows.values())


class ExplainHandler(CoordinatorHandler):
    """Explains why a job waits."""

    def answer(self, entry: Entry, *args: str) -> Any:
        """Return code and reason of one job's state."""
        code, reason = entry.coordinator.scheduler.explain(args[0])
        return {"job": args[0], "code": code, "reason": reason}


def status_of(entry: Entry) -> dict[str, Any]:
    """Return what one entry knows of processes, their bundles and guarantees."""
    now_s = time.monotonic()
    peers = [
        {
            "process": peer.address.name,
            "role": "entry",
            "bundle_version": peer.bundle_version,
            "silent_s": round(now_s - peer.last_heard_s, 1),
            "http_url": peer.address.http_url,
        }
        for peer in entry.membership.peers.values()
    ]
    agents = [
        {
            "process": agent.name,
            "role": "agent",
            "bundle_version": agent.bundle_version,
            "silent_s": round(agent.silence_s, 1),
            "http_url": agent.info.http_url if agent.info else "",
        }
        for agent in entry.membership.agents.values()
    ]
    own = {
        "process": entry.cfg.name,
        "role": "entry",
        "bundle_version": entry.bundles.version,
        "silent_s": 0.0,
        "http_url": entry.membership.own.http_url,
    }
    return {
        "entry": entry.cfg.name,
        "version": entry.bundles.version,
        "log_up": entry.follower.is_up,
        "coordinator": entry.membership.coordinator(entry.is_eligible()),
        "why_no_start": entry.authority.denial_reason(),
        "processes": [own, *peers, *agents],
        "guarantees_at_risk": guarantees_at_risk(entry.coordinator.scheduler.state),
    }


def dump_entry(entry: Entry) -> dict[str, Any]:
    """Return the state of an entry for diagnosis, without secrets."""
    membership = entry.membership
    return {
        "role": "entry",
        "name": entry.cfg.name,
        "incarnation": entry.incarnation,
        "leaving": entry.refuses_requests,
        "status": status_of(entry),
        "bundle": to_builtins(entry.bundles.bundle),
        "links": entry.hub.dialled_urls,
        "agents": {
            agent.name: {
                "incarnation": agent.incarnation,
                "silence_s": round(agent.silence_s, 3),
                "accepting": agent.accepting,
                "bundle_version": agent.bundle_version,
                "leases": to_builtins(agent.leases),
            }
            for agent in membership.agents.values()
        },
        "requests": {
            job_id: {"state": one.state, "code": one.code, "reason": one.reason}
            for job_id, one in entry.requests.runners.items()
        },
        "open_jobs": sorted(entry.jobs.open_jobs),
        "claims": len(entry.jobs.claims),
        "outcomes": len(entry.jobs.outcomes),
        "running": running_rows(entry.coordinator.scheduler.state),
        "waiting": waiting_rows(entry.coordinator.scheduler.state),
        "counters": entry.metrics.totals,
    }


def operator_routes(entry: Entry) -> list[Any]:
    """Return the routes for operators."""
    services = {
        "operator_token": entry.cfg.operator_token,
        "entry": entry,
        "metrics": entry.metrics,
        "dump": lambda: dump_entry(entry),
    }
    prefix = "/v1/operator"
    return [
        (f"{prefix}/status", StatusHandler, services),
        (f"{prefix}/bundle", BundleHandler, services),
        (f"{prefix}/verdict/(.+)", VerdictHandler, services),
        (f"{prefix}/upstreams", UpstreamsHandler, services),
        (f"{prefix}/jobs", JobsHandler, services),
        (f"{prefix}/availability-zones", ZonesHandler, services),
        (f"{prefix}/explain/(.+)", ExplainHandler, services),
        (f"{prefix}/dump", DumpHandler, services),
        ("/metrics", MetricsHandler, services),
    ]


__all__ = ["dump_entry", "operator_routes", "status_of"]
