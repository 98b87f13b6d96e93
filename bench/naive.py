"""The naive scheduler: first fit, in order of arrival, counting quotas."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hyssoprill.coordination.policy.decisions import Revoke, RunningJob, Start
from hyssoprill.state.pool import Pool, Upstream

if TYPE_CHECKING:
    from hyssoprill.coordination.policy.decisions import Decision
    from hyssoprill.protocol.bundle import Bundle
    from hyssoprill.protocol.request import JobSpec
    from hyssoprill.protocol.shape import Resources, Shape
    from hyssoprill.state.pool import Placement


class NaiveScheduler:
    """Has the events of `Scheduler`, and the simplest decisions that can work.

    A guarantee is a number of accelerators. A job within its workspace's number
    has the youngest jobs of others stopped until as many accelerators are free.
    """

    def __init__(self) -> None:
        self.pool = Pool()
        self.running: dict[str, RunningJob] = {}
        self.waiting: dict[str, tuple[JobSpec, float]] = {}
        self._quotas: dict[str, int] = {}
        self._zones_out: frozenset[str] = frozenset()
        self._grace_s = 0.0

    def apply_bundle(self, bundle: Bundle, now_s: float) -> None:
        """Count quotas, and note which zones are out."""
        self._quotas = {}
        for one in bundle.guarantees:
            amount = one.shape.total_accelerators * one.count
            self._quotas[one.workspace] = self._quotas.get(one.workspace, 0) + amount
        self._zones_out = bundle.zones_out
        self._grace_s = bundle.limits.reclaim_grace_s

    def upstream_up(self, name: str, zone: str, rack: str, amounts: Resources) -> None:
        """Add an upstream."""
        self.pool.add(Upstream(name, zone, rack, amounts))

    def upstream_down(self, name: str) -> None:
        """Remove an upstream."""
        if name in self.pool.upstreams:
            self.pool.remove(name)

    def submit(self, spec: JobSpec, submitted_s: float, **_more: object) -> None:
        """Take in a job; one that was stopped goes to the end of the queue."""
        self.waiting[spec.id] = (spec, submitted_s)

    def withdraw(self, job_id: str) -> None:
        """Forget a waiting job."""
        self.waiting.pop(job_id, None)

    def job_ended(self, job_id: str) -> RunningJob | None:
        """Account for the end of a job."""
        job = self.running.pop(job_id, None)
        if job is not None:
            self.pool.release(job.place, job.spec.shape.need, job_id)
        return job

    def job_checkpointed(self, job_id: str, now_s: float) -> None:
        """Learn nothing."""

    def record_success(self, upstream: str, spec: JobSpec, ran_s: float) -> None:
        """Learn nothing."""

    def record_failure(
        self, upstream: str, spec: JobSpec, ran_s: float, now_s: float
    ) -> None:
        """Learn nothing."""

    def step(self, now_s: float) -> list[Decision]:
        """Empty zones, then start or reclaim in order of arrival."""
        decisions: list[Decision] = self._empty_zones()
        failed: set[Shape] = set()
        for spec, submitted_s in list(self.waiting.values()):
            if spec.shape in failed:
                continue
            place = self.first_fit(spec.shape)
            if place is not None:
                self._start(spec, place, submitted_s, now_s)
                decisions.append(Start(spec.id, place, ""))
            else:
                failed.add(spec.shape)
                decisions += self._reclaim(spec)
        return decisions

    def _start(
        self, spec: JobSpec, place: Placement, submitted_s: float, now_s: float
    ) -> None:
        del self.waiting[spec.id]
        self.pool.allocate(place, spec.shape.need, spec.id)
        self.running[spec.id] = RunningJob(spec, place, "", now_s, submitted_s, now_s)

    def first_fit(self, shape: Shape) -> Placement | None:
        """Return the first place that holds a shape now."""
        for domain in self.pool.domains(shape.adjacent):
            place = []
            left = shape.members
            for upstream in domain:
                if upstream.availability_zone in self._zones_out:
                    continue
                members = min(left, upstream.free.fit_count(shape.need))
                if members:
                    place.append((upstream.name, members))
                    left -= members
            if left == 0:
                return tuple(place)
        return None

    def _reclaim(self, spec: JobSpec) -> list[Decision]:
        """Stop the youngest jobs of others until enough accelerators are free."""
        used = sum(
            job.spec.shape.total_accelerators
            for job in self.running.values()
            if job.spec.workspace == spec.workspace
        )
        need = spec.shape.total_accelerators
        if used + need > self._quotas.get(spec.workspace, 0):
            return []
        free = sum(
            upstream.free.accelerators
            for upstream in self.pool.upstreams.values()
            if upstream.availability_zone not in self._zones_out
        )
        free += sum(
            job.spec.shape.total_accelerators
            for job in self.running.values()
            if job.stopping
        )
        decisions: list[Decision] = []
        for job in reversed(list(self.running.values())):
            if free >= need:
                break
            if job.stopping or not job.spec.idempotent:
                continue
            if job.spec.workspace == spec.workspace:
                continue
            job.stopping = True
            free += job.spec.shape.total_accelerators
            decisions.append(Revoke(job.spec.id, self._grace_s, "quota_reclaimed"))
        return decisions

    def _empty_zones(self) -> list[Decision]:
        decisions: list[Decision] = []
        for zone in self._zones_out:
            for upstream in self.pool.upstreams_in_zone(zone):
                for job_id in upstream.jobs:
                    job = self.running[job_id]
                    if not job.stopping and job.spec.idempotent:
                        job.stopping = True
                        decisions.append(Revoke(job_id, self._grace_s, "zone_out"))
        return decisions


__all__ = ["NaiveScheduler"]
