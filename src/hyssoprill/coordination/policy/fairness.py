"""Weighted dominant resource fairness among workspaces for opportunistic jobs.

After Ghodsi et al., "Dominant Resource Fairness", NSDI 2011. Usage is also averaged
over time, so that a workspace that used little in the past is served first.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ...protocol.shape import Resources

HALF_LIFE_S = 3600.0
"""Half-life of past usage in the decayed average."""


class DominantShares:
    """Weighted dominant share of each workspace.

    A share is the current usage plus an exponentially decayed average of past usage,
    divided by the workspace's weight.

    Parameters
    ----------
    half_life_s : float
        Half-life of past usage in the average.
    """

    def __init__(self, half_life_s: float = HALF_LIFE_S) -> None:
        self._half_life_s = half_life_s
        self._weights: Mapping[str, float] = {}
        self._usage: dict[str, float] = {}
        self._history: dict[str, float] = {}
        self._updated_s = 0.0

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Replace the weights; workspaces without one have weight 1."""
        self._weights = weights

    def add_usage(self, workspace: str, amount: float) -> None:
        """Add to a workspace's current dominant share; negative amounts subtract."""
        self._usage[workspace] = self._usage.get(workspace, 0.0) + amount

    def replace_usage(self, usage: Mapping[str, float]) -> None:
        """Replace the current dominant shares of all workspaces."""
        self._usage = dict(usage)

    def start(self, now_s: float, history: Mapping[str, float]) -> None:
        """Begin at `now_s` with an average that is known of the time before."""
        self._updated_s = now_s
        self._history = dict(history)

    def advance(self, now_s: float) -> None:
        """Decay the usage history up to `now_s`."""
        elapsed = now_s - self._updated_s
        if elapsed <= 0:
            return
        keep = math.pow(0.5, elapsed / self._half_life_s)
        for workspace in self._usage.keys() | self._history.keys():
            old = self._history.get(workspace, 0.0)
            use = self._usage.get(workspace, 0.0)
            self._history[workspace] = old * keep + use * (1.0 - keep)
        self._updated_s = now_s

    def weighted_share(self, workspace: str) -> float:
        """Return the weighted share; workspaces with smaller ones are served first."""
        total = self._usage.get(workspace, 0.0) + self._history.get(workspace, 0.0)
        return total / self._weights.get(workspace, 1.0)


def dominant_share(total: Resources, capacity: Resources) -> float:
    """Return the largest fraction that `total` has of any resource of the pool."""
    fractions = [
        have / whole for have, whole in zip(total, capacity, strict=True) if whole > 0
    ]
    return max(fractions, default=0.0)


__all__ = ["HALF_LIFE_S", "DominantShares", "dominant_share"]
