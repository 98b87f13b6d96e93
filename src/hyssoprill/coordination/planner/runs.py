"""What the planner remembers of open runs beside what is stored."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s

if TYPE_CHECKING:
    from ...state.ledger import OpenRun

RunKey = tuple[str, int]


@dataclass(slots=True)
class RunNotes:
    """Start times, and the runs that are to stop with the reason.

    A new planner knows neither: it takes runs to have begun when it first saw them,
    and decides anew what has to stop.
    """

    began_s: dict[RunKey, float] = field(default_factory=dict)
    stopping: dict[RunKey, str] = field(default_factory=dict)

    def began(self, key: RunKey) -> float:
        """Return since when a run is known."""
        return self.began_s.setdefault(key, boottime_s())

    def keep_only(self, open_runs: dict[str, dict[str, OpenRun]]) -> None:
        """Forget runs that are no longer open."""
        present = {
            (task, run.run) for runs in open_runs.values() for task, run in runs.items()
        }
        for known in (self.began_s, self.stopping):
            for key in [one for one in known if one not in present]:
                del known[key]

    def clear(self) -> None:
        """Forget all, at the start of a term."""
        self.began_s.clear()
        self.stopping.clear()


__all__ = ["RunKey", "RunNotes"]
