"""Limits the share of a process's time that its scheduling decisions take.

Load pattern: the pool is large and busy, so that a decision takes long, and messages
that call for the next one arrive faster than decisions are made. Without a rest between
decisions, messages wait behind them, and what is decided comes too late to be of use.
"""

from __future__ import annotations

REST_FACTOR = 2.0
"""Multiple of a decision's computing time that is left to messages before the next."""
MAX_REST_S = 0.5
"""Longest such time, as guarantees and stops wait for decisions."""


def rest_after(computed_s: float, *, at_least_s: float = 0.0) -> float:
    """Return how long to leave a process to messages after a decision, in seconds.

    Parameters
    ----------
    computed_s : float
        Time that the decision has computed.
    at_least_s : float
        Shortest rest.
    """
    return max(min(computed_s * REST_FACTOR, MAX_REST_S), at_least_s)


__all__ = ["rest_after"]
