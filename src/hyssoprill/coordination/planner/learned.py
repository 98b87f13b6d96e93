"""What the planner learns while it plans; nothing of it is stored."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .failures import FailureTracker
from .run_times import RunTimes
from .upstream_lifetimes import UpstreamLifetimes
from .upstream_speeds import UpstreamSpeeds
from .workspace_use import WorkspaceUse

if TYPE_CHECKING:
    from ...state.job_table import JobTable
    from ...state.operator_config import OperatorConfig
    from ..policy.dispatch.terms import DispatchTerms
    from .fleet import Fleet


class Learned:
    """Failures, run times, speeds, lifetimes of upstreams and use by workspaces.

    Attributes
    ----------
    share_buckets : dict
        How far workspaces are above their shares, by the newest round.
    """

    def __init__(self, job_table: JobTable, fleet: Fleet) -> None:
        self.failures = FailureTracker()
        self.run_times = RunTimes(job_table, fleet)
        self.speeds = UpstreamSpeeds(job_table, fleet, self.run_times)
        self.lifetimes = UpstreamLifetimes(job_table, fleet)
        self.share_buckets: dict[str, int] = {}
        self._workspace_use = WorkspaceUse(job_table, fleet)
        self._job_table = job_table
        self._fleet = fleet

    def begin_term(self) -> None:
        """Drop what belongs to an earlier term, and learn again from the job table."""
        self.run_times.rebuild()
        self.speeds.clear()
        self.lifetimes.clear()
        self._workspace_use.clear()
        self.share_buckets = {}

    def adopt(self, terms: DispatchTerms) -> None:
        """Learn what other terms ask for."""
        self.speeds.adopt(terms)
        self.run_times.use_tails(in_force=terms.run_time_tails)
        self.lifetimes.use(in_force=terms.upstream_lifetimes)

    def update_shares(
        self, terms: DispatchTerms, config: OperatorConfig, *, is_settled: bool
    ) -> None:
        """Find how far workspaces are above their shares, if the terms ask for it.

        The account begins once they do and the size of the pool is known.

        Parameters
        ----------
        is_settled : bool
            Whether all VMs are known.
        """
        self.share_buckets = {}
        if terms.fair_shares and is_settled:
            self.share_buckets = self._workspace_use.find_buckets(config)
        else:
            self._workspace_use.clear()

    def retain(self, upstreams: set[str], now_s: float) -> None:
        """Drop what is known of other upstreams and of jobs that are gone."""
        self.failures.retain(set(self._job_table.active), now_s)
        self.speeds.retain(upstreams)
        queues = {one.job.queue for one in self._job_table.jobs.values()}
        self.run_times.retain(queues)


__all__ = ["Learned"]
