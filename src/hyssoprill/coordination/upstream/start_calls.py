"""Tracks the start calls of one incarnation that may have an unknown effect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s
from .planner_grant import MAX_CALL_DELAY_S

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .progress import RunKey


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
        self._under_way_s[key] = boottime_s()

    def record_accepted(self, key: RunKey) -> None:
        """Record that the call was accepted."""
        self._arrived.add(key)
        self._under_way_s.pop(key, None)

    def record_not_started(self, key: RunKey) -> None:
        """Record that the call has not started the run; an earlier one may have."""
        self._under_way_s.pop(key, None)
        if key not in self.in_doubt:
            self.unlisted.discard(key)

    def record_unanswered(self, key: RunKey, *, broken_off: bool) -> None:
        """Record that no answer came in time, or before the connection broke."""
        self.in_doubt.add(key)
        if broken_off:
            self._arrived.add(key)
        self._unanswered_s[key] = self._under_way_s.pop(key)
        for old in set(self._unanswered_s) - self._recent(self._unanswered_s):
            del self._unanswered_s[old]

    def record_listed(self, keys: Iterable[RunKey]) -> None:
        """Record runs that a listing names, or that it shows to be closed."""
        self.unlisted.difference_update(keys)
        self._arrived &= self.unlisted

    def unlisted_rows(self) -> list[tuple[str, int, bool]]:
        """Return the unlisted runs, and whether a call for each has arrived."""
        return [(*key, key in self._arrived) for key in sorted(self.unlisted)]

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
