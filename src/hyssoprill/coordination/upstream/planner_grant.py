"""Until when an agent may extend leases without hearing from the planner.

The planner counts a VM's runs as ended once no lease can be left. Both sides reckon
from the agent's own tick, so that a delayed grant extends nothing.
"""

from __future__ import annotations

from dataclasses import dataclass

from ...clock import boottime_s

GRANT_TTL_S = 9.0
"""Longest time between a report and a lease that it allows to run out.

Longer than most losses of contact, so that work survives them; the work of a VM that
is gone for good starts elsewhere after it."""
MAX_CLOCK_DRIFT = 0.02
"""An upstream's clock may be this much slow; from PROTOCOL, "Running tasks"."""
LEASE_EXPIRY_MARGIN_S = 0.7
"""For answers under way and clock estimates."""
MAX_CALL_DELAY_S = 12.0
"""A call without an answer may be carried out so much later, and a lease that it
extends may count from then; from PROTOCOL and the disruption `applied_late`."""
MAX_ORDER_AGE_S = 2.0
"""Starts are carried out only on evidence from the planner of at most this age."""

LEASE_EXPIRY_S = GRANT_TTL_S * (1 + MAX_CLOCK_DRIFT) + LEASE_EXPIRY_MARGIN_S
"""After its last grant, the planner counts a silent VM's leases as lapsed."""


@dataclass(slots=True)
class PlannerGrant:
    """What the agent holds from the planner of the highest term it heard of."""

    term: int = 0
    tick_s: float = float("-inf")

    def update(self, term: int, echo_s: float) -> bool:
        """Note a message of a planner; return False where its term is over."""
        if term < self.term:
            return False
        if term > self.term:
            self.term = term
        self.tick_s = max(self.tick_s, echo_s)
        return True

    @property
    def lease_left_s(self) -> float:
        """Seconds from now for which leases may run."""
        return self.tick_s + GRANT_TTL_S - boottime_s()

    @property
    def may_start(self) -> bool:
        """Whether the planner was heard lately enough to carry out starts."""
        return boottime_s() - self.tick_s < MAX_ORDER_AGE_S


__all__ = [
    "MAX_CLOCK_DRIFT",
    "LEASE_EXPIRY_S",
    "LEASE_EXPIRY_MARGIN_S",
    "MAX_CALL_DELAY_S",
    "PlannerGrant",
]
