"""Predicts run times from the callers' estimates and from the runs that were done.

Load pattern: estimates are off by a factor of two and more, while the run times of one
queue differ less than that. An urgent job with an estimate that is far too short seems
to be late while it could still be in time, and one that is far too long seems to have
no slack at all. The more jobs of a queue are done, the more its own history counts, by
as much as its estimates were wrong.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

PRIOR_JOBS = 3.0
"""Weight of the prior, in jobs: that the estimates of a queue are right."""
PRIOR_VARIANCE = 0.25
"""Assumed variance of the logarithms of a queue's estimates, until they are known."""
MIN_RELIABLE_PERCENT = 10
"""From this progress on, extrapolating it predicts better than anything else."""


@dataclass(slots=True)
class _QueueHistory:
    """Sums over the logarithms of estimates and of run times, by weight."""

    weight: float = 0.0
    estimates: float = 0.0
    run_times: float = 0.0
    estimates_squared: float = 0.0
    products: float = 0.0

    def add(self, log_estimate: float, log_run_time: float, weight: float) -> None:
        self.weight += weight
        self.estimates += weight * log_estimate
        self.run_times += weight * log_run_time
        self.estimates_squared += weight * log_estimate**2
        self.products += weight * log_estimate * log_run_time

    def predict(self, log_estimate: float) -> float:
        """Return the expected logarithm of the run time for an estimate.

        A regression of run times on estimates. The prior pulls the slope to 1 and the
        mean error to 0, so that an estimate is believed while nothing is known.
        """
        if not self.weight:
            return log_estimate
        mean_estimate = self.estimates / self.weight
        mean_run_time = self.run_times / self.weight
        variance = self.estimates_squared - self.weight * mean_estimate**2
        covariance = self.products - self.weight * mean_estimate * mean_run_time
        prior = PRIOR_JOBS * PRIOR_VARIANCE
        slope = (prior + covariance) / (prior + max(variance, 0.0))
        slope = min(max(slope, 0.0), 1.0)
        mean_error = (self.run_times - self.estimates) / (self.weight + PRIOR_JOBS)
        return mean_estimate + mean_error + slope * (log_estimate - mean_estimate)


class RunTimeModel:
    """Expected run times of tasks, by queue."""

    def __init__(self) -> None:
        self._queues: dict[str, _QueueHistory] = {}
        self._expected_s: dict[tuple[str, float], float] = {}

    def record(
        self, queue: str, estimate_s: float, ran_s: float, *, weight: float = 1.0
    ) -> None:
        """Record a run that was done.

        Parameters
        ----------
        weight : float
            Tasks of one step share an estimate, so that they count as one job together.
        """
        if estimate_s <= 0 or ran_s <= 0:
            return
        self._expected_s.clear()
        history = self._queues.setdefault(queue, _QueueHistory())
        history.add(math.log(estimate_s), math.log(ran_s), weight)

    def expected_s(self, queue: str, estimate_s: float) -> float:
        """Return the expected run time of a task with an estimate, in seconds."""
        history = self._queues.get(queue)
        if history is None or estimate_s <= 0:
            return estimate_s
        known_s = self._expected_s.get((queue, estimate_s))
        if known_s is None:
            known_s = math.exp(history.predict(math.log(estimate_s)))
            self._expected_s[queue, estimate_s] = known_s
        return known_s

    def retain(self, queues: set[str]) -> None:
        """Drop all queues but the given ones."""
        self._expected_s.clear()
        for queue in self._queues.keys() - queues:
            del self._queues[queue]

    def clear(self) -> None:
        """Drop everything, at the start of a term."""
        self._expected_s.clear()
        self._queues.clear()


def estimate_remaining_s(
    expected_s: float, ran_s: float, percent: int, *, is_resumed: bool = False
) -> float:
    """Return the expected remaining run time of a task from its progress.

    Parameters
    ----------
    expected_s : float
        Expected run time of the whole task.
    ran_s : float
        Time that the run has taken so far.
    is_resumed : bool
        Whether earlier runs made a part of the progress.
    """
    if is_resumed:
        return expected_s * (100 - percent) / 100
    if percent >= MIN_RELIABLE_PERCENT:
        return ran_s * (100 - percent) / percent
    return max(expected_s - ran_s, 0.0)


__all__ = ["RunTimeModel", "estimate_remaining_s"]
