"""Watches how far an upstream's runs are, and which of them stand still."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...protocol.upstream_messages import FULL_PROGRESS_PERCENT

if TYPE_CHECKING:
    from ...ports.upstream import RunListing
    from ...protocol.upstream_messages import RunReport

RunKey = tuple[str, int]

REPORTED_PERCENT = 10
"""Progress is reported again when it has grown by so much."""
MAX_STALL_S = 3.0
"""A task whose progress stands still for this long is reported as stalled."""
MIN_STALL_S = 1.5
STALL_FACTOR = 12
"""So many times as long as it took for one percent so far, between these bounds."""


class ProgressTracker:
    """Remembers since when each run is as far as it is.

    Attributes
    ----------
    is_news : bool
        Whether runs have come further, or saved, since the last report.
    """

    def __init__(self) -> None:
        self.has_unreported_progress = False
        self._since: dict[RunKey, tuple[int, float]] = {}
        self._paces: dict[RunKey, float] = {}
        self._has_stalled = False
        self._reported: dict[RunKey, RunReport] = {}

    def update(self, listing: RunListing) -> bool:
        """Take in a list of runs; return whether one has newly stalled."""
        now_s = boottime_s()
        since: dict[RunKey, tuple[int, float]] = {}
        for row in listing.running:
            key = run_key(row)
            known = self._since.get(key)
            if known is not None and known[0] == row.percent:
                since[key] = known
                continue
            since[key] = (row.percent, now_s)
            if known is not None:
                pace = (now_s - known[1]) / max(row.percent - known[0], 1)
                self._paces[key] = max(self._paces.get(key, 0.0), pace)
        self._since = since
        self._paces = {key: one for key, one in self._paces.items() if key in since}
        self.has_unreported_progress |= any(
            self._is_further(row) for row in listing.running
        )
        had_stalled = self._has_stalled
        self._has_stalled = bool(self.stalled_runs())
        return self._has_stalled and not had_stalled

    def stalled_runs(self) -> list[tuple[str, int, float]]:
        """Return the runs that stand still, and since when."""
        now_s = boottime_s()
        return [
            (*key, since_s)
            for key, (percent, since_s) in self._since.items()
            if percent < FULL_PROGRESS_PERCENT and now_s - since_s >= self._limit_s(key)
        ]

    def mark_reported(self, listing: RunListing | None) -> None:
        """Note what the planner is told now."""
        self.has_unreported_progress = False
        rows = listing.running if listing is not None else ()
        self._reported = {run_key(row): row for row in rows}

    def _limit_s(self, key: RunKey) -> float:
        pace = self._paces.get(key)
        if pace is None:
            return MAX_STALL_S
        return min(max(STALL_FACTOR * pace, MIN_STALL_S), MAX_STALL_S)

    def _is_further(self, row: RunReport) -> bool:
        """Tell whether a run has saved anew or come further by a good part."""
        before = self._reported.get(run_key(row))
        if before is None:
            return False
        if row.checkpoint != before.checkpoint:
            return True
        return row.percent - before.percent >= REPORTED_PERCENT


def run_key(row: RunReport) -> RunKey:
    """Return the task and the number of a run."""
    return row.task, row.run


__all__ = ["ProgressTracker", "RunKey", "run_key"]
