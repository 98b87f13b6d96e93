"""Decides which runs to restart while their upstream stands still.

Load pattern: upstreams hang for some seconds, after which their runs go on, and some
tasks take so long that their progress seems to stand still. A run is restarted as soon
as that costs less than the rest of the hang is expected to take, by how long earlier
hangs have lasted: the longer a hang has lasted beyond them, the longer it will last.
Until hangs are known, waiting and restarting together never take more than twice the
time of the better of the two.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .stalled_runs import RESTART_S
from .survival import DurationHistogram

if TYPE_CHECKING:
    from ....protocol.job import Step
    from .terms import DispatchTerms

SHORTEST_HANG_S = 0.25
"""Upper edge of the first bin."""
STALL_PERCENTS = 3.0
"""A run without progress is stalled after the time that so many percents take it."""


class HangTimes:
    """How long hangs have lasted."""

    def __init__(self) -> None:
        self._durations = DurationHistogram(SHORTEST_HANG_S)

    def record(self, lasted_s: float, *, has_ended: bool) -> None:
        """Record a hang that has ended, or whose runs were stopped before."""
        self._durations.record(lasted_s, has_ended=has_ended)

    def should_restart(self, stalled_s: float, restart_s: float) -> bool:
        """Return whether a restart that costs `restart_s` is the faster way on."""
        return self._durations.expected_rest(stalled_s) >= restart_s


def restart_cost_s(step: Step, worked_s: float, terms: DispatchTerms) -> float:
    """Return the time that a restart of a run costs, with the work that it loses."""
    worked_s = max(worked_s, 0.0)
    if not step.checkpoints:
        return RESTART_S + worked_s
    unsaved_s = min(worked_s, terms.checkpoint_interval_s / 2)
    return RESTART_S + terms.restore_s + unsaved_s


def is_stalled(stalled_s: float, total_s: float) -> bool:
    """Return whether a run of `total_s` has stood still longer than its steps take."""
    return stalled_s >= STALL_PERCENTS * total_s / 100


__all__ = ["HangTimes", "is_stalled", "restart_cost_s"]
