"""Limits how long an agent may extend leases without contact with the planner.

The planner treats a VM's runs as ended once every lease must have expired. Both sides
count from the agent's own clock reading, which the grant echoes, so that a delayed
grant extends nothing.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from ...clock import boottime_s
from ...protocol.upstream_messages import DEFAULT_VALIDITY_S

GRANT_TTL_S = 9.0
"""Leases expire at most this long after the report that the planner answered.

Longer than most losses of contact, so that runs survive them. The runs of a VM that
is lost for good start elsewhere only after this time."""
MAX_CLOCK_DRIFT = 0.02
"""Largest fraction by which an upstream's clock may run slow.

From PROTOCOL, "Running tasks"."""
LEASE_EXPIRY_MARGIN_S = 0.7
"""Allowance for answers in flight and for errors of clock estimates."""
MAX_CALL_DELAY_S = 12.0
"""An unanswered call may still be executed this long after it was sent.

A lease that it extends may count from then. From PROTOCOL and the disruption
`applied_late`."""
MAX_ORDER_AGE_S = 2.0
"""Runs are started only if the newest grant is younger than this."""

LEASE_EXPIRY_S = GRANT_TTL_S * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
"""The planner treats a silent VM's leases as expired this long after the last grant."""


@dataclass(slots=True)
class PlannerGrant:
    """The newest grant from the planner with the highest known term.

    Attributes
    ----------
    echoed_clock_s : float
        Newest clock reading of this agent that the planner has echoed.
    began_s : float
        When this agent process began, by the same clock.
    order_validity_s : float
        Starts may be called for this long after they were decided, by the newest
        orders.
    """

    term: int = 0
    echoed_clock_s: float = float("-inf")
    began_s: float = field(default_factory=boottime_s)
    order_validity_s: float = DEFAULT_VALIDITY_S

    def update(self, term: int, echoed_clock_s: float) -> bool:
        """Apply a planner's message; return whether it is valid.

        It is not if it is from an older term, or echoes a reading that this process
        cannot have sent: the clock starts anew with the VM, so that a reading from
        before a restart may lie far ahead.
        """
        if term < self.term or not self.began_s <= echoed_clock_s <= boottime_s():
            return False
        if term > self.term:
            self.term = term
        self.echoed_clock_s = max(self.echoed_clock_s, echoed_clock_s)
        return True

    @property
    def lease_left_s(self) -> float:
        """Seconds from now until which leases may extend."""
        return self.echoed_clock_s + GRANT_TTL_S - boottime_s()

    @property
    def runs_left_s(self) -> float:
        """Seconds from now until all runs must have ended, unless a grant arrives.

        An earlier process of the agent may have had grants until this one began.
        """
        return max(self.echoed_clock_s, self.began_s) + GRANT_TTL_S - boottime_s()

    @property
    def echo_age_s(self) -> float:
        """Age of the newest clock reading that the planner has echoed, in seconds."""
        return boottime_s() - self.echoed_clock_s

    @property
    def may_start(self) -> bool:
        """Whether the grant is recent enough to start runs."""
        return self.echo_age_s < MAX_ORDER_AGE_S


__all__ = [
    "LEASE_EXPIRY_MARGIN_S",
    "LEASE_EXPIRY_S",
    "MAX_CALL_DELAY_S",
    "MAX_CLOCK_DRIFT",
    "PlannerGrant",
]
