"""Tells how long ago the ordered starts were decided, by the agent's own clock."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...protocol.upstream_messages import RunOrder
    from .progress import RunKey


class OrderAges:
    """Remembers when each ordered run was decided.

    The planner receives a message after the agent has read the clock that the message
    carries. So an order counts from that reading, and what passed on the planner from
    the receipt to the decision. It is never taken as younger than it is, and neither a
    delay nor a repetition, nor a planner that follows, makes it younger. Only a planner
    that has made the decision anew does, before the upstream is called for the first
    time: what delays the start then is not the planner.
    """

    def __init__(self) -> None:
        self._decisions: dict[RunKey, tuple[int, float]] = {}
        self._held: set[RunKey] = set()

    def update(
        self,
        runs: Iterable[RunOrder],
        echoed_clock_s: float,
        sent_ms: int,
        echo_age_s: float = 0.0,
    ) -> None:
        """Apply newer orders and forget the runs that they do not name.

        Parameters
        ----------
        echoed_clock_s : float
            This agent's clock reading that the message echoes.
        sent_ms : int
            When the message was sent, in milliseconds since 1970 by the clock that
            `RunOrder.decided_ms` is by.
        echo_age_s : float
            For how long the planner had had that reading when the message was sent.
        """
        known, self._decisions = self._decisions, {}
        for run in runs:
            key = run.task, run.run
            decided_s = echoed_clock_s
            if 0 < run.decided_ms <= sent_ms:
                decided_s += echo_age_s - (sent_ms - run.decided_ms) / 1000
            before_ms, before_s = known.get(key, (run.decided_ms, decided_s))
            is_newer = 0 < before_ms < run.decided_ms <= sent_ms
            if is_newer and key not in self._held:
                self._decisions[key] = run.decided_ms, decided_s
            elif run.decided_ms < before_ms:
                self._decisions[key] = before_ms, before_s
            else:
                self._decisions[key] = before_ms, min(decided_s, before_s)
        self._held &= self._decisions.keys()

    def hold(self, key: RunKey) -> None:
        """Take no newer decision on an ordered run from now on."""
        self._held.add(key)

    def is_held(self, key: RunKey) -> bool:
        """Return whether newer decisions on an ordered run are not taken any more."""
        return key in self._held

    def age_s(self, key: RunKey) -> float:
        """Return how many seconds ago an ordered run was decided, at the most."""
        return boottime_s() - self._decisions[key][1]


__all__ = ["OrderAges"]
