"""Chooses which runs leave a draining upstream before it ends them.

Load pattern: upstreams are emptied and taken away, one or many at once, at times long
after the least time that they tell. Work that saves its progress moves at once; other
work moves where it would surely be cut off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ....protocol.job import Step

TRUSTED_PERCENT = 10
"""From this progress on, it tells more about the time left than the estimate."""
LINGER_S = 8.0
"""Draining upstreams often stay this much longer than they tell."""
NEARLY_DONE_S = 1.0
"""Work with less than this left is not moved."""


def time_left_s(step: Step, ran_s: float, percent: int) -> float:
    """Return how long a run probably still takes."""
    if step.long_running:
        return float("inf")
    if percent >= TRUSTED_PERCENT:
        return ran_s * (100 - percent) / percent
    return max(step.estimate_ms / 1000 - ran_s, 0.0)


def is_better_moved(step: Step, left_s: float, remaining_s: float) -> bool:
    """Tell whether a run is to leave an upstream that stays for `remaining_s`."""
    remaining_s = max(remaining_s, 0.0)
    if left_s < min(NEARLY_DONE_S, remaining_s):
        return False
    if step.checkpoints:
        return True
    return left_s > remaining_s + LINGER_S


__all__ = ["is_better_moved", "time_left_s"]
