"""Limits the reports that an agent sends because of what entries answer."""

from __future__ import annotations

from collections import deque

from ...clock import boottime_s


class AnswerLimit:
    """Allows a number of answers at once, and no more in an interval.

    Two processes that answer each other at once exchange messages without a pause
    unless one of them counts its answers.

    Parameters
    ----------
    max_count : int
        Number of answers allowed in any interval.
    interval_s : float
        Length of the interval.
    """

    def __init__(self, max_count: int, interval_s: float) -> None:
        self._interval_s = interval_s
        self._allowed_s = deque([float("-inf")] * max_count, maxlen=max_count)

    def allow(self) -> bool:
        """Return whether an answer may be sent now, and count it if so."""
        now_s = boottime_s()
        if now_s - self._allowed_s[0] < self._interval_s:
            return False
        self._allowed_s.append(now_s)
        return True


__all__ = ["AnswerLimit"]
