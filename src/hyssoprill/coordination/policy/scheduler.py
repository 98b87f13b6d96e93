"""Scheduler core: turns cluster events into decisions to start, stop or refuse jobs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.pool import Upstream
from .cluster_state import ClusterState
from .decisions import Refuse, RunningJob, WaitingJob
from .guaranteed import cancel_pending, start_guaranteed, start_pending, start_remaining
from .opportunistic import OpportunisticScheduler
from .placement import find_place, total_capacity
from .zones import ZONE_OUT, ZoneTransitions

if TYPE_CHECKING:
    from ...protocol.bundle import Bundle
    from ...protocol.request import JobSpec
    from ...protocol.shape import Resources, Shape
    from ...state.pool import Placement
    from .decisions import Decision

QUARANTINED = "quarantined"
NEVER_FITS = "never_fits"


class Scheduler:
    """Decides where and when the jobs of all workspaces run.

    The scheduler has no clock and does no I/O: callers report events, pass the
    current time in seconds, and carry out the decisions that `step` returns.
    """

    def __init__(self) -> None:
        self.state = ClusterState()
        self._zones = ZoneTransitions(self.state)
        self._opportunistic = OpportunisticScheduler(self.state, self._zones)
        self._suspect_upstreams: set[str] = set()
        self._feasible_shapes: dict[Shape, bool] = {}
        self._max_waiting: dict[str, int] = {}

    def apply_bundle(self, bundle: Bundle, now_s: float) -> None:
        """Apply a new bundle: guarantees, weights, limits and zone states."""
        state = self.state
        old, state.bundle = state.bundle, bundle
        state.quarantine.threshold = bundle.limits.quarantine_failures
        self._max_waiting = {w.workspace: w.max_waiting for w in bundle.workspaces}
        state.shares.set_weights({w.workspace: w.weight for w in bundle.workspaces})
        self._zones.apply(old, bundle, now_s)
        if old.guarantees != bundle.guarantees:
            self._set_guarantees(bundle)
        state.cells_stale = True
        state.dirty_workspaces.update(state.queues)

    def upstream_up(self, name: str, zone: str, rack: str, capacity: Resources) -> None:
        """Add an upstream that became available, closed if its zone is out."""
        upstream = Upstream(name, zone, rack, capacity)
        if zone in self.state.bundle.zones_out:
            self.state.close(name, ZONE_OUT)
        self.state.add_upstream(upstream)
        self._feasible_shapes.clear()

    def upstream_down(self, name: str) -> None:
        """Remove an upstream; the caller reports each of its jobs with `job_ended`."""
        if name in self.state.pool.upstreams:
            self.state.remove_upstream(name)
            self.state.quarantine.forget(name)
            self.state.cells_stale = True

    def close(self, name: str, cause: str) -> None:
        """Stop placing new jobs on an upstream until `cause` is removed."""
        self.state.close(name, cause)

    def reopen(self, name: str, cause: str) -> None:
        """Remove one cause for which an upstream is closed."""
        self.state.reopen(name, cause)

    def submit(
        self,
        spec: JobSpec,
        submitted_s: float,
        *,
        excluded: frozenset[str] = frozenset(),
    ) -> None:
        """Enqueue a job unless it is already waiting or running."""
        if spec.id in self.state.waiting or spec.id in self.state.running:
            return
        job = WaitingJob(spec, submitted_s, excluded)
        self.state.enqueue(job)

    def withdraw(self, job_id: str) -> None:
        """Remove a waiting job, and cancel its pending start if it has one."""
        if job_id in self.state.pending:
            cancel_pending(self.state, job_id)
        self.state.dequeue(job_id)

    def adopt(
        self, spec: JobSpec, place: Placement, cell: str, started_s: float
    ) -> None:
        """Account for a job that was found running, for example by a new coordinator.

        The job counts as opportunistic if its cell is unknown or cannot hold it.
        """
        self.withdraw(spec.id)
        known_cell = self.state.cells.cells.get(cell)
        if known_cell is not None:
            self.state.cells_stale = True
            if not self.state.cells.assign_around(known_cell, place, spec.shape.need):
                cell = ""
        job = RunningJob(spec, place, cell, started_s, started_s, started_s)
        self.state.add_running_job(job)

    def job_checkpointed(self, job_id: str, now_s: float) -> None:
        """Record the time of a running job's latest checkpoint."""
        job = self.state.running.get(job_id)
        if job is not None:
            job.checkpoint_s = now_s

    def job_ended(self, job_id: str) -> RunningJob | None:
        """Release the resources of a job that no longer runs."""
        return self.state.remove_running_job(job_id)

    def record_success(self, upstream: str, spec: JobSpec, ran_s: float) -> None:
        """Update quarantine and run-time estimates after a successful task."""
        self.state.quarantine.record_success(upstream, (spec.workspace, spec.kind))
        self.state.estimates.record_run(
            spec.workspace, spec.kind, spec.declared_s, ran_s
        )

    def record_failure(
        self, upstream: str, spec: JobSpec, ran_s: float, now_s: float
    ) -> None:
        """Update quarantine after a failed task, closing the upstream if needed."""
        source = (spec.workspace, spec.kind)
        if self.state.quarantine.record_failure(upstream, source, ran_s, now_s):
            self._suspect_upstreams.add(upstream)
            self.close(upstream, QUARANTINED)

    def step(self, now_s: float) -> list[Decision]:
        """Run one scheduling pass and return the decisions taken."""
        state = self.state
        state.shares.advance(now_s)
        self._update_quarantine(now_s)
        self._zones.advance(now_s)
        start_pending(state, now_s)
        if state.cells_stale:
            state.cells_stale = False
            state.cells.assign()
        start_guaranteed(state, now_s)
        self._opportunistic.start(now_s)
        start_remaining(state, now_s)
        decisions, state.decisions = state.decisions, []
        return decisions

    def refusal_if_infeasible(self, spec: JobSpec) -> Refuse | None:
        """Return a refusal if the shape exceeds even an empty pool, else None."""
        shape = spec.shape
        is_feasible = self._feasible_shapes.get(shape)
        if is_feasible is None:
            is_feasible = self._fits_empty_pool(shape)
            self._feasible_shapes[shape] = is_feasible
        if is_feasible:
            return None
        return Refuse(
            spec.id,
            NEVER_FITS,
            f"change the shape: no {shape.adjacent} of the pool can hold "
            f"{shape.members} members of {shape.accelerators} accelerators each",
        )

    def overflow_refusals(self) -> list[Refuse]:
        """Return refusals for the newest jobs above each workspace's queue limit."""
        refusals = []
        for workspace, limit in self._max_waiting.items():
            queue = self.state.queues[workspace].values()
            for job in sorted(queue, key=lambda one: one.submitted_s)[limit:]:
                reason = f"send it later: at most {limit} jobs of {workspace} may wait"
                refusals.append(Refuse(job.spec.id, "queue_full", reason))
        return refusals

    def explain(self, job_id: str) -> tuple[str, str]:
        """Return a code and a text that explain a job's state."""
        job = self.state.waiting.get(job_id)
        if job is not None:
            return job.code, job.reason
        if job_id in self.state.running:
            return "running", "the job is running"
        return "unknown_job", "the coordinator has no job of this id"

    def _fits_empty_pool(self, shape: Shape) -> bool:
        """Return whether a shape fits with all upstreams open and unused."""
        upstreams = self.state.pool.upstreams.values()
        closed = [upstream for upstream in upstreams if not upstream.schedulable]
        for upstream in closed:
            upstream.schedulable = True
        place = find_place(self.state.pool, shape, total_capacity)
        for upstream in closed:
            upstream.schedulable = False
        return place is not None

    def _set_guarantees(self, bundle: Bundle) -> None:
        """Replace the cells; jobs whose cell is gone continue as opportunistic."""
        state = self.state
        state.cells.set_guarantees(bundle.guarantees)
        for job in state.running.values():
            if job.cell and job.cell not in state.cells.cells:
                job.cell = ""
                state.shares.add_usage(
                    job.spec.workspace, state.dominant_share_of(job.spec)
                )
                if not job.spec.idempotent:
                    state.pool.claim(job.place, job.spec.shape.need)
        for job_id, pending in list(state.pending.items()):
            if pending.cell and pending.cell not in state.cells.cells:
                cancel_pending(state, job_id)

    def _update_quarantine(self, now_s: float) -> None:
        """Reopen upstreams after quarantine.

        An upstream on probation is open only while no job runs on it.
        """
        state = self.state
        for name in list(self._suspect_upstreams):
            upstream = state.pool.upstreams.get(name)
            if upstream is None or not state.quarantine.is_on_probation(name):
                self._suspect_upstreams.discard(name)
                self.reopen(name, QUARANTINED)
            elif state.quarantine.is_quarantined(name, now_s) or upstream.jobs:
                self.close(name, QUARANTINED)
            else:
                self.reopen(name, QUARANTINED)


__all__ = ["NEVER_FITS", "QUARANTINED", "Scheduler"]
