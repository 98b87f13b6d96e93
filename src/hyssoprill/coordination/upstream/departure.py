"""Tells when an upstream that no longer listens has ended.

An upstream that leaves at short notice, or crashes, says no goodbye. Its agent runs on
the same VM: a refused connection there shows that no process listens, unlike silence.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s

if TYPE_CHECKING:
    from ...ports.upstream import CheckIn

MIN_REFUSED_S = 0.5
"""Connections have to be refused for this long; covers a restart of the listener."""
MAX_CHECK_IN_AGE_S = 4.0
"""An upstream that runs checks in at least this often; twice the usual interval of
1.5 s, and a second for the answer."""
MIN_CHECK_IN_AGE_S = 2.0
"""The same where a draining upstream has announced its end; above one interval."""


class DepartureWatch:
    """Watches whether an upstream still listens and checks in."""

    def __init__(self) -> None:
        self._checked_in_s = boottime_s()
        self._refused_since_s: float | None = None

    def record_check_in(self) -> None:
        """Record that the upstream has checked in."""
        self._checked_in_s = boottime_s()

    def record_call(self, *, refused: bool) -> None:
        """Record whether the connection of a call was refused."""
        if not refused:
            self._refused_since_s = None
        elif self._refused_since_s is None:
            self._refused_since_s = boottime_s()

    def has_ended(self, check_in: CheckIn) -> bool:
        """Return whether the upstream must have ended, by its newest check-in.

        One that drains ends once the time is over that it said it would stay, any other
        only by a crash. Neither checks in any more then.
        """
        now_s = boottime_s()
        if self._refused_since_s is None:
            return False
        if now_s - self._refused_since_s < MIN_REFUSED_S:
            return False
        stays_s = MAX_CHECK_IN_AGE_S
        if check_in.draining:
            announced_s = max(check_in.remaining_ms / 1000, MIN_CHECK_IN_AGE_S)
            stays_s = min(announced_s, MAX_CHECK_IN_AGE_S)
        return now_s - self._checked_in_s >= stays_s


__all__ = ["DepartureWatch"]
