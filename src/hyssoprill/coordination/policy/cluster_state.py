"""State on which the scheduler decides, with all accounts kept in step."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ...protocol.bundle import EMPTY_BUNDLE, Bundle
from ...protocol.shape import Resources
from ...state.pool import ZERO_RESOURCES, Placement, Pool, Upstream
from .cells import CellTable
from .decisions import Decision, PendingStart, RunningJob, Start, WaitingJob
from .estimates import RuntimeEstimates
from .fairness import DominantShares, dominant_share
from .quarantine import Quarantine

if TYPE_CHECKING:
    from ...protocol.request import JobSpec


class ClusterState:
    """Pool, guarantees, waiting and running jobs, and what was learned.

    Attributes
    ----------
    decisions : list of Decision
        Decisions taken since the last step was collected.
    dirty_workspaces : set of str
        Workspaces whose waiting jobs are to be tried in their cells again.
    cells_stale : bool
        Whether cells may have to be assigned anew.
    """

    def __init__(self) -> None:
        self.pool = Pool()
        self.cells = CellTable(self.pool)
        self.estimates = RuntimeEstimates()
        self.shares = DominantShares()
        self.quarantine = Quarantine()
        self.bundle: Bundle = EMPTY_BUNDLE
        self.waiting: dict[str, WaitingJob] = {}
        self.running: dict[str, RunningJob] = {}
        self.pending: dict[str, PendingStart] = {}
        self.queues: dict[str, dict[str, WaitingJob]] = defaultdict(dict)
        self.dirty_workspaces: set[str] = set()
        self.decisions: list[Decision] = []
        self.capacity = ZERO_RESOURCES
        self.cells_stale = False
        self._closure_causes: dict[str, set[str]] = defaultdict(set)

    def add_upstream(self, upstream: Upstream) -> None:
        """Add an upstream, or replace one of another capacity."""
        self.pool.add(upstream)
        self.capacity = self.capacity.plus(upstream.capacity)
        self._set_open(upstream)

    def remove_upstream(self, name: str) -> None:
        """Remove an upstream."""
        upstream = self.pool.upstreams[name]
        self.capacity = self.capacity.minus(upstream.capacity)
        self.pool.remove(name)

    def close(self, name: str, cause: str) -> None:
        """Allow no new starts on an upstream, for one more cause."""
        if cause not in self._closure_causes[name]:
            self._closure_causes[name].add(cause)
            self._refresh_open(name)

    def reopen(self, name: str, cause: str) -> None:
        """Take back a cause for which an upstream was closed."""
        if cause in self._closure_causes[name]:
            self._closure_causes[name].discard(cause)
            self._refresh_open(name)

    def closed_causes(self, name: str) -> list[str]:
        """Return why an upstream gets no new starts."""
        return sorted(self._closure_causes.get(name, ()))

    def enqueue(self, job: WaitingJob) -> None:
        """Add a waiting job."""
        self.waiting[job.spec.id] = job
        self.queues[job.spec.workspace][job.spec.id] = job
        self.dirty_workspaces.add(job.spec.workspace)

    def dequeue(self, job_id: str) -> WaitingJob | None:
        """Take a job out of the queue."""
        job = self.waiting.pop(job_id, None)
        if job is not None:
            self.queues[job.spec.workspace].pop(job_id, None)
        return job

    def start(self, job: WaitingJob, place: Placement, cell: str, now_s: float) -> None:
        """Start a waiting job and decide so."""
        self.dequeue(job.spec.id)
        self.occupy(
            RunningJob(
                job.spec,
                place,
                cell,
                now_s,
                job.submitted_s,
                now_s,
                rank=job.rank,
            )
        )
        self.decisions.append(Start(job.spec.id, place, cell))

    def occupy(self, job: RunningJob) -> None:
        """Account for a job that runs."""
        spec, need = job.spec, job.spec.shape.need
        self.running[spec.id] = job
        self.pool.allocate(job.place, need, spec.id)
        cell = self.cells.cells.get(job.cell)
        if cell is not None:
            self.cells.bind(cell, spec.id, job.place, need)
            return
        job.cell = ""
        self.shares.add_usage(spec.workspace, self.dominant_share_of(spec))
        if not spec.idempotent:
            self.pool.claim(job.place, need)

    def vacate(self, job_id: str) -> RunningJob | None:
        """Account for the end of a job."""
        job = self.running.pop(job_id, None)
        if job is None:
            return None
        need = job.spec.shape.need
        self.pool.release(job.place, need, job_id)
        if job.cell:
            self.release_cell(job.cell, job_id, job.spec.workspace)
        else:
            self.shares.add_usage(job.spec.workspace, -self.dominant_share_of(job.spec))
            if not job.spec.idempotent:
                self.pool.claim(job.place, need, -1)
        for pending in self.pending.values():
            pending.victims.discard(job_id)
        return job

    def release_cell(self, cell: str, job_id: str, workspace: str) -> None:
        """Free a cell of a job; its place may have been closed meanwhile."""
        self.cells.unbind(cell, job_id)
        self.dirty_workspaces.add(workspace)
        self.cells_stale = True

    def dominant_share_of(self, spec: JobSpec) -> float:
        """Return a job's dominant share of the pool."""
        total = ZERO_RESOURCES.plus(spec.shape.need, spec.shape.members)
        return dominant_share(total, self.capacity)

    def expected_s(self, job: WaitingJob) -> float:
        """Return a waiting job's expected run time."""
        spec = job.spec
        return self.estimates.expected_s(spec.workspace, spec.kind, spec.declared_s)

    def revocable_capacity(self, upstream: Upstream) -> Resources:
        """Return what is left beside the jobs that may not be revoked."""
        left = upstream.capacity
        for job_id, members in upstream.jobs.items():
            job = self.running.get(job_id)
            if job is not None and not job.is_revocable:
                left = left.minus(job.spec.shape.need, members)
        return left.minus(upstream.reserved)

    def _refresh_open(self, name: str) -> None:
        upstream = self.pool.upstreams.get(name)
        if upstream is not None:
            self._set_open(upstream)

    def _set_open(self, upstream: Upstream) -> None:
        upstream.schedulable = not self._closure_causes.get(upstream.name)
        self.cells_stale = True
        self.pool.generation += 1
        self.dirty_workspaces.update(ws for ws, queue in self.queues.items() if queue)


__all__ = ["ClusterState"]
