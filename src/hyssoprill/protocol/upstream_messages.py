"""Messages between the planner and the agents of durable jobs.

An agent reports what its upstreams run; the planner answers with what they are to
run. Both messages carry the whole state with a number, so a lost one does no harm.
"""

from __future__ import annotations

from msgspec import Struct

from .bounds import Count, Quantity, SignedCount
from .job import ZERO_AMOUNTS, ResourceAmounts
from .message import Message
from .upstream_key import KeyText

FULL_PROGRESS_PERCENT = 100
"""Progress at which a long-running task stays while it works; from PROTOCOL, "Jobs"."""

DEFAULT_VALIDITY_S = 3.0
"""Validity of orders that do not name it."""

ORDER_EXPIRED = "order expired"
"""Reason of a refused run whose upstream was not called in time."""
START_NOT_TAKEN = "start not taken in time"
"""Reason of a refused run whose upstream was called in time and did not start it."""
GRANT_ENDED = "the grant ended"
"""Reason of a refused run that its agent withdrew without contact with a planner."""


class RunReport(Struct, frozen=True, array_like=True):
    """A run that an upstream lists as running.

    Attributes
    ----------
    checkpoint : str
        Newest checkpoint that the run has saved, '' for none.
    percent : int
        Progress of the run.
    """

    task: str
    run: Count
    checkpoint: str
    percent: Count


class EndReport(Struct, frozen=True, array_like=True):
    """A run that an upstream lists as ended.

    Attributes
    ----------
    number : int
        Number of the end, counted on the upstream.
    outcome : str
        How the run ended, as the upstream names it.
    checkpoint : str
        Newest checkpoint that the run has saved, '' for none.
    """

    number: Count
    task: str
    run: Count
    outcome: str
    checkpoint: str


class UpstreamReport(Struct, frozen=True, array_like=True):
    """State of one upstream as its agent knows it.

    Attributes
    ----------
    key : str
        Identifies one incarnation of the upstream; see `UpstreamKey`.
    closed : list of tuple
        Runs ordered to stop that can never start any more and that the upstream does
        not list as ended.
    refused : list of tuple
        Runs that the upstream refused to start, with the reason.
    stalled : list of tuple
        Runs that make no progress, and since when by the agent's clock.
    remaining_ms : int
        Minimum time that a draining upstream still stays; -1 if not known.
    lease_uncertainty_s : float
        For this long after the report, a call without an answer may still extend the
        lease.
    crashed : bool
        Whether the incarnation ended without notice while its agent went on.
    unlisted : list of tuple
        Where it crashed, the runs that a call may have started and that no listing has
        named since, and whether a call is known to have arrived. If there are none, the
        runs that were only listed right after the call.
    unsettled : list of tuple
        Runs of an ended incarnation that a later one may run, or may still start.
    lapsed_upto : int
        The lease has certainly lapsed since the ends up to this number were listed.
    """

    key: KeyText
    group: str
    zone: str
    accepting: bool
    capacity: ResourceAmounts = ZERO_AMOUNTS
    labels: list[str] = []
    running: list[RunReport] = []
    ended: list[EndReport] = []
    closed: list[tuple[str, Count]] = []
    refused: list[tuple[str, Count, str]] = []
    stalled: list[tuple[str, Count, float]] = []
    remaining_ms: SignedCount = -1
    draining: bool = False
    lease_uncertainty_s: float = 0.0
    crashed: bool = False
    unlisted: list[tuple[str, Count, bool]] = []
    unsettled: list[tuple[str, Count]] = []
    lapsed_upto: Count = 0


class VmReport(Message):
    """State of all upstreams of one VM.

    Attributes
    ----------
    clock_s : float
        The agent's clock when the report was sent.
    number : int
        Rises with each change of the report.
    ended_keys : list of str
        Keys of upstream incarnations that are known to have ended.
    last_reports : list of UpstreamReport
        Last state of some of these, as far as it tells of runs.
    answer_delay_s : float
        How late the planner answers this agent, measured with the agent's clock.
    answer_term : int
        Term of that planner; 0 if none has answered.
    """

    vm: str
    clock_s: float
    number: Count
    upstreams: list[UpstreamReport]
    ended_keys: list[KeyText]
    last_reports: list[UpstreamReport] = []
    answer_delay_s: Quantity = 0.0
    answer_term: Count = 0


class VmHeartbeat(Message):
    """Confirms that a report still holds and names the newest orders received.

    Attributes
    ----------
    clock_s : float
        The agent's clock when the heartbeat was sent.
    number : int
        Number of the report that still holds.
    term : int
        Term of the newest orders.
    orders_number : int
        Number of the newest orders.
    answer_delay_s, answer_term
        As in `VmReport`.
    """

    vm: str
    clock_s: float
    number: Count
    term: Count
    orders_number: Count
    answer_delay_s: Quantity = 0.0
    answer_term: Count = 0


class RunOrder(Struct, frozen=True, array_like=True):
    """A run that is to run on an upstream.

    Attributes
    ----------
    checkpoint : str
        Checkpoint to resume from, '' to start afresh.
    decided_ms : int
        When the start was decided, in milliseconds since 1970; 0 if not known. A later
        time for the same run is a new decision, which confirms the start.
    """

    task: str
    run: Count
    payload: str
    checkpoint: str
    decided_ms: int = 0


class UpstreamOrders(Struct, frozen=True, array_like=True):
    """Everything that one upstream is to run.

    Attributes
    ----------
    stopping : list of tuple
        Runs that are to be stopped and whose end is not stored yet.
    stored_upto : int
        Ends up to this number are stored, so the upstream need not keep them.
    must_lapse : bool
        Whether the lease has to lapse before further ends are acknowledged. It is not
        extended, and no run is started, once nothing runs there.
    """

    key: KeyText
    runs: list[RunOrder]
    stopping: list[tuple[str, Count]]
    stored_upto: Count
    must_lapse: bool = False


class VmOrders(Message):
    """What the upstreams of one VM are to run, replacing earlier orders.

    Attributes
    ----------
    echoed_clock_s : float
        The newest `clock_s` that the planner had from the agent.
    sent_ms : int
        When the planner sent the message, in milliseconds since 1970.
    validity_s : float
        Starts may be called for this long after they were decided.
    echo_age_s : float
        For how long, as it sent the message, the planner had had the agent's message
        whose clock it echoes; 0 if not known. Measured on a clock that is never set.
    """

    term: Count
    number: Count
    echoed_clock_s: float
    upstreams: list[UpstreamOrders]
    sent_ms: int = 0
    validity_s: float = DEFAULT_VALIDITY_S
    echo_age_s: float = 0.0


class Grant(Message):
    """Allows the agent to extend leases for a time that starts at `echoed_clock_s`.

    Attributes
    ----------
    echoed_clock_s : float
        The newest `clock_s` that the planner had from the agent.
    report_number : int
        Number of the agent's report that the planner knows; 0 for none.
    """

    term: Count
    echoed_clock_s: float
    report_number: Count


class Referral(Message):
    """Names the entry that is the planner, as far as the sender knows; '' for none."""

    term: Count
    planner: str
    link_url: str


class RelayAppend(Message):
    """Asks another entry to append records, as key and value, to the jobs topic."""

    token: str
    records: list[tuple[str, bytes]]


class RelayResult(Message):
    """Result of a relayed append: `stored`, `refused` or `in_doubt`."""

    token: str
    code: str
    offset: Count


__all__ = [
    "DEFAULT_VALIDITY_S",
    "FULL_PROGRESS_PERCENT",
    "GRANT_ENDED",
    "ORDER_EXPIRED",
    "START_NOT_TAKEN",
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
