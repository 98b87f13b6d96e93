"""Tells how long something is to last that has lasted so long already.

Load pattern: most durations are alike and a few are many times as long, and many are
cut off before they end. The history is a histogram of fixed size on a logarithmic
scale. Where it says nothing, the rest is expected to be as long as what has passed.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

BINS = 24
BIN_RATIO = math.sqrt(2.0)
"""Upper edge of a bin as a multiple of its lower edge."""
SCALE_FREE_END = 0.5
"""Part that ends within a bin where the expected rest equals what has passed."""
PRIOR_WEIGHT = 2.0
"""Weight of the prior in each bin, in durations."""
MAX_WEIGHT = 256.0
"""History in durations; beyond it all that is known counts half."""


class DurationHistogram:
    """Durations by bin: how many have reached it, and how many have ended in it.

    Parameters
    ----------
    shortest : float
        Upper edge of the first bin; the last one is open.
    prior : sequence of float
        Part of the durations that end in each bin of those that reach it, assumed
        until they are known.
    """

    def __init__(
        self, shortest: float, prior: Sequence[float] = (SCALE_FREE_END,) * BINS
    ) -> None:
        upper = [shortest * BIN_RATIO**number for number in range(BINS - 1)]
        self._edges = [0.0, *upper, math.inf]
        self._shortest = shortest
        self._prior = tuple(prior)
        self._reached = [0.0] * BINS
        self._ended = [0.0] * BINS

    def record(self, duration: float, *, has_ended: bool = True) -> None:
        """Record a duration, or how long one has lasted that was cut off."""
        if not (0 < duration < math.inf):
            return
        last, passed = self._position(duration)
        for number in range(last):
            self._reached[number] += 1.0
        self._reached[last] += 1.0 if has_ended else passed
        self._ended[last] += has_ended
        if self._reached[0] > MAX_WEIGHT:
            self._reached = [one / 2 for one in self._reached]
            self._ended = [one / 2 for one in self._ended]

    def expected_rest(self, lasted: float) -> float:
        """Return the expected rest of a duration that has lasted so long."""
        return self._integral(lasted, 1)

    def expected_longest(self, count: int) -> float:
        """Return the expected longest of some durations."""
        return self._integral(0.0, max(count, 1))

    def likely_rest(self, lasted: float, share: float) -> float:
        """Return the rest within which a share of such durations has ended."""
        lasted = max(lasted, 0.0)
        left = 1.0
        for lower, upper, ending in self._bins_from(lasted):
            after = left * (1.0 - ending)
            if after <= 1.0 - share:
                part = (left - (1.0 - share)) / (left - after)
                return lower + part * (upper - lower) - lasted
            left = after
        # Beyond the last edge as with a scale-free end.
        end = max(lasted, self._edges[-2]) * math.sqrt(left / (1.0 - share))
        return end - lasted

    def _integral(self, lasted: float, count: int) -> float:
        """Return the expected rest of the longest of some durations."""
        lasted = max(lasted, 0.0)
        left = 1.0
        total = 0.0
        for lower, upper, ending in self._bins_from(lasted):
            middle = left * (1.0 - ending / 2)
            total += (upper - lower) * (1.0 - (1.0 - middle) ** count)
            left *= 1.0 - ending
        any_left = 1.0 - (1.0 - left) ** count
        return total + any_left * max(lasted, self._edges[-2])

    def _bins_from(self, lasted: float) -> list[tuple[float, float, float]]:
        """Return the rest of each closed bin, and the part that ends within it."""
        first, passed = self._position(lasted)
        found = []
        for number in range(first, BINS - 1):
            reached = self._reached[number] + PRIOR_WEIGHT
            expected = self._ended[number] + PRIOR_WEIGHT * self._prior[number]
            ending = min(expected / reached, 1.0)
            if number == first and passed:
                ending = 1.0 - (1.0 - ending) ** (1.0 - passed)
            lower = max(lasted, self._edges[number])
            found.append((lower, self._edges[number + 1], ending))
        return found

    def _position(self, duration: float) -> tuple[int, float]:
        """Return the bin of a duration, and the part of the bin that it has passed."""
        if duration <= self._shortest:
            return 0, max(duration, 0.0) / self._shortest
        steps = math.log(duration / self._shortest) / math.log(BIN_RATIO)
        if steps >= BINS - 2:
            return BINS - 1, 0.0
        return int(steps) + 1, steps - int(steps)


__all__ = ["BINS", "SCALE_FREE_END", "DurationHistogram"]
