"""Estimates the relative speed of upstreams from the runs completed there."""

from __future__ import annotations

import math

PRIOR_RUNS = 5.0
"""Weight of the prior, in runs: an upstream is assumed to be of average speed."""
MAX_RATIO = 4.0
"""The speed observed in a single run is clamped to this factor and its inverse."""


class SpeedEstimates:
    """Mean ratio of estimated to actual run time on each upstream.

    Estimates are wrong by up to half, in the same direction for all tasks of a job.
    Over several jobs these errors average out, and the speed of the upstream remains.
    """

    def __init__(self) -> None:
        self._log_sums: dict[str, tuple[float, int]] = {}
        self._total = (0.0, 0)

    def record_run(self, upstream: str, estimate_s: float, ran_s: float) -> None:
        """Record a run that completed without having been resumed from a checkpoint."""
        if estimate_s <= 0 or ran_s <= 0:
            return
        ratio = min(max(estimate_s / ran_s, 1 / MAX_RATIO), MAX_RATIO)
        log_ratio = math.log(ratio)
        self._log_sums[upstream] = _add_run(
            self._log_sums.get(upstream, (0.0, 0)), log_ratio
        )
        self._total = _add_run(self._total, log_ratio)

    def relative_speed(self, upstream: str) -> float:
        """Return an upstream's speed relative to the mean of all; 1.0 if unknown."""
        log_sum, runs = self._log_sums.get(upstream, (0.0, 0))
        if not runs:
            return 1.0
        mean = self._total[0] / self._total[1]
        return math.exp((log_sum - runs * mean) / (runs + PRIOR_RUNS))

    def retain(self, upstreams: set[str]) -> None:
        """Drop all upstreams but the given ones."""
        for key in self._log_sums.keys() - upstreams:
            log_sum, runs = self._log_sums.pop(key)
            self._total = (self._total[0] - log_sum, self._total[1] - runs)


def _add_run(sums: tuple[float, int], log_ratio: float) -> tuple[float, int]:
    """Return the sum of log ratios and the number of runs, with one run added."""
    return sums[0] + log_ratio, sums[1] + 1


__all__ = ["SpeedEstimates"]
