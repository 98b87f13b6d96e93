"""Decides which runs without progress are restarted elsewhere.

Load pattern: all tasks of an upstream stall for some seconds, after which they may or
may not resume. Runs with checkpoints are restarted at once. Others get time to recover
in proportion to the work that a restart would lose.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ....protocol.job import Step

STALL_TOLERANCE_SHARE = 0.5
"""Longest tolerated stall, as a share of the time worked before it."""


def should_restart(step: Step, ran_s: float, stalled_s: float) -> bool:
    """Return whether to stop a run that has made no progress for `stalled_s`."""
    if step.checkpoints:
        return True
    worked_s = max(ran_s - stalled_s, 0.0)
    return stalled_s >= worked_s * STALL_TOLERANCE_SHARE


__all__ = ["should_restart"]
