"""Finds runs that upstreams list as running although the planner has closed them.

Their agents stop them. Until then their tasks must not start again, and they occupy
their upstreams.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...protocol.job import ZERO_AMOUNTS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...protocol.job import ResourceAmounts
    from ...protocol.upstream_messages import RunReport
    from ...state.job_table import JobTable, StepKey
    from .fleet import Fleet
    from .upstream_runs import UpstreamRuns


@dataclass(slots=True)
class ClosedRuns:
    """Closed runs that are listed as running and may hold a lease.

    Attributes
    ----------
    tasks : set of tuple
        Step and index of their tasks.
    used : dict
        What they occupy of their upstreams, by key.
    """

    tasks: set[tuple[StepKey, int]] = field(default_factory=set)
    used: dict[str, ResourceAmounts] = field(default_factory=dict)

    def add(
        self, upstream: str, rows: Iterable[RunReport], job_table: JobTable
    ) -> None:
        """Add closed runs of an upstream."""
        for row in rows:
            found = job_table.find_task(row.task)
            if found is None:
                continue
            key, index = found
            self.tasks.add(found)
            need = job_table.jobs[key.job_id].job.steps[key.step].need
            self.used[upstream] = self.used.get(upstream, ZERO_AMOUNTS).plus(need)


def find_closed_runs(
    runs: Iterable[UpstreamRuns], fleet: Fleet, job_table: JobTable
) -> ClosedRuns:
    """Return the closed runs that upstreams list, unless their leases have expired."""
    closed = ClosedRuns()
    for one in runs:
        if one.closed and not fleet.end_reason(one.key):
            closed.add(one.key, one.closed, job_table)
    return closed


__all__ = ["ClosedRuns", "find_closed_runs"]
