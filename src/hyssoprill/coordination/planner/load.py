"""Measures what the planner's rounds cost its process, and logs it."""

from __future__ import annotations

from collections import defaultdict
from contextlib import contextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...logs import decision

if TYPE_CHECKING:
    from collections.abc import Iterator

WINDOW_S = 1.0
"""Loads are summed up over windows of this length."""
BUSY_SHARE = 0.3
"""A window is logged if computing rounds took more than this share of it."""
QUIET_LOG_INTERVAL_S = 10.0
"""Other windows are logged at this interval."""


@dataclass(slots=True)
class PlannerLoad:
    """Times of rounds and counts of messages in the current window.

    Attributes
    ----------
    computing_s : float
        Time that the rounds of the process have computed so far, without waiting for
        the store.
    """

    computing_s: float = 0.0
    _began_s: float = field(default_factory=boottime_s)
    _logged_s: float = float("-inf")
    _rounds: int = 0
    _longest_s: float = 0.0
    _longest_pause_s: float = 0.0
    _parts_s: dict[str, float] = field(default_factory=lambda: defaultdict(float))
    _messages: dict[str, int] = field(default_factory=lambda: defaultdict(int))

    def begin_window(self) -> None:
        """Begin a new window, at the start of a term or after the last one."""
        self._began_s = boottime_s()
        self._rounds = 0
        self._longest_s = self._longest_pause_s = 0.0
        self._parts_s.clear()
        self._messages.clear()

    @contextmanager
    def computing(self, part: str) -> Iterator[None]:
        """Measure a part of a round that computes without a pause."""
        began_s = boottime_s()
        try:
            yield
        finally:
            took_s = boottime_s() - began_s
            self._parts_s[part] += took_s
            self.computing_s += took_s

    def count_message(self, kind: str) -> None:
        """Count a message from an agent."""
        self._messages[kind] += 1

    def record_pause(self, wanted_s: float, took_s: float) -> None:
        """Record a pause; the loop was busy with other work for what it took longer."""
        self._longest_pause_s = max(self._longest_pause_s, took_s - wanted_s)

    def record_round(self, took_s: float, **state: int) -> None:
        """Record a round, and log the window at its end.

        Parameters
        ----------
        took_s : float
            Time of the round in all, with the waits for the store.
        **state
            Sizes to log: what the round had to consider.
        """
        self._rounds += 1
        self._longest_s = max(self._longest_s, took_s)
        now_s = boottime_s()
        window_s = now_s - self._began_s
        if window_s < WINDOW_S:
            return
        computed_s = sum(self._parts_s.values())
        is_busy = computed_s > BUSY_SHARE * window_s
        if is_busy or now_s - self._logged_s >= QUIET_LOG_INTERVAL_S:
            self._logged_s = now_s
            decision(
                "planner_load",
                window_s=round(window_s, 2),
                rounds=self._rounds,
                computed_s=round(computed_s, 3),
                parts_s={name: round(one, 3) for name, one in self._parts_s.items()},
                longest_round_s=round(self._longest_s, 3),
                loop_late_s=round(self._longest_pause_s, 3),
                messages=dict(self._messages),
                **state,
            )
        self.begin_window()


__all__ = ["PlannerLoad"]
