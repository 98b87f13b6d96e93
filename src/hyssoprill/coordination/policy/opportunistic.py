"""Starts opportunistic jobs on capacity that guarantees leave unused.

Workspaces are served by weighted fairness, shorter jobs first. Jobs that have waited
long may preempt later ones, so that large jobs are not starved.
"""

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
"""Seconds of waiting that outweigh one second of expected run time in the rank."""
PRIORITY_AGE_S = 600.0
"""Seconds of waiting that one level of priority is worth; urgency counts as ten."""
MAX_EXPECTED_S = 600.0
"""Longer expected run times count as this in the rank."""
MIN_RUN_S = 60.0
"""Jobs are not preempted by a long-waiting one before they have run for this long."""
WAITED_LONG = "large_job_waited_long"


class OpportunisticScheduler:
    """Starts waiting jobs on what guarantees leave unused.

    Shapes that found no place are not tried again until the pool changes.
    """

    def __init__(self, state: ClusterState, zones: ZoneTransitions) -> None:
        self._state = state
        self._zones = zones
        self._unplaceable: set[tuple[Shape, bool]] = set()
        self._unplaceable_generation = -1

    def start(self, now_s: float) -> None:
        """Start the jobs that fit, then preempt for those that have waited long."""
        self._start_fairly(now_s)
        self._preempt_for_aged(now_s)

    def rank_key(self, job: WaitingJob) -> tuple[float, str]:
        """Return a job's rank in its workspace, lowest first, and its id.

        Shorter jobs rank earlier, but age raises any job above newer short ones, so
        that none starves.
        """
        expected_s = min(self._state.expected_s(job), MAX_EXPECTED_S)
        expected_s *= AGE_PER_EXPECTED_S
        boost_s = PRIORITY_AGE_S * (job.spec.priority + 10 * job.spec.urgent)
        return job.submitted_s + expected_s - boost_s, job.spec.id

    def _start_fairly(self, now_s: float) -> None:
        """Start what fits, always serving the workspace with the smallest share."""
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
        """Start the first job of a queue that fits; pop it and those before it."""
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
        """Find a place, if possible on capacity that no guarantee claims.

        Only an idempotent job may use claimed capacity, because it may have to be
        revoked there.
        """
        state, shape = self._state, job.spec.shape
        key = (shape, job.spec.idempotent)
        if key in self._unplaceable:
            self._set_wait_reason(job)
            return None
        limit = self._zones.limit_returns
        place = find_place(
            state.pool, shape, limit(free_and_unclaimed), excluded=job.excluded
        )
        if place is None and job.spec.idempotent:
            place = find_place(state.pool, shape, limit(free), excluded=job.excluded)
        if place is None:
            self._set_wait_reason(job)
            if not job.excluded:
                self._unplaceable.add(key)
        return place

    def _set_wait_reason(self, job: WaitingJob) -> None:
        """Set the code and the text that tell why a job waits and when it can run."""
        out = ", ".join(sorted(self._state.bundle.zones_out))
        if not job.spec.idempotent:
            job.code = "no_safe_room"
            job.reason = (
                "the job is not idempotent and guarantees may reclaim all free room; "
                "it starts within its own guarantee or when unclaimed room is free"
            )
        elif out:
            job.code = "no_room_in_open_zones"
            job.reason = f"no adjacent free room while zones are out: {out}"
        else:
            job.code = "no_room"
            job.reason = "no adjacent free room; it starts when running jobs end"

    def _preempt_for_aged(self, now_s: float) -> None:
        """Preempt for jobs that found no place and waited for `preempt_after_s`.

        Only the first-ranked job is tried for each shape and value of `idempotent`.
        """
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
        """Stop later-ranked jobs at the place where that loses least work."""
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
        """Return what a job could use after revocations and moves of unused cells."""
        state = self._state
        if job.spec.idempotent:
            return state.revocable_capacity
        movable = state.cells.unbound_claims()

        def available(upstream: Upstream) -> Resources:
            unclaimed = upstream.unclaimed.plus(
                movable.get(upstream.name, ZERO_RESOURCES)
            )
            return state.revocable_capacity(upstream).minimum(unclaimed)

        return available


__all__ = ["OpportunisticScheduler"]
