"""Messages between entries and agents, with their envelope and encoding.

Fields are sent by position and without names, so new fields may only be appended.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ..errors import FrameError
from .message import Message
from .outcome import Outcome
from .placement_query import PlacementAnswer, PlacementQuery
from .request import JobSpec
from .shape import Resources
from .upstream_messages import (
    Grant,
    Referral,
    RelayAppend,
    RelayResult,
    VmHeartbeat,
    VmOrders,
    VmReport,
)


class EntryAddress(Struct, frozen=True, array_like=True):
    """Where an entry listens, and its incarnation."""

    name: str
    incarnation: str
    link_url: str
    http_url: str
    region: str


class UpstreamInfo(Struct, frozen=True, array_like=True):
    """An upstream as its agent announces it."""

    name: str
    region: str
    availability_zone: str
    rack: str
    capacity: Resources
    http_url: str = ""


class GangMember(Struct, frozen=True, array_like=True):
    """A gang member that holds a lease or runs on an agent, or is done there.

    A member that is done stays listed while others of its gang still run, so that
    they do not take it for lost.
    """

    attempt: str
    index: int
    size: int
    done: bool


class Lease(Struct, frozen=True, array_like=True):
    """One member of an attempt that occupies an upstream.

    Attributes
    ----------
    size : int
        Number of members of the attempt.
    cell : str
        Guaranteed cell that the job was placed in, '' for none.
    age_s : float
        Seconds since the agent granted the lease.
    """

    attempt: str
    index: int
    spec: JobSpec
    size: int
    cell: str
    age_s: float
    phase: Literal["held", "running", "stopping"]


class CompletedTask(Struct, frozen=True, array_like=True):
    """How a task ended, for run time estimates and the detection of bad upstreams."""

    number: int
    spec: JobSpec
    ran_s: float
    succeeded: bool


class EntryHeartbeat(Message, frozen=True, array_like=True, tag=True):
    """Sent by an entry to each other entry.

    Attributes
    ----------
    clock_s : float
        The sender's monotonic clock.
    echoed_clock_s : float
        The newest `clock_s` that the sender got from the receiver. From it the receiver
        knows by its own clock alone how old the statement can be at most.
    eligible : bool
        Whether the sender may coordinate.
    """

    address: EntryAddress
    clock_s: float
    echoed_clock_s: float
    bundle_version: int
    log_age_s: float
    eligible: bool
    entries: list[EntryAddress]


class AgentHeartbeat(Message, frozen=True, array_like=True, tag=True):
    """Sent by an agent to each entry, regularly and on change.

    `clock_s` and `echoed_clock_s` are as in `EntryHeartbeat`.
    """

    clock_s: float
    echoed_clock_s: float
    inventory_revision: int
    bundle_version: int
    accepting: bool
    gang_members: list[GangMember]


class HeartbeatReply(Message, frozen=True, array_like=True, tag=True):
    """Answer of an entry to an agent's heartbeat.

    Attributes
    ----------
    echoed_clock_s : float
        `clock_s` of the heartbeat that is answered.
    complete_gangs : list of str
        Attempts of which every member holds its lease, runs or is done according to
        recent heartbeats. Attempts of which all members are done are left out.
    """

    clock_s: float
    echoed_clock_s: float
    bundle_version: int
    complete_gangs: list[str]
    entries: list[EntryAddress]


class InventoryRequest(Message, frozen=True, array_like=True, tag=True):
    """Asks an agent for its whole inventory."""


class Inventory(Message, frozen=True, array_like=True, tag=True):
    """All leases on one upstream, and the tasks that ended there."""

    revision: int
    info: UpstreamInfo
    leases: list[Lease]
    completed_tasks: list[CompletedTask]


class BundleOffer(Message, frozen=True, array_like=True, tag=True):
    """The signed bundle in force at the sender, with its log offset."""

    offset: int
    signed: bytes


class StartOrder(Message, frozen=True, array_like=True, tag=True):
    """Asks an agent to grant a lease to one member of an attempt and to start it.

    Attributes
    ----------
    size : int
        Number of members of the attempt.
    cell : str
        Guaranteed cell that the job was placed in, '' for none.
    incarnation : str
        The agent's incarnation that the placement was made for.
    agent_clock_s : float
        The newest clock reading of the agent that the placement was based on. The
        agent refuses orders based on too old a one.
    """

    attempt: str
    index: int
    size: int
    spec: JobSpec
    cell: str
    incarnation: str
    agent_clock_s: float
    bundle_version: int
    work: bytes


class StartReply(Message, frozen=True, array_like=True, tag=True):
    """Whether the agent granted a lease; a refused member may never start there."""

    attempt: str
    index: int
    granted: bool
    code: str


class StopOrder(Message, frozen=True, array_like=True, tag=True):
    """Asks an agent to stop a member, or to prevent that it ever starts there."""

    attempt: str
    index: int
    grace_s: float
    reason: str


class StopReply(Message, frozen=True, array_like=True, tag=True):
    """State of a member after a stop order.

    Attributes
    ----------
    state : str
        `never_started` and `ended` are proven, `stopping` is under way, and `unproven`
        may still have been started by an earlier run of the agent.
    """

    attempt: str
    index: int
    state: Literal["never_started", "stopping", "ended", "unproven"]


class MemberResult(Message, frozen=True, array_like=True, tag=True):
    """Result of one member; resent until acknowledged."""

    attempt: str
    index: int
    job_id: str
    outcome: Outcome
    digest: str
    ran: bool
    preempted: bool


class ResultAck(Message, frozen=True, array_like=True, tag=True):
    """Acknowledges a member's result."""

    attempt: str
    index: int


