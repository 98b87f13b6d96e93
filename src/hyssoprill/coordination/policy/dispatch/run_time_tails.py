"""Predicts the remaining time of runs from the tails seen in their queues.

Load pattern: a few tasks of a queue take many times as long as the others. A run beyond
its expected time is likely to be one of them, and the more so the longer it has run.
Run times are kept as multiples of what was expected of them.
"""

from __future__ import annotations

from .survival import BINS, SCALE_FREE_END, DurationHistogram

SHORTEST_RATIO = 1 / 16
"""Upper edge of the first bin, as a multiple of the expected run time."""
PRIOR = (0.0, 0.0, 0.02, 0.02, 0.05, 0.05, 0.1, 0.2, 0.4, 0.7)
"""Part of the runs that end in each of the first bins, until a queue is known; most of
them end between 0.7 and 1.4 of the expected time."""
LIKELY_SHARE = 0.9
"""Part of the runs that end within their likely remaining time."""


class RunTimeTails:
    """Run times of each queue as multiples of the expected ones."""

    def __init__(self) -> None:
        self._queues: dict[str, DurationHistogram] = {}
        self._unknown = _new_histogram()

    def record(
        self, queue: str, expected_s: float, ran_s: float, *, is_done: bool = True
    ) -> None:
        """Record a run that was done, or that was cut off after `ran_s`."""
        if expected_s <= 0 or ran_s <= 0:
            return
        if queue not in self._queues:
            self._queues[queue] = _new_histogram()
        self._queues[queue].record(ran_s / expected_s, has_ended=is_done)

    def remaining_s(self, queue: str, expected_s: float, ran_s: float) -> float:
        """Return the expected remaining time of a run that has run for `ran_s`."""
        if expected_s <= 0:
            return max(ran_s, 0.0)
        return expected_s * self._find(queue).expected_rest(ran_s / expected_s)

    def likely_remaining_s(self, queue: str, expected_s: float, ran_s: float) -> float:
        """Return the time within which such a run has most likely ended."""
        if expected_s <= 0:
            return max(ran_s, 0.0)
        ratio = self._find(queue).likely_rest(ran_s / expected_s, LIKELY_SHARE)
        return expected_s * ratio

    def longest_s(self, queue: str, expected_s: float, count: int) -> float:
        """Return the expected run time of the longest of some tasks."""
        return max(expected_s, 0.0) * self._find(queue).expected_longest(count)

    def retain(self, queues: set[str]) -> None:
        """Drop all queues but the given ones."""
        for queue in self._queues.keys() - queues:
            del self._queues[queue]

    def clear(self) -> None:
        """Drop everything, at the start of a term."""
        self._queues.clear()

    def _find(self, queue: str) -> DurationHistogram:
        return self._queues.get(queue, self._unknown)


def _new_histogram() -> DurationHistogram:
    prior = (*PRIOR, *[SCALE_FREE_END] * (BINS - len(PRIOR)))
    return DurationHistogram(SHORTEST_RATIO, prior)


__all__ = ["RunTimeTails"]
