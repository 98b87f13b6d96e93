"""How fast upstreams are, learned from the runs that were done there."""

from __future__ import annotations

import math

PRIOR_RUNS = 5.0
"""An upstream counts as of usual speed as if it had done so many usual runs."""
MAX_RATIO = 4.0
"""A single run tells of no greater difference than this factor."""


class Speeds:
    """Mean of how much faster than estimated runs were, for each upstream.

    Estimates are off by up to half, the same way for all tasks of a job; over several
    jobs that evens out, while the upstream's own speed stays.
    """

    def __init__(self) -> None:
        self._logs: dict[str, tuple[float, int]] = {}

    def done(self, upstream: str, estimate_s: float, ran_s: float) -> None:
        """Note a run from its beginning to its end, in one go."""
        if estimate_s <= 0 or ran_s <= 0:
            return
        ratio = min(max(estimate_s / ran_s, 1 / MAX_RATIO), MAX_RATIO)
        total, runs = self._logs.get(upstream, (0.0, 0))
        self._logs[upstream] = (total + math.log(ratio), runs + 1)

    def of(self, upstream: str) -> float:
        """Return the speed of an upstream against the mean of all; 1.0 unknown."""
        total, runs = self._logs.get(upstream, (0.0, 0))
        return math.exp((total - runs * self._mean()) / (runs + PRIOR_RUNS))

    def _mean(self) -> float:
        runs = sum(count for _total, count in self._logs.values())
        return sum(total for total, _count in self._logs.values()) / max(runs, 1)

    def keep_only(self, upstreams: set[str]) -> None:
        """Forget upstreams that are gone."""
        for key in self._logs.keys() - upstreams:
            del self._logs[key]


__all__ = ["Speeds"]
