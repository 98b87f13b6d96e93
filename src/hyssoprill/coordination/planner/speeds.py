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
        self._known: dict[str, tuple[float, int]] = {}
        self._all = (0.0, 0)

    def done(self, upstream: str, estimate_s: float, ran_s: float) -> None:
        """Note a run from its beginning to its end, in one go."""
        if estimate_s <= 0 or ran_s <= 0:
            return
        ratio = min(max(estimate_s / ran_s, 1 / MAX_RATIO), MAX_RATIO)
        log = math.log(ratio)
        self._known[upstream] = _with_run(self._known.get(upstream, (0.0, 0)), log)
        self._all = _with_run(self._all, log)

    def of(self, upstream: str) -> float:
        """Return the speed of an upstream against the mean of all; 1.0 unknown."""
        total, runs = self._known.get(upstream, (0.0, 0))
        if not runs:
            return 1.0
        mean = self._all[0] / self._all[1]
        return math.exp((total - runs * mean) / (runs + PRIOR_RUNS))

    def keep_only(self, upstreams: set[str]) -> None:
        """Forget upstreams that are gone."""
        for key in self._known.keys() - upstreams:
            total, runs = self._known.pop(key)
            self._all = (self._all[0] - total, self._all[1] - runs)


def _with_run(sums: tuple[float, int], log: float) -> tuple[float, int]:
    """Return the sum of logarithms and the number of runs with one run more."""
    return sums[0] + log, sums[1] + 1


__all__ = ["Speeds"]
