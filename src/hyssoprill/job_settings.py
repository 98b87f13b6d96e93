"""Validated JSON settings of the roles that serve durable jobs."""

from __future__ import annotations

from typing import Annotated, Literal

from msgspec import Meta, Struct

from .ports.store import DEFAULT_RECORD_BYTES
from .protocol.bounds import MAX_COUNT, HostPort, ListenAddress
from .settings import HexKey, Token

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
    record_bytes: Annotated[int, Meta(ge=1024, le=MAX_COUNT)] = DEFAULT_RECORD_BYTES


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


Switch = Literal["on", "off", "auto"]
"""Whether a part is in force; `auto`: where the deployment's figures call for it."""


class SchedulingSettings(Struct, frozen=True, forbid_unknown_fields=True):
    """Decisions under hard load, and the figures of the deployment that they read.

    Attributes
    ----------
    caller_costs, fair_shares, upstream_speeds, upstream_lifetimes, run_time_tails : str
        Switches of the parts; see `DispatchTerms`.
    availability_zones : tuple of str
        All availability zones of the deployment.
    max_lease_ms : int
        Maximum lease that an upstream accepts.
    stop_ms, restore_ms : int
        Maximum time of a stop, and the time to resume from a checkpoint.
    checkpoint_interval_s : float
        Work between two checkpoints of a run.
    min_zones : int
        `auto` needs at least so many availability zones.
    min_lease_ms : int
        `auto` needs at least such a maximum lease.
    max_stop_ms : int
        `auto` needs stops to take at most so long.
    min_skew : float
        With `auto`, shares are fair where the largest guarantee is at least this
        multiple of the mean.
    """

    caller_costs: Switch = "off"
    fair_shares: Switch = "off"
    upstream_speeds: Switch = "off"
    upstream_lifetimes: Switch = "off"
    run_time_tails: Switch = "off"
    availability_zones: tuple[VmName, ...] = ()
    max_lease_ms: Milliseconds = 6000
    stop_ms: Milliseconds = 400
    restore_ms: Milliseconds = 250
    checkpoint_interval_s: Seconds = 2.0
    min_zones: Annotated[int, Meta(ge=1, le=MAX_COUNT)] = 4
    min_lease_ms: Milliseconds = 8000
    max_stop_ms: Milliseconds = 500
    min_skew: Annotated[float, Meta(ge=1, le=MAX_COUNT)] = 2.0

    @property
    def switches(self) -> dict[str, Switch]:
        """The switch of each part."""
        return {
            "caller_costs": self.caller_costs,
            "fair_shares": self.fair_shares,
            "upstream_speeds": self.upstream_speeds,
            "upstream_lifetimes": self.upstream_lifetimes,
            "run_time_tails": self.run_time_tails,
        }


class JobEntrySettings(
    Struct, frozen=True, forbid_unknown_fields=True, tag_field="role", tag="job-entry"
):
    """Settings of an entry for durable jobs.

    Attributes
    ----------
    operator_token : str or None
        Key of operators' questions on the metrics port; None to answer none.
    """

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
    scheduling: SchedulingSettings = SchedulingSettings()
    operator_token: Token | None = None


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
    "SchedulingSettings",
    "StoreSettings",
    "Switch",
]
