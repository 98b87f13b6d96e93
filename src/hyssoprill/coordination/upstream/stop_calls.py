"""Tracks the stops of one incarnation, and which runs can no longer start there."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...ports.upstream import RunListing
    from .progress import RunKey


STOP_EFFECT_S = 1.0
"""A run that is listed this long after its stop was confirmed is stopped again."""


class StopCalls:
    """Remembers which stops an upstream has confirmed.

    Parameters
    ----------
    inherited : frozenset of tuple
        Runs that calls to earlier incarnations may start on this one.

    Attributes
    ----------
    closed : set of tuple
        Stopped runs that can never start any more and that are not listed as ended.
    settled : set of tuple
        Inherited runs that are closed, or were listed as ended.
    """

    def __init__(self, inherited: frozenset[RunKey]) -> None:
        self.inherited = inherited
        self.closed: set[RunKey] = set()
        self.settled: set[RunKey] = set()
        self._confirmed_s: dict[RunKey, float] = {}
        self._ending_s: dict[RunKey, float] = {}

    @property
    def are_inherited_settled(self) -> bool:
        """Whether no call to an earlier incarnation can start a run any more."""
        return self.inherited <= self.settled

    def retain(self, ordered: Iterable[RunKey]) -> set[RunKey]:
        """Forget all but the ordered stops; return those that are not confirmed.

        Inherited runs are stopped without an order.
        """
        stopping = self.inherited.union(ordered)
        self.closed &= stopping
        for key in self._confirmed_s.keys() - stopping:
            del self._confirmed_s[key]
        return stopping - self._confirmed_s.keys()

    def record_confirmed(self, key: RunKey) -> None:
        """Record that the upstream has confirmed a stop."""
        self._confirmed_s[key] = self._ending_s[key] = boottime_s()

    def is_ending(self, key: RunKey, listed_s: float) -> bool:
        """Return whether a listing of that time may still name a run that was stopped.

        Parameters
        ----------
        listed_s : float
            When the listing was requested.
        """
        return listed_s < self._ending_s.get(key, float("-inf")) + STOP_EFFECT_S

    def apply_listing(self, listing: RunListing, sent_s: float) -> set[RunKey]:
        """Apply a listing requested at `sent_s`; return the runs closed by it."""
        closed = {
            key
            for key, confirmed_s in self._confirmed_s.items()
            if confirmed_s < sent_s and key not in listing.runs
        }
        for key in self._ending_s.keys() - listing.runs:
            del self._ending_s[key]
        newly_closed = closed - self.closed
        self.closed |= closed
        ended = {(row.task, row.run) for row in listing.ended}
        self.settled |= self.inherited & (closed | ended)
        return newly_closed


__all__ = ["StopCalls"]
