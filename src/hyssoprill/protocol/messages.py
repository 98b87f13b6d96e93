"""Messages between entries and agents.

Field names are given by position on the wire, so fields are only ever appended.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta, Struct

from ..errors import FrameError
from .message import Message
from .outcome import Outcome
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
    """Where an entry listens, and which run of it."""

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
    """A gang member that an agent holds, runs, or saw done.

    A member that is done stays listed while others of its gang still run, so that
    they do not take it for lost.
    """

    attempt: str
    index: int
    size: int
    done: bool


class Lease(Struct, frozen=True, array_like=True):
    """One member of an attempt that occupies an upstream."""

    attempt: str
    index: int
    spec: JobSpec
    size: int
    cell: str
    age_s: float
    phase: Literal["held", "running", "stopping"]


class CompletedTask(Struct, frozen=True, array_like=True):
    """How a task ended, for those who learn from it."""

    number: int
    spec: JobSpec
    ran_s: float
    succeeded: bool


class EntryHeartbeat(Message, frozen=True, array_like=True, tag=True):
    """Sent by an entry to each other entry.

    `tick` is the sender's monotonic clock, `echo_tick` the last tick that it had
    from the receiver; so the receiver knows from its own clock alone how old the
    statement can be at the most.
    """

    address: EntryAddress
    clock_s: float
    echoed_clock_s: float
    bundle_version: int
    log_age_s: float
    eligible: bool
    entries: list[EntryAddress]


class AgentHeartbeat(Message, frozen=True, array_like=True, tag=True):
    """Sent by an agent to each entry, regularly and on change."""

    clock_s: float
    echoed_clock_s: float
    inventory_revision: int
    bundle_version: int
    accepting: bool
    gang_members: list[GangMember]


class HeartbeatReply(Message, frozen=True, array_like=True, tag=True):
    """Answer of an entry to an agent's heartbeat.

    `whole_gangs` are the attempts of which every member was seen held or
    running within the last heartbeat interval. `echo_tick` is the tick of the
    heartbeat that is answered.
    """

    clock_s: float
    echoed_clock_s: float
    bundle_version: int
    complete_gangs: list[str]
    entries: list[EntryAddress]


class InventoryRequest(Message, frozen=True, array_like=True, tag=True):
    """Asks an agent for its whole inventory."""


class Inventory(Message, frozen=True, array_like=True, tag=True):
    """All that occupies one upstream."""

    revision: int
    info: UpstreamInfo
    leases: list[Lease]
    completed_tasks: list[CompletedTask]


class BundleOffer(Message, frozen=True, array_like=True, tag=True):
    """The signed bundle in force at the sender, with its log offset."""

    offset: int
    signed: bytes


class StartOrder(Message, frozen=True, array_like=True, tag=True):
    """Asks an agent to hold and start one member of an attempt."""

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
    """Whether the agent granted a lease; a refusal leaves a tombstone."""

    attempt: str
    index: int
    granted: bool
    code: str


class StopOrder(Message, frozen=True, array_like=True, tag=True):
    """Asks an agent to stop an attempt, or to leave a tombstone for it."""

    attempt: str
    index: int
    grace_s: float
    reason: str


class StopReply(Message, frozen=True, array_like=True, tag=True):
    """State of an attempt after a stop order."""

    attempt: str
    index: int
    state: Literal["never_started", "stopping", "ended", "unproven"]


class MemberResult(Message, frozen=True, array_like=True, tag=True):
    """End of one member; resent until acknowledged."""

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
    """Asks the coordinator for a place; repeated while the job waits."""

    spec: JobSpec
    age_s: float
    excluded: list[str]


class PlacementWithdrawal(Message, frozen=True, array_like=True, tag=True):
    """Tells the coordinator that a job waits no longer."""

    job_id: str


class MemberPlacement(Struct, frozen=True, array_like=True):
    """A member's place in a placement."""

    upstream: str
    incarnation: str
    agent_clock_s: float


class PlacementGrant(Message, frozen=True, array_like=True, tag=True):
    """Places for all members of a job."""

    job_id: str
    members: list[MemberPlacement]
    cell: str
    bundle_version: int


class PlacementStatus(Message, frozen=True, array_like=True, tag=True):
    """Why a job waits, or that it can never run."""

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
        Where the bytes are no envelope.
    """
    try:
        return _decoder.decode(raw)
    except (msgspec.DecodeError, RecursionError) as exc:
        raise FrameError(
            f"frame does not hold a known message: {exc}",
            remedy="run the same version on all VMs",
        ) from exc


def to_builtins(value: Any) -> Any:
    """Return a JSON-compatible copy, for dumps."""
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
