"""Starts jobs beyond guarantees: fair across workspaces, large jobs not starved."""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

from ...state.pool import ZERO_RESOURCES
from .eviction import EvictionPlanner
from .guaranteed import evict_for
from .placement import find_place, free, free_and_unclaimed

if TYPE_CHECKING:
    from ...protocol.shape import Resources, Shape
    from ...state.pool import Placement, Upstream
    from .cluster_state import ClusterState
    from .decisions import RunningJob, WaitingJob
    from .placement import Available
    from .zones import ZoneTransitions

AGE_PER_EXPECTED_S = 4.0
PRIORITY_AGE_S = 600.0
MAX_EXPECTED_S = 600.0
MIN_RUN_S = 60.0
WAITED_LONG = "large_job_waited_long"


class OpportunisticScheduler:
    """Serves waiting jobs from what guarantees leave unused."""

    def __init__(self, state: ClusterState, zones: ZoneTransitions) -> None:
        self._state = state
        self._zones = zones
        self._unplaceable: set[tuple[Shape, bool]] = set()
        self._unplaceable_generation = -1

    def start(self, now_s: float) -> None:
        """Start what fits, the workspace with the least share first."""
        self._start_fairly(now_s)
        self._preempt_for_aged(now_s)

    def rank_key(self, job: WaitingJob) -> tuple[float, str]:
        """Return the rank of a job in its workspace; short ones come earlier.

        Its age raises any job past newer short ones, so none starves.
        """
        expected = min(self._state.expected_s(job), MAX_EXPECTED_S)
        expected *= AGE_PER_EXPECTED_S
        boost = PRIORITY_AGE_S * (job.spec.priority + 10 * job.spec.urgent)
        return job.submitted_s + expected - boost, job.spec.id

    def _start_fairly(self, now_s: float) -> None:
        state = self._state
        if state.pool.generation != self._unplaceable_generation:
            self._unplaceable.clear()
            self._unplaceable_generation = state.pool.generation
        queues = {
            workspace: sorted(queue.values(), key=self.rank_key, reverse=True)
            for workspace, queue in state.queues.items()
            if queue
        }
        heap = [
            (state.shares.weighted_share(workspace), workspace) for workspace in queues
        ]
        heapq.heapify(heap)
        while heap:
            _, workspace = heapq.heappop(heap)
            queue = queues[workspace]
            if self._start_next(queue, now_s):
                heapq.heappush(
                    heap, (state.shares.weighted_share(workspace), workspace)
                )

    def _start_next(self, queue: list[WaitingJob], now_s: float) -> bool:
        """Start the first job of a queue that fits; consume those passed over."""
        while queue:
            job = queue.pop()
            if job.spec.id in self._state.pending:
                continue
            place = self._find_place(job)
            if place is not None:
                self._zones.take_token(place)
                job.rank = self.rank_key(job)[0]
                self._state.start(job, place, "", now_s)
                return True
        return False

    def _find_place(self, job: WaitingJob) -> Placement | None:
        """Find a place, away from guarantees first."""
        state, shape = self._state, job.spec.shape
        key = (shape, job.spec.idempotent)
        if key in self._unplaceable:
            self._set_wait_reason(job)
            return None
        gate = self._zones.limit_returns
        place = find_place(
            state.pool, shape, gate(free_and_unclaimed), excluded=job.excluded
        )
        if place is None and job.spec.idempotent:
            place = find_place(state.pool, shape, gate(free), excluded=job.excluded)
        if place is None:
            self._set_wait_reason(job)
            if not job.excluded:
                self._unplaceable.add(key)
        return place

    def _set_wait_reason(self, job: WaitingJob) -> None:
        """Note why a job waits, and what would let it run."""
        out = ", ".join(sorted(self._state.bundle.zones_out))
        if not job.spec.idempotent:
            job.code = "no_safe_room"
            job.reason = (
                "it may not be repeated, and all free room may be reclaimed by a "
                "guarantee; it starts within its own guarantee or when room remains"
            )
        elif out:
            job.code = "no_room_in_open_zones"
            job.reason = f"no adjacent free room while zones are out: {out}"
        else:
            job.code = "no_room"
            job.reason = "no adjacent free room; it starts when running jobs end"

    def _preempt_for_aged(self, now_s: float) -> None:
        """Stop later-ranked jobs for those that have waited long."""
        state = self._state
        after_s = state.bundle.limits.preempt_after_s
        aged = [
            job
            for job in state.waiting.values()
            if now_s - job.submitted_s >= after_s
            and job.spec.id not in state.pending
            and (job.spec.shape, job.spec.idempotent) in self._unplaceable
        ]
        tried: set[tuple[Shape, bool]] = set()
        for job in sorted(aged, key=self.rank_key):
            key = (job.spec.shape, job.spec.idempotent)
            if key not in tried:
                tried.add(key)
                self._preempt(job, now_s)

    def _preempt(self, job: WaitingJob, now_s: float) -> None:
        """Stop later-ranked jobs at the place that loses least work."""
        state = self._state
        rank = self.rank_key(job)[0]
        grace_s = state.bundle.limits.reclaim_grace_s

        def may_stop(running: RunningJob) -> bool:
            ran_s = now_s - running.started_s
            is_later = running.rank > rank and ran_s >= MIN_RUN_S
            return running.is_revocable and (is_later or running.stopping)

        planner = EvictionPlanner(state, now_s, grace_s, may_stop=may_stop)
        eviction = planner.cheapest(
            job.spec.shape, self._preemptible_resources(job), excluded=job.excluded
        )
        if eviction is None:
            return
        need = job.spec.shape.need
        if not (
            job.spec.idempotent or state.cells.move_unbound_cells(eviction.place, need)
        ):
            return
        evict_for(state, job, eviction, "", WAITED_LONG, now_s)

    def _preemptible_resources(self, job: WaitingJob) -> Available:
        """Return what a job may use once others are stopped and cells are moved."""
        state = self._state
        if job.spec.idempotent:
            return state.revocable_capacity
        loose = state.cells.unbound_claims()

        def available(upstream: Upstream) -> Resources:
            unclaimed = upstream.unclaimed.plus(
                loose.get(upstream.name, ZERO_RESOURCES)
            )
            return state.revocable_capacity(upstream).minimum(unclaimed)

        return available


__all__ = ["OpportunisticScheduler"]