class PlacementRequest(Message, frozen=True, array_like=True, tag=True):
    """Asks the coordinator to place a job; repeated while the job waits.

    Attributes
    ----------
    excluded : list of str
        Upstreams on which the job may not be placed.
    """

    spec: JobSpec
    age_s: float
    excluded: list[str]


class PlacementWithdrawal(Message, frozen=True, array_like=True, tag=True):
    """Tells the coordinator that a job no longer waits for a placement."""

    job_id: str


class MemberPlacement(Struct, frozen=True, array_like=True):
    """The upstream on which one member is placed.

    Attributes
    ----------
    incarnation : str
        The upstream's agent's incarnation that the placement was made for.
    agent_clock_s : float
        The newest clock reading of that agent that the coordinator had.
    """

    upstream: str
    incarnation: str
    agent_clock_s: float


class PlacementGrant(Message, frozen=True, array_like=True, tag=True):
    """Grants a job the placements of all its members."""

    job_id: str
    members: list[MemberPlacement]
    cell: str
    bundle_version: int


class PlacementStatus(Message, frozen=True, array_like=True, tag=True):
    """Tells why a job waits, or that it is refused because it can never run."""

    job_id: str
    refused: bool
    code: str
    reason: str


class OutcomeQuery(Message, frozen=True, array_like=True, tag=True):
    """Asks another entry for the outcome of a request."""

    query: str
    workspace: str
    job_id: str


class OutcomeAnswer(Message, frozen=True, array_like=True, tag=True):
    """Answer to an outcome query."""

    query: str
    state: str
    outcome: Outcome | None


class CancelRequest(Message, frozen=True, array_like=True, tag=True):
    """Asks the entry that owns a request to cancel it."""

    workspace: str
    job_id: str


AnyMessage = (
    EntryHeartbeat
    | AgentHeartbeat
    | HeartbeatReply
    | InventoryRequest
    | Inventory
    | BundleOffer
    | StartOrder
    | StartReply
    | StopOrder
    | StopReply
    | MemberResult
    | ResultAck
    | PlacementRequest
    | PlacementWithdrawal
    | PlacementGrant
    | PlacementStatus
    | OutcomeQuery
    | OutcomeAnswer
    | CancelRequest
    | VmReport
    | VmHeartbeat
    | VmOrders
    | Grant
    | Referral
    | RelayAppend
    | RelayResult
    | PlacementQuery
    | PlacementAnswer
)


class Envelope(Struct, frozen=True, array_like=True):
    """A message with its sender."""

    sender: Annotated[str, Meta(max_length=64)]
    incarnation: str
    body: AnyMessage


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Envelope)


def encode(envelope: Envelope) -> bytes:
    """Encode an envelope as MessagePack."""
    return _encoder.encode(envelope)


def decode(raw: bytes) -> Envelope:
    """Decode an envelope.

    Raises
    ------
    FrameError
        If the bytes are not a valid envelope.
    """
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise FrameError(
            f"frame does not hold a known message: {exc}",
            remedy="run the same version on all VMs",
        ) from exc


def to_builtins(value: Any) -> Any:
    """Return a copy of builtin types, for JSON output."""
    return msgspec.to_builtins(value)


__all__ = [
    "AgentHeartbeat",
    "AnyMessage",
    "BundleOffer",
    "CancelRequest",
    "CompletedTask",
    "EntryAddress",
    "EntryHeartbeat",
    "Envelope",
    "GangMember",
    "HeartbeatReply",
    "Inventory",
    "InventoryRequest",
    "Lease",
    "MemberPlacement",
    "MemberResult",
    "Message",
    "OutcomeAnswer",
    "OutcomeQuery",
    "PlacementGrant",
    "PlacementRequest",
    "PlacementStatus",
    "PlacementWithdrawal",
    "ResultAck",
    "StartOrder",
    "StartReply",
    "StopOrder",
    "StopReply",
    "UpstreamInfo",
    "decode",
    "encode",
    "to_builtins",
]
