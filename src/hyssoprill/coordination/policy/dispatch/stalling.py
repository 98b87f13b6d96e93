"""Chooses which runs without progress are started again elsewhere.

Load pattern: all tasks of an upstream stand still for some seconds, and then either go
on or not. Work that saves its progress moves at once; other work is given as long again
as a part of what it would lose.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ....protocol.job import Step

PATIENCE_SHARE = 0.5
"""Part of the time worked so far for which a task may stand still."""


def is_better_restarted(step: Step, ran_s: float, stalled_s: float) -> bool:
    """Tell whether a run that has stood still for `stalled_s` is to be stopped."""
    if step.checkpoints:
        return True
    worked_s = max(ran_s - stalled_s, 0.0)
    return stalled_s >= worked_s * PATIENCE_SHARE


__all__ = ["is_better_restarted"]
