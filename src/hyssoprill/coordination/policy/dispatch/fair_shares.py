"""Tells how far workspaces are above their shares of the pool.

Load pattern: one workspace has two fifths of all jobs, and its wide steps fill the pool
beyond its guarantee while small workspaces wait. Its use, now and lately, is compared
with its share, by the resource of which it has most of the pool. It may borrow what
nobody else asks for; while others wait, they come first.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

HALF_LIFE_S = 30.0
"""Half-life of past use: several runs, so that a burst counts beyond its own end."""
MIN_WEIGHT = 1.0
"""Weight of a workspace without guaranteed accelerators."""
MAX_BUCKET = 4


def entitlements(
    guaranteed: Mapping[str, int], active: Collection[str]
) -> dict[str, float]:
    """Return the part of the pool to which each active workspace is entitled.

    Parameters
    ----------
    guaranteed : mapping
        Accelerators that are guaranteed to each workspace.
    active : collection of str
        Workspaces with jobs that wait or run; what others leave is theirs.
    """
    weights = {one: max(guaranteed.get(one, 0), MIN_WEIGHT) for one in active}
    total = sum(weights.values())
    return {one: weight / total for one, weight in weights.items()}


def share_bucket(use: float, entitlement: float) -> int:
    """Return 0 for a workspace within its share, and one more by each doubling beyond.

    Steps are ordered by it, so that small differences leave their order as it is.

    Parameters
    ----------
    use : float
        Dominant share of the pool that the workspace uses.
    entitlement : float
        Part of the pool to which it is entitled.
    """
    if not use > entitlement:
        return 0
    if entitlement <= 0 or not math.isfinite(use):
        return MAX_BUCKET
    return min(1 + int(math.log2(use / entitlement)), MAX_BUCKET)


__all__ = ["HALF_LIFE_S", "entitlements", "share_bucket"]
