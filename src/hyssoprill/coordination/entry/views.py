"""Formats the coordinator's plan as rows for the operators' API."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from ..policy.cluster_state import ClusterState


def waiting_rows(state: ClusterState) -> list[dict[str, Any]]:
    """Return one row for each waiting job."""
    now_s = time.monotonic()
    return [
        {
            "job": job.spec.id,
            "workspace": job.spec.workspace,
            "state": "waiting",
            "age_s": round(now_s - job.submitted_s, 1),
            "code": job.code,
            "reason": job.reason,
            "upstreams": [],
        }
        for job in state.waiting.values()
    ]


def running_rows(state: ClusterState) -> list[dict[str, Any]]:
    """Return one row for each running job."""
    now_s = time.monotonic()
    return [
        {
            "job": job.spec.id,
            "workspace": job.spec.workspace,
            "state": "stopping" if job.stopping else "running",
            "age_s": round(now_s - job.started_s, 1),
            "code": "guaranteed" if job.cell else "beyond_guarantee",
            "reason": job.cell,
            "upstreams": [name for name, _ in job.place],
        }
        for job in state.running.values()
    ]


def upstream_rows(state: ClusterState) -> list[dict[str, Any]]:
    """Return one row for each upstream, sorted by name."""
    return [
        {
            "upstream": one.name,
            "availability_zone": one.availability_zone,
            "rack": one.rack,
            "accelerators": one.capacity.accelerators,
            "free_accelerators": one.capacity.accelerators - one.used.accelerators,
            "cores": one.capacity.cores,
            "memory_gb": one.capacity.memory_gb,
            "slots": one.capacity.slots,
            "free_slots": one.capacity.slots - one.used.slots,
            "jobs": len(one.jobs),
            "closed": state.closed_causes(one.name),
        }
        for one in sorted(state.pool.upstreams.values(), key=lambda u: u.name)
    ]


def guarantees_at_risk(state: ClusterState) -> list[str]:
    """Return the ids of guaranteed cells that do not fit into the pool now."""
    return [cell.id for cell in state.cells.unplaced()]


__all__ = ["guarantees_at_risk", "running_rows", "upstream_rows", "waiting_rows"]
