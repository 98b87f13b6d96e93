"""Computes and tracks the lease that an agent holds on one incarnation of an upstream.

Everything is derived from what the agent knows: the planner's grant, the upstream's
clock and the calls that were sent.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ...clock import boottime_s
from .planner_grant import MAX_CALL_DELAY_S, MAX_CLOCK_DRIFT

if TYPE_CHECKING:
    from .planner_grant import PlannerGrant

MIN_LEASE_S = 0.3
"""A shorter lease would expire before it could be extended."""
DRAINING_LEASE_S = 4.0
"""Longest lease on a draining upstream; longer than an unanswered renewal takes."""
MIN_REPORTED_INCREASE_S = 0.5
"""The planner is told when the in-doubt period has grown by more than this."""


class LeaseTracker:
    """Computes the lease of one incarnation, and tracks when it must have expired.

    Parameters
    ----------
    grant : PlannerGrant
        Limits how far leases may reach.
    max_lease_s : float
        Longest lease that the upstream accepts.
    in_doubt_until_s : float
        Until when calls to earlier incarnations may extend the lease.
    """

    def __init__(
        self, grant: PlannerGrant, max_lease_s: float, in_doubt_until_s: float
    ) -> None:
        self._grant = grant
        self._max_lease_s = max_lease_s
        self._clock_ms = 0.0
        self._clock_synced_s = 0.0
        self._expires_s = 0.0
        self._in_doubt_until_s = in_doubt_until_s
        self._reported_until_s = in_doubt_until_s
        # On the clock that stops during a suspension, as upstreams' clocks may. Begins
        # with what calls of an earlier process of the agent may have extended.
        agent_age_s = boottime_s() - grant.began_s
        self._held_until_s = (
            time.monotonic() - agent_age_s + MAX_CALL_DELAY_S + self._longest_s
        )

    @property
    def _longest_s(self) -> float:
        """Longest time for which a call can extend the lease from its arrival."""
        return self._max_lease_s * (1 + MAX_CLOCK_DRIFT)

    def sync_clock(self, clock_ms: float) -> None:
        """Record the current time of the upstream's clock."""
        self._clock_ms, self._clock_synced_s = clock_ms, time.monotonic()

    def length_s(self, *, draining: bool) -> float:
        """Return the length of a lease that may be requested now.

        The lease of a draining upstream is kept short, because its expiry has to be
        awaited after the upstream has left.
        """
        limit_s = DRAINING_LEASE_S if draining else self._max_lease_s
        return min(limit_s, self._max_lease_s, self._grant.lease_left_s)

    def expiry_ms(self, lease_s: float) -> int:
        """Return when a lease that starts now expires, on the upstream's clock.

        The upstream's clock is extrapolated with a clock that stops during a
        suspension, so that a suspended VM requests a lease that is too short rather
        than too long.
        """
        now_ms = self._clock_ms + (time.monotonic() - self._clock_synced_s) * 1000
        return int(now_ms + lease_s * 1000)

    def record_extension(self, arrived_by_s: float, lease_s: float) -> None:
        """Record a call that may have extended the lease.

        Parameters
        ----------
        arrived_by_s : float
            Latest time at which the call arrived.
        lease_s : float
            Length of the requested lease.
        """
        if self._clock_synced_s and lease_s > MIN_LEASE_S:
            expires_s = arrived_by_s + lease_s * (1 + MAX_CLOCK_DRIFT)
            self._expires_s = max(self._expires_s, expires_s)

    def record_answered_call(self, lease_s: float) -> None:
        """Record that a call which has been answered may have extended the lease."""
        self._record_hold(0.0, lease_s)

    def _record_hold(self, delay_s: float, lease_s: float) -> None:
        if lease_s > MIN_LEASE_S:
            until_s = time.monotonic() + delay_s + lease_s * (1 + MAX_CLOCK_DRIFT)
            self._held_until_s = max(self._held_until_s, until_s)

    @property
    def has_lapsed(self) -> bool:
        """Whether no call so far can keep the lease from having lapsed by now."""
        return time.monotonic() > self._held_until_s

    def record_unanswered_call(self, sent_s: float, lease_s: float) -> bool:
        """Record an unanswered call, which may still extend the lease much later.

        Returns
        -------
        bool
            Whether the in-doubt period has grown enough to be reported.
        """
        self._record_hold(MAX_CALL_DELAY_S, lease_s)
        until_s = sent_s + MAX_CALL_DELAY_S + max(lease_s, 0.0)
        self._in_doubt_until_s = max(self._in_doubt_until_s, until_s)
        if until_s - self._reported_until_s <= MIN_REPORTED_INCREASE_S:
            return False
        self._reported_until_s = until_s
        return True

    @property
    def in_doubt_s(self) -> float:
        """Seconds for which unanswered calls may still keep the lease alive."""
        return max(self._in_doubt_until_s - boottime_s(), 0.0)

    @property
    def has_expired(self) -> bool:
        """Whether a lease was held and must have expired by now."""
        expires_s = max(self._expires_s, self._in_doubt_until_s)
        return self._expires_s > 0 and boottime_s() > expires_s


__all__ = ["MIN_LEASE_S", "LeaseTracker"]
