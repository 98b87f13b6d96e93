"""Measures with the agent's own clock how late the planner answers it."""

from __future__ import annotations

from collections import deque

from ...clock import boottime_s

MAX_UNANSWERED = 64
"""Number of unanswered messages that are remembered, the oldest ones."""


class AnswerDelay:
    """Delay between an agent's messages and the grants that answer them.

    A planner sends a grant as it handles a message, so that the age of the clock that
    a grant echoes is the delay. The age of one in orders is not: they may be sent long
    after the message.
    """

    def __init__(self) -> None:
        self._term = 0
        self._newest_s = 0.0
        self._unanswered: deque[float] = deque()

    def record_sent(self, clock_s: float) -> None:
        """Record a message that a planner is to answer."""
        if len(self._unanswered) < MAX_UNANSWERED:
            self._unanswered.append(clock_s)

    def record_answer(self, term: int, echoed_clock_s: float) -> None:
        """Record a grant, which answers one message and supersedes earlier ones."""
        self._term = term
        self._newest_s = boottime_s() - echoed_clock_s
        while self._unanswered and self._unanswered[0] <= echoed_clock_s:
            self._unanswered.popleft()

    @property
    def newest(self) -> tuple[float, int]:
        """Delay of the newest answer and the planner's term, 0 before any answer.

        The age of the oldest message without an answer counts if it is higher.
        """
        if not self._unanswered:
            return self._newest_s, self._term
        return max(self._newest_s, boottime_s() - self._unanswered[0]), self._term


__all__ = ["AnswerDelay"]
