"""Sums up the open runs of each upstream, again only when they change."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...protocol.job import ZERO_AMOUNTS

if TYPE_CHECKING:
    from ...protocol.job import ResourceAmounts
    from ...protocol.upstream_messages import RunReport, UpstreamReport
    from ...state.job_table import JobTable, OpenRun
    from .runs import StopRequests


@dataclass(slots=True)
class UpstreamRuns:
    """The open runs of an upstream as a whole.

    Attributes
    ----------
    key : str
        Key of the upstream.
    free, releasing : ResourceAmounts
        Not in use by any of them, and in use by those that are being stopped.
    is_costly : bool
        Whether one of the others is costly to preempt.
    is_serving, is_filling : bool
        Whether there are serving and filling tasks.
    unlisted : list of OpenRun
        Runs that the upstream has not listed.
    closed : list of RunReport
        Runs that it lists although the planner has closed them.
    starting_jobs, suspects : frozenset of str
        The jobs of these, and those whose tasks may crash the upstream.
    """

    key: str
    free: ResourceAmounts
    releasing: ResourceAmounts = ZERO_AMOUNTS
    is_costly: bool = False
    is_serving: bool = False
    is_filling: bool = False
    unlisted: list[OpenRun] = field(default_factory=list)
    closed: list[RunReport] = field(default_factory=list)
    starting_jobs: frozenset[str] = frozenset()
    suspects: frozenset[str] = frozenset()


class UpstreamRunsCache:
    """Keeps what the open runs of each upstream sum up to."""

    def __init__(self, job_table: JobTable, stopping: StopRequests) -> None:
        self._job_table = job_table
        self._stopping = stopping
        self._known: dict[str, tuple[UpstreamReport, int, int, UpstreamRuns]] = {}

    def find(self, report: UpstreamReport) -> UpstreamRuns:
        """Return the open runs of an upstream, given its newest report."""
        key = report.key
        version = self._job_table.open_runs_versions.get(key, 0)
        stops = self._stopping.versions.get(key, 0)
        known = self._known.get(key)
        if known is not None:
            known_report, known_version, known_stops, runs = known
            is_same_report = known_report is report
            if is_same_report and (known_version, known_stops) == (version, stops):
                return runs
        found = self._sum_up(report)
        self._known[key] = (report, version, stops, found)
        return found

    def retain(self, upstreams: set[str]) -> None:
        """Drop all upstreams but the given ones."""
        for key in self._known.keys() - upstreams:
            del self._known[key]

    def _sum_up(self, report: UpstreamReport) -> UpstreamRuns:
        found = UpstreamRuns(report.key, report.capacity)
        listed = {(row.task, row.run) for row in report.running}
        open_runs = self._job_table.open_runs.get(report.key, {})
        for row in report.running:
            run = open_runs.get(row.task)
            if run is None or run.run != row.run:
                found.closed.append(row)
        suspects = set()
        for task, run in open_runs.items():
            job_state = self._job_table.jobs[run.step.job_id]
            step = job_state.job.steps[run.step.step]
            found.free = found.free.minus(step.need)
            found.is_serving |= step.target_ms > 0
            found.is_filling |= step.fills
            if (task, run.run) in self._stopping:
                found.releasing = found.releasing.plus(step.need)
            else:
                found.is_costly |= not step.checkpoints and job_state.job.priority > 0
            if (task, run.run) not in listed:
                found.unlisted.append(run)
                state = job_state.step_state(run.step.occurrence, run.step.step)
                if state.tasks[run.index].crashed_vms:
                    suspects.add(run.step.job_id)
        found.starting_jobs = frozenset(run.step.job_id for run in found.unlisted)
        found.suspects = frozenset(suspects)
        return found


__all__ = ["UpstreamRuns", "UpstreamRunsCache"]
