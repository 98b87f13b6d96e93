"""Messages between the planner and the agents of durable jobs.

An agent reports what its upstreams run; the planner answers with what they are to
run. Both are whole states with a number, so that a lost message does no harm.
"""

from __future__ import annotations

from msgspec import Struct

from .job import ZERO_AMOUNTS, ResourceAmounts
from .message import Message

FULL_PROGRESS_PERCENT = 100
"""Tasks that last stay at this progress while they work; from PROTOCOL, "Jobs"."""


class RunReport(Struct, frozen=True, array_like=True):
    """A run that an upstream lists as running."""

    task: str
    run: int
    checkpoint: str
    percent: int


class EndReport(Struct, frozen=True, array_like=True):
    """A run that an upstream lists as ended, with the number of that end."""

    number: int
    task: str
    run: int
    outcome: str
    checkpoint: str


class UpstreamReport(Struct, frozen=True, array_like=True):
    """One upstream as its agent sees it.

    Attributes
    ----------
    key : str
        Names one lifetime of the upstream.
    closed : list of tuple
        Runs of `stopping` that can never start any more and left no end.
    refused : list of tuple
        Runs that the upstream refused to start, with the reason.
    stalled : list of tuple
        Runs that make no progress, and since when by the agent's clock.
    remaining_ms : int
        Least time that a draining upstream stays; -1 where not told.
    doubt_s : float
        So long after the report a call in doubt may still lengthen the lease.
    """

    key: str
    group: str
    zone: str
    accepting: bool
    capacity: ResourceAmounts = ZERO_AMOUNTS
    labels: list[str] = []
    running: list[RunReport] = []
    ended: list[EndReport] = []
    closed: list[tuple[str, int]] = []
    refused: list[tuple[str, int, str]] = []
    stalled: list[tuple[str, int, float]] = []
    remaining_ms: int = -1
    draining: bool = False
    lease_uncertainty_s: float = 0.0


class VmReport(Message):
    """All upstreams of one VM, and the lifetimes known to have ended.

    Attributes
    ----------
    tick_s : float
        The agent's clock when the report was sent.
    number : int
        Rises with each change of the report.
    """

    vm: str
    clock_s: float
    number: int
    upstreams: list[UpstreamReport]
    ended_keys: list[str]


class VmHeartbeat(Message):
    """Says that a report still holds, and the newest orders by term and number."""

    vm: str
    clock_s: float
    number: int
    term: int
    orders_number: int


class RunOrder(Struct, frozen=True, array_like=True):
    """A run that is to be on an upstream."""

    task: str
    run: int
    payload: str
    checkpoint: str


class UpstreamOrders(Struct, frozen=True, array_like=True):
    """Everything that one upstream is to run.

    Attributes
    ----------
    stopping : list of tuple
        Runs that are to end and whose end is not stored yet.
    stored_upto : int
        Ends up to this number are stored.
    """

    key: str
    runs: list[RunOrder]
    stopping: list[tuple[str, int]]
    stored_upto: int


class VmOrders(Message):
    """What the upstreams of one VM are to run, replacing earlier orders.

    Attributes
    ----------
    echo_s : float
        The newest `tick_s` that the planner had from the agent.
    """

    term: int
    number: int
    echoed_clock_s: float
    upstreams: list[UpstreamOrders]


class Grant(Message):
    """Says until when the agent may extend leases: from its own tick on.

    Attributes
    ----------
    seen : int
        Number of the agent's report that the planner knows; 0 for none.
    """

    term: int
    echoed_clock_s: float
    report_number: int


class Referral(Message):
    """Names the entry that plans, as far as the sender knows."""

    term: int
    planner: str
    link_url: str


class RelayAppend(Message):
    """Asks another entry to append records to the jobs, as key and value."""

    token: str
    records: list[tuple[str, bytes]]


class RelayResult(Message):
    """Says what became of the append: `stored`, `refused` or `in_doubt`."""

    token: str
    code: str
    offset: int


__all__ = [
    "FULL_PROGRESS_PERCENT",
    "EndReport",
    "Grant",
    "Referral",
    "RelayAppend",
    "RelayResult",
    "RunOrder",
    "RunReport",
    "UpstreamOrders",
    "UpstreamReport",
    "VmHeartbeat",
    "VmOrders",
    "VmReport",
]
