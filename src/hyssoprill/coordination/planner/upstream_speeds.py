"""Tells the speeds of upstreams, by what the terms in force have the planner learn."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .progress_speeds import ProgressSpeeds
from .speeds import SpeedEstimates

if TYPE_CHECKING:
    from ...state.job_table import JobTable, OpenRun
    from ..policy.dispatch.terms import DispatchTerms
    from .fleet import Fleet
    from .run_times import RunTimes


class UpstreamSpeeds:
    """Speeds of upstreams, from the progress of all runs or from done runs alone."""

    def __init__(self, job_table: JobTable, fleet: Fleet, run_times: RunTimes) -> None:
        self._run_times = run_times
        self._by_done_runs = SpeedEstimates()
        self._by_progress = ProgressSpeeds(job_table, fleet, run_times)
        self._uses_progress = False

    def adopt(self, terms: DispatchTerms) -> None:
        """Learn from progress, and count speeds in run times, if the terms say so."""
        if terms.upstream_speeds != self._uses_progress:
            self._uses_progress = terms.upstream_speeds
            self._run_times.speeds = self._by_progress if self._uses_progress else None
            self.clear()

    def clear(self) -> None:
        """Forget the progress of runs, at the start of a term."""
        self._by_progress.clear()

    def learn(self) -> None:
        """Learn from the newest reports."""
        if self._uses_progress:
            self._by_progress.learn()

    @property
    def in_use(self) -> ProgressSpeeds | SpeedEstimates:
        """What tells an upstream's speed relative to the mean of all."""
        return self._by_progress if self._uses_progress else self._by_done_runs

    def record_run(self, upstream: str, expected_s: float, ran_s: float) -> None:
        """Record a run that completed without having been resumed from a checkpoint."""
        self._by_done_runs.record_run(upstream, expected_s, ran_s)

    def record_end(self, upstream: str, task: str, run: OpenRun, ran_s: float) -> float:
        """Record that a run was done; return its run time at average speed.

        `ran_s` is 0 if it says little of the task; it is returned as it is while speeds
        are not learned from progress.
        """
        if not self._uses_progress:
            return ran_s
        self._by_progress.record_end(upstream, task, run, ran_s)
        return ran_s * self._by_progress.run_speed(run, upstream)

    def retain(self, upstreams: set[str]) -> None:
        """Drop all upstreams but the given ones."""
        self._by_done_runs.retain(upstreams)


__all__ = ["UpstreamSpeeds"]
