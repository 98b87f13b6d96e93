"""How long the lease of one lifetime may be, and may last, by what its agent knows."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from ...clock import boottime_s
from .planner_grant import MAX_CALL_DELAY_S, MAX_CLOCK_DRIFT

if TYPE_CHECKING:
    from .planner_grant import PlannerGrant

MIN_LEASE_S = 0.3
"""A shorter lease would lapse before it could be extended."""
DRAINING_LEASE_S = 4.0
"""Longest lease on a draining upstream, above what a hold without an answer takes."""
DOUBT_NEWS_S = 0.5
"""Doubt that lasts longer by this is reported."""


class LeaseWatch:
    """The lease of one lifetime of an upstream.

    Parameters
    ----------
    authority : Authority
        Bounds leases.
    max_lease_s : float
        Longest lease that the upstream takes.
    """

    def __init__(self, authority: PlannerGrant, max_lease_s: float) -> None:
        self._authority = authority
        self._max_lease_s = max_lease_s
        self._clock_ms = 0.0
        self._clock_read_s = 0.0
        self._ends_s = 0.0
        self._doubt_until_s = 0.0

    def clock_read(self, clock_ms: float) -> None:
        """Note what the upstream's clock shows now."""
        self._clock_ms, self._clock_read_s = clock_ms, time.monotonic()

    def length_s(self, *, draining: bool) -> float:
        """Return how long the lease may be that is asked for now.

        A lease that a draining upstream holds is waited for after it has left.
        """
        most_s = DRAINING_LEASE_S if draining else self._max_lease_s
        return min(most_s, self._max_lease_s, self._authority.lease_left_s)

    def until_ms(self, lease_s: float) -> int:
        """Return the end of a lease on the upstream's clock.

        That clock is reckoned on by one that a suspension stops, so that a suspended
        VM asks for too short a lease rather than too long a one.
        """
        now_ms = self._clock_ms + (time.monotonic() - self._clock_read_s) * 1000
        return int(now_ms + lease_s * 1000)

    def extended(self, arrived_by_s: float, lease_s: float) -> None:
        """Note a call that may have extended the lease when it arrived."""
        if self._clock_read_s and lease_s > MIN_LEASE_S:
            ends_s = arrived_by_s + lease_s * (1 + MAX_CLOCK_DRIFT)
            self._ends_s = max(self._ends_s, ends_s)

    def doubted(self, sent_s: float, lease_s: float) -> bool:
        """Note a call without an answer, which may extend the lease much later.

        Returns
        -------
        bool
            Whether the doubt lasts longer than was known.
        """
        until_s = sent_s + MAX_CALL_DELAY_S + max(lease_s, 0.0)
        is_news = until_s - self._doubt_until_s > DOUBT_NEWS_S
        self._doubt_until_s = max(self._doubt_until_s, until_s)
        return is_news

    @property
    def doubt_s(self) -> float:
        """For how long calls without an answer may still extend the lease."""
        return max(self._doubt_until_s - boottime_s(), 0.0)

    @property
    def has_lapsed(self) -> bool:
        """Whether a lease was held, and none can be left."""
        ends_s = max(self._ends_s, self._doubt_until_s)
        return self._ends_s > 0 and boottime_s() > ends_s


__all__ = ["MIN_LEASE_S", "LeaseWatch"]
