"""Weighted dominant-resource fairness of what runs beyond guarantees.

Ghodsi et al., "Dominant Resource Fairness", NSDI 2011, with usage averaged over
time so that a workspace that waited is served first.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ...protocol.shape import Resources

HALF_LIFE_S = 3600.0


class DominantShares:
    """Dominant share of each workspace, over its weight.

    The share is that of now plus a decayed average of the past.
    """

    def __init__(self) -> None:
        self._weights: Mapping[str, float] = {}
        self._usage: dict[str, float] = {}
        self._history: dict[str, float] = {}
        self._updated_s = 0.0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Take over the weights of a bundle; unnamed workspaces weigh 1."""
        self._weights = weights

    def add_usage(self, workspace: str, amount: float) -> None:
        """Add to a workspace's present dominant share; negative takes away."""
        self._usage[workspace] = self._usage.get(workspace, 0.0) + amount

    def advance(self, now_s: float) -> None:
        """Age the history up to now."""
        elapsed = now_s - self._updated_s
        if elapsed <= 0:
            return
        keep = math.pow(0.5, elapsed / HALF_LIFE_S)
        for workspace in self._usage.keys() | self._history.keys():
            old = self._history.get(workspace, 0.0)
            use = self._usage.get(workspace, 0.0)
            self._history[workspace] = old * keep + use * (1.0 - keep)
        self._updated_s = now_s

    def weighted_share(self, workspace: str) -> float:
        """Return the weighted share by which workspaces are ordered."""
        total = self._usage.get(workspace, 0.0) + self._history.get(workspace, 0.0)
        return total / self._weights.get(workspace, 1.0)


def dominant_share(total: Resources, capacity: Resources) -> float:
    """Return the largest fraction of any resource of the pool."""
    fractions = [
        have / whole for have, whole in zip(total, capacity, strict=True) if whole > 0
    ]
    return max(fractions, default=0.0)


__all__ = ["HALF_LIFE_S", "DominantShares", "dominant_share"]
