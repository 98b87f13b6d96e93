"""Validated JSON settings of the roles that serve durable jobs."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from .protocol.bounds import MAX_COUNT, HostPort, ListenAddress
from .settings import HexKey

VmName = Annotated[str, Meta(min_length=1, max_length=64)]
Port = Annotated[int, Meta(ge=0, le=65535)]
Milliseconds = Annotated[int, Meta(ge=1, le=MAX_COUNT)]
Seconds = Annotated[float, Meta(gt=0, le=MAX_COUNT)]


MIN_ORDER_VALIDITY_MS = 1000
"""Shortest validity of an order to start a run; time for one call."""


class StoreSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Address of the store and its record size limit.

    Attributes
    ----------
    record_bytes : int
        Maximum size of a record.
    """

    address: HostPort
    record_bytes: Annotated[int, Meta(ge=1024, le=MAX_COUNT)] = 262_144


class JobBounds(Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds that the operator promises to callers.

    Attributes
    ----------
    key_revocation_ms : int
        Maximum time for which a revoked key is still accepted.
    stop_grace_s : float
        Time from SIGTERM until the process is killed.
    reclaim_ms : int
        Maximum time until a guaranteed job has started.
    state_kept_s : float
        Time for which the state of a finished job can be queried.
    evacuation_ms : int
        Maximum time until nothing more is started in a zone that is taken out.
    config_apply_ms : int
        Maximum time until entries act on a new config.
    """

    key_revocation_ms: Milliseconds
    stop_grace_s: Seconds
    reclaim_ms: Milliseconds = 2900
    state_kept_s: Seconds = 120.0
    evacuation_ms: Milliseconds = 5000
    config_apply_ms: Milliseconds = 2000

    @property
    def order_validity_s(self) -> float:
        """Seconds for which a start may be called for after it was decided.

        It may have been decided until an entry has learnt that the zone is out.
        """
        validity_ms = self.evacuation_ms - self.config_apply_ms
        return max(validity_ms, MIN_ORDER_VALIDITY_MS) / 1000


class JobEntrySettings(
    Struct, frozen=True, forbid_unknown_fields=True, tag_field="role", tag="job-entry"
):
    """Settings of an entry for durable jobs."""

    name: VmName
    availability_zone: VmName
    cluster_key: HexKey
    address: VmName
    link_port: Port
    metrics_port: Port
    callers_address: ListenAddress
    readiness_address: ListenAddress
    store: StoreSettings
    bounds: JobBounds


class JobAgentSettings(
    Struct, frozen=True, forbid_unknown_fields=True, tag_field="role", tag="job-agent"
):
    """Settings of an agent for durable jobs.

    Attributes
    ----------
    max_lease_ms : int
        Maximum lease that an upstream accepts.
    """

    name: VmName
    availability_zone: VmName
    cluster_key: HexKey
    address: VmName
    metrics_port: Port
    check_in_address: ListenAddress
    max_lease_ms: Milliseconds
    store: StoreSettings


JobSettings = JobEntrySettings | JobAgentSettings

__all__ = [
    "JobAgentSettings",
    "JobBounds",
    "JobEntrySettings",
    "JobSettings",
    "StoreSettings",
]
