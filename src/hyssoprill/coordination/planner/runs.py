"""What the planner remembers of open runs beside what is stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import unix_ms
from ...logs import decision

if TYPE_CHECKING:
    from ...state.job_table import OpenRun, TaskState

RunKey = tuple[str, int]


class StopNotes:
    """Runs that are to stop, with the reason.

    A new planner does not know them, and decides anew what has to stop.
    """

    def __init__(self) -> None:
        self._reasons: dict[RunKey, str] = {}

    def __contains__(self, key: RunKey) -> bool:
        return key in self._reasons

    def add(self, key: RunKey, why: str) -> None:
        """Note that a run is to stop, where it was not noted before."""
        if key not in self._reasons:
            decision("run_to_stop", task=key[0], run=key[1], why=why)
            self._reasons[key] = why

    def reason(self, key: RunKey) -> str:
        """Return why a run is to stop, or ''."""
        return self._reasons.get(key, "")

    def keep_only(self, open_runs: dict[str, dict[str, OpenRun]]) -> None:
        """Forget runs that are no longer open."""
        present = {
            (task, run.run) for runs in open_runs.values() for task, run in runs.items()
        }
        for key in [one for one in self._reasons if one not in present]:
            del self._reasons[key]

    def clear(self) -> None:
        """Forget all, at the start of a term."""
        self._reasons.clear()


def ran_s(task: TaskState) -> float:
    """Return for how long the newest run of a task has been under way."""
    return max(unix_ms() - task.started_ms, 0) / 1000


__all__ = ["RunKey", "StopNotes", "ran_s"]
