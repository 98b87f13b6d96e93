"""Stop requests for open runs, which the planner keeps in memory only."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ...clock import unix_ms
from ...protocol.upstream_key import parse_upstream_key
from .run_log import RunLog

if TYPE_CHECKING:
    from ...state.job_table import JobTable, OpenRun, TaskState

RunKey = tuple[str, int]

NO_PROGRESS = "no progress"
"""Reason of a stop of a run that stands still."""


class StopRequests:
    """Runs that have to stop, each with the reason.

    They are not stored: a new planner decides again which runs have to stop.

    Attributes
    ----------
    versions : dict
        For each upstream key a number that rises as the requests for its open runs
        change.
    """

    def __init__(self) -> None:
        self.versions: dict[str, int] = defaultdict(int)
        self._reasons: dict[RunKey, str] = {}
        self._log = RunLog()

    def __contains__(self, key: RunKey) -> bool:
        return key in self._reasons

    def has_any(self, keys: list[RunKey]) -> bool:
        """Return whether a stop of one of some runs is requested."""
        return not self._reasons.keys().isdisjoint(keys)

    def add(self, key: RunKey, upstream: str, reason: str) -> None:
        """Request that a run stops; the reason of an earlier request is kept."""
        if key not in self._reasons:
            self._log.add("run_to_stop", key[0], {"run": key[1], "why": reason}, {})
            self._reasons[key] = reason
            self.versions[upstream] += 1

    def reason(self, key: RunKey) -> str:
        """Return why a run has to stop, or '' if no stop was requested."""
        return self._reasons.get(key, "")

    def write_log(self) -> None:
        """Log the requests since the last call."""
        self._log.write()

    def retain(self, open_runs: dict[str, dict[str, OpenRun]]) -> None:
        """Drop the requests for runs that are no longer open."""
        if not self._reasons:
            return
        still_open = {
            (task, run.run) for runs in open_runs.values() for task, run in runs.items()
        }
        for key in [one for one in self._reasons if one not in still_open]:
            del self._reasons[key]

    def clear(self) -> None:
        """Drop all requests, at the start of a term."""
        self._reasons.clear()
        for upstream in self.versions:
            self.versions[upstream] += 1


def elapsed_s(task: TaskState) -> float:
    """Return the time since the newest run of a task was started."""
    return max(unix_ms() - task.started_ms, 0) / 1000


def vms_with_runs(job_table: JobTable) -> set[str]:
    """Return the VMs of all upstreams with open runs."""
    return {
        parse_upstream_key(key).vm for key, runs in job_table.open_runs.items() if runs
    }


__all__ = ["NO_PROGRESS", "RunKey", "StopRequests", "elapsed_s", "vms_with_runs"]
