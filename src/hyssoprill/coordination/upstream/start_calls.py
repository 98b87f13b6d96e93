"""Tracks the start calls of one incarnation that may have an unknown effect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s
from .planner_grant import MAX_CALL_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Set as AbstractSet

    from .progress import RunKey


SURVIVED_START_S = 0.3
"""A run that is listed this long after the call has survived its start.

One that crashes its upstream as it starts may still be listed before the crash."""


class StartCalls:
    """Remembers which runs a start call may have started, or may still start.

    Attributes
    ----------
    in_doubt : set of tuple
        Runs to start or to stop that an earlier call may have started.
    unlisted : set of tuple
        Runs that a call may have started and that no listing has named since.
    """

    def __init__(self) -> None:
        self.in_doubt: set[RunKey] = set()
        self.unlisted: set[RunKey] = set()
        self._arrived: set[RunKey] = set()
        self._called_s: dict[RunKey, float] = {}
        self._under_way_s: dict[RunKey, float] = {}
        self._unanswered_s: dict[RunKey, float] = {}

    def record_earlier(self, keys: Iterable[RunKey], ended_s: float) -> None:
        """Record calls of an earlier agent process, which has ended by `ended_s`."""
        for key in keys:
            self.in_doubt.add(key)
            self._unanswered_s.setdefault(key, ended_s)

    def begin(self, key: RunKey) -> None:
        """Record that a call is being sent."""
        self.unlisted.add(key)
        self._under_way_s[key] = self._called_s[key] = boottime_s()

    def record_accepted(self, key: RunKey) -> None:
        """Record that the call was accepted."""
        self._arrived.add(key)
        self._under_way_s.pop(key, None)

    def record_not_started(self, key: RunKey) -> None:
        """Record that the call has not started the run; an earlier one may have."""
        self._under_way_s.pop(key, None)
        if key not in self.in_doubt:
            self.unlisted.discard(key)
            self._called_s.pop(key, None)

    def record_unanswered(self, key: RunKey, *, broken_off: bool) -> None:
        """Record that no answer came in time, or before the connection broke."""
        self.in_doubt.add(key)
        if broken_off:
            self._arrived.add(key)
        self._unanswered_s[key] = self._under_way_s.pop(key)
        for old in set(self._unanswered_s) - self._recent(self._unanswered_s):
            del self._unanswered_s[old]

    def record_listed(
        self, running: AbstractSet[RunKey], ended: AbstractSet[RunKey], sent_s: float
    ) -> None:
        """Record runs that a listing names.

        Parameters
        ----------
        running, ended : set of tuple
            Runs that it names as running; runs that it names as ended or shows to be
            closed.
        sent_s : float
            When it was requested.
        """
        self.unlisted -= running | ended
        for key in self._called_s.keys() & (running | ended):
            has_survived = sent_s >= self._called_s[key] + SURVIVED_START_S
            if has_survived or key in ended:
                del self._called_s[key]
        self._arrived &= self.unlisted | self._called_s.keys()

    @property
    def starting(self) -> set[RunKey]:
        """Runs whose start may have crashed the upstream, if it has crashed.

        Those that were only listed right after the call can have done so where all
        others were listed as well.
        """
        return self.unlisted or set(self._called_s)

    def starting_rows(self) -> list[tuple[str, int, bool]]:
        """Return the starting runs, and whether a call for each has arrived."""
        return [(*key, key in self._arrived) for key in sorted(self.starting)]

    def late_runs(self, *, has_process_ended: bool) -> dict[RunKey, float]:
        """Return the runs that a later incarnation may run, or may still start.

        With each is given when the newest call for it was sent, at the latest.

        Parameters
        ----------
        has_process_ended : bool
            Whether the process that answered the calls has ended. Otherwise it may have
            been a later incarnation that accepted a run.
        """
        pending = {
            key: sent_s[key]
            for sent_s in (self._unanswered_s, self._under_way_s)
            for key in self._recent(sent_s)
        }
        if has_process_ended:
            return pending
        return pending | dict.fromkeys(self.unlisted, boottime_s())

    def _recent(self, sent_s: dict[RunKey, float]) -> set[RunKey]:
        oldest_s = boottime_s() - MAX_CALL_DELAY_S
        return {key for key, one in sent_s.items() if one > oldest_s}


__all__ = ["StartCalls"]
