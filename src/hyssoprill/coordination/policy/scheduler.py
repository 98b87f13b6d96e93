"""The scheduler: takes in events and decides what to start and stop."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.pool import Upstream
from .cluster_state import ClusterState
from .decisions import Refuse, RunningJob, WaitingJob
from .guaranteed import cancel_pending, start_guaranteed, start_pending, start_remaining
from .opportunistic import OpportunisticScheduler
from .placement import capacity, find_place
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
    """Decides where jobs of all workspaces run.

    It has no clock and no input or output: callers report events with the time
    in seconds and carry out the decisions of `step`.
    """

    def __init__(self) -> None:
        self.state = ClusterState()
        self._zones = ZoneTransitions(self.state)
        self._opportunistic = OpportunisticScheduler(self.state, self._zones)
        self._suspect_upstreams: set[str] = set()
        self._feasible_shapes: dict[Shape, bool] = {}
        self._max_waiting: dict[str, int] = {}

    def apply_bundle(self, bundle: Bundle, now_s: float) -> None:
        """Put a bundle in force."""
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

    def upstream_up(self, name: str, zone: str, rack: str, amounts: Resources) -> None:
        """Add an upstream that announced itself."""
        upstream = Upstream(name, zone, rack, amounts)
        if zone in self.state.bundle.zones_out:
            self.state.close(name, ZONE_OUT)
        self.state.add_upstream(upstream)
        self._feasible_shapes.clear()

    def upstream_down(self, name: str) -> None:
        """Remove an upstream; the end of its jobs is reported on its own."""
        if name in self.state.pool.upstreams:
            self.state.remove_upstream(name)
            self.state.quarantine.forget(name)
            self.state.cells_stale = True

    def close(self, name: str, cause: str) -> None:
        """Allow no new starts on an upstream."""
        self.state.close(name, cause)

    def reopen(self, name: str, cause: str) -> None:
        """Take back a cause for which an upstream was closed."""
        self.state.reopen(name, cause)

    def submit(
        self,
        spec: JobSpec,
        submitted_s: float,
        *,
        excluded: frozenset[str] = frozenset(),
    ) -> None:
        """Take in a job that waits."""
        if spec.id in self.state.waiting or spec.id in self.state.running:
            return
        job = WaitingJob(spec, submitted_s, excluded)
        self.state.enqueue(job)

    def withdraw(self, job_id: str) -> None:
        """Forget a waiting job."""
        if job_id in self.state.pending:
            cancel_pending(self.state, job_id)
        self.state.dequeue(job_id)

    def adopt(
        self, spec: JobSpec, place: Placement, cell: str, started_s: float
    ) -> None:
        """Account for a job that was found running."""
        self.withdraw(spec.id)
        known = self.state.cells.cells.get(cell)
        if known is not None:
            self.state.cells_stale = True
            if not self.state.cells.assign_around(known, place, spec.shape.need):
                cell = ""
        job = RunningJob(spec, place, cell, started_s, started_s, started_s)
        self.state.occupy(job)

    def job_checkpointed(self, job_id: str, now_s: float) -> None:
        """Note a checkpoint of a running job."""
        job = self.state.running.get(job_id)
        if job is not None:
            job.checkpoint_s = now_s

    def job_ended(self, job_id: str) -> RunningJob | None:
        """Account for a job that runs no more."""
        return self.state.vacate(job_id)

    def record_success(self, upstream: str, spec: JobSpec, ran_s: float) -> None:
        """Learn from a task that was done."""
        self.state.quarantine.record_success(upstream, (spec.workspace, spec.kind))
        self.state.estimates.record_run(
            spec.workspace, spec.kind, spec.declared_s, ran_s
        )

    def record_failure(
        self, upstream: str, spec: JobSpec, ran_s: float, now_s: float
    ) -> None:
        """Learn from a task that failed."""
        source = (spec.workspace, spec.kind)
        if self.state.quarantine.record_failure(upstream, source, ran_s, now_s):
            self._suspect_upstreams.add(upstream)
            self.close(upstream, QUARANTINED)

    def step(self, now_s: float) -> list[Decision]:
        """Decide what is to be done now."""
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
        """Return why a job can never run, or None where it may."""
        shape = spec.shape
        possible = self._feasible_shapes.get(shape)
        if possible is None:
            possible = self._fits_empty_pool(shape)
            self._feasible_shapes[shape] = possible
        if possible:
            return None
        return Refuse(
            spec.id,
            NEVER_FITS,
            f"change the shape: no {shape.adjacent} of the pool can hold "
            f"{shape.members} members of {shape.accelerators} accelerators each",
        )

    def overflow_refusals(self) -> list[Refuse]:
        """Return the newest jobs beyond what may wait of each workspace."""
        refusals = []
        for workspace, limit in self._max_waiting.items():
            queue = self.state.queues[workspace].values()
            for job in sorted(queue, key=lambda one: one.submitted_s)[limit:]:
                reason = f"send it later: {limit} jobs of {workspace} may wait"
                refusals.append(Refuse(job.spec.id, "queue_full", reason))
        return refusals

    def explain(self, job_id: str) -> tuple[str, str]:
        """Return the code and the reason why a job waits."""
        job = self.state.waiting.get(job_id)
        if job is not None:
            return job.code, job.reason
        if job_id in self.state.running:
            return "running", "it runs"
        return "unknown_job", "the coordinator does not know this job"

    def _fits_empty_pool(self, shape: Shape) -> bool:
        upstreams = self.state.pool.upstreams.values()
        closed = [upstream for upstream in upstreams if not upstream.schedulable]
        for upstream in closed:
            upstream.schedulable = True
        place = find_place(self.state.pool, shape, capacity)
        for upstream in closed:
            upstream.schedulable = False
        return place is not None

    def _set_guarantees(self, bundle: Bundle) -> None:
        """Replace the cells; jobs of dropped cells run on beyond guarantees."""
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
        """Reopen upstreams after quarantine, one task at a time at first."""
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
