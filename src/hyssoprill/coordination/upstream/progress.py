"""Tracks the progress of an upstream's runs and detects stalled ones."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...protocol.upstream_messages import FULL_PROGRESS_PERCENT

if TYPE_CHECKING:
    from ...ports.upstream import RunListing
    from ...protocol.upstream_messages import RunReport

RunKey = tuple[str, int]

REPORTED_PERCENT = 10
"""Progress is reported again when it has grown by this much."""
MAX_STALL_TIMEOUT_S = 3.0
"""A run without progress for this long is reported as stalled."""
MIN_STALL_TIMEOUT_S = 1.5
STALL_FACTOR = 12
"""A run's stall timeout in units of its slowest percent so far, within these bounds."""


class ProgressTracker:
    """Remembers when the progress of each run last changed.

    Attributes
    ----------
    has_unreported_progress : bool
        Whether a run has a new checkpoint, or has advanced by `REPORTED_PERCENT`, since
        the last report.
    """

    def __init__(self) -> None:
        self.has_unreported_progress = False
        self._last_change: dict[RunKey, tuple[int, float]] = {}
        self._max_s_per_percent: dict[RunKey, float] = {}
        self._has_stalled = False
        self._listed_s = float("-inf")
        self._reported: dict[RunKey, RunReport] = {}

    def update(self, listing: RunListing) -> bool:
        """Apply a listing; return whether runs are stalled now and none was before."""
        now_s = self._listed_s = boottime_s()
        last_change: dict[RunKey, tuple[int, float]] = {}
        for row in listing.running:
            key = run_key(row)
            known = self._last_change.get(key)
            if known is not None and known[0] == row.percent:
                last_change[key] = known
                continue
            last_change[key] = (row.percent, now_s)
            if known is not None:
                s_per_percent = (now_s - known[1]) / max(row.percent - known[0], 1)
                self._max_s_per_percent[key] = max(
                    self._max_s_per_percent.get(key, 0.0), s_per_percent
                )
        self._last_change = last_change
        self._max_s_per_percent = {
            key: value
            for key, value in self._max_s_per_percent.items()
            if key in last_change
        }
        self.has_unreported_progress |= any(
            self._has_progressed(row) for row in listing.running
        )
        had_stalled = self._has_stalled
        self._has_stalled = bool(self.stalled_runs())
        return self._has_stalled and not had_stalled

    def stalled_runs(self) -> list[tuple[str, int, float]]:
        """Return the task and number of each stalled run, and its last change.

        Time without a listing says nothing of the runs.
        """
        return [
            (*key, since_s)
            for key, (percent, since_s) in self._last_change.items()
            if percent < FULL_PROGRESS_PERCENT
            and self._listed_s - since_s >= self._stall_timeout_s(key)
        ]

    def mark_reported(self, listing: RunListing | None) -> None:
        """Record the progress that is being reported to the planner."""
        self.has_unreported_progress = False
        rows = listing.running if listing is not None else ()
        self._reported = {run_key(row): row for row in rows}

    def _stall_timeout_s(self, key: RunKey) -> float:
        s_per_percent = self._max_s_per_percent.get(key)
        if s_per_percent is None:
            return MAX_STALL_TIMEOUT_S
        return min(
            max(STALL_FACTOR * s_per_percent, MIN_STALL_TIMEOUT_S), MAX_STALL_TIMEOUT_S
        )

    def _has_progressed(self, row: RunReport) -> bool:
        """Tell whether a run has a new checkpoint or advanced by `REPORTED_PERCENT`."""
        before = self._reported.get(run_key(row))
        if before is None:
            return False
        if row.checkpoint != before.checkpoint:
            return True
        return row.percent - before.percent >= REPORTED_PERCENT


def run_key(row: RunReport) -> RunKey:
    """Return the task and number that identify a run."""
    return row.task, row.run


__all__ = ["ProgressTracker", "RunKey", "run_key"]
