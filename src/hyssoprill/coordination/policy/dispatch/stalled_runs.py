"""Decides which runs without progress are restarted elsewhere.

Load pattern: all tasks of an upstream stall for some seconds, after which they may or
may not resume. Runs with checkpoints are restarted at once. Others get as much time to
recover as a restart would cost, so that waiting and restarting together never take
more than twice the time of the better of the two, however long the stall lasts.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ....protocol.job import Step

RESTART_S = 1.0
"""Time that a restart takes besides the work that it loses: the stop and the start."""


def should_restart(step: Step, ran_s: float, stalled_s: float) -> bool:
    """Return whether to stop a run that has made no progress for `stalled_s`."""
    if step.checkpoints:
        return True
    worked_s = max(ran_s - stalled_s, 0.0)
    return stalled_s >= worked_s + RESTART_S


__all__ = ["should_restart"]
