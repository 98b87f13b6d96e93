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
    delay nor a repetition, nor a planner that follows, makes it younger.
    """

    def __init__(self) -> None:
        self._decided_s: dict[RunKey, float] = {}

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
        known, self._decided_s = self._decided_s, {}
        for run in runs:
            key = run.task, run.run
            decided_s = echoed_clock_s
            if 0 < run.decided_ms <= sent_ms:
                decided_s += echo_age_s - (sent_ms - run.decided_ms) / 1000
            self._decided_s[key] = min(decided_s, known.get(key, decided_s))

    def age_s(self, key: RunKey) -> float:
        """Return how many seconds ago an ordered run was decided, at the most."""
        return boottime_s() - self._decided_s[key]


__all__ = ["OrderAges"]
