"""Finds the place that loses least work when running jobs have to make room."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...protocol.shape import Resources, Shape
    from ...state.pool import Placement, Upstream
    from .cluster_state import ClusterState
    from .decisions import RunningJob
    from .placement import Available

CHECKPOINT_S = 2.0
RESTART_S = 5.0


@dataclass(frozen=True, slots=True)
class Eviction:
    """A place, the jobs to stop for it, and the accelerator seconds lost."""

    place: Placement
    victims: frozenset[str]
    cost: float


class EvictionPlanner:
    """Weighs places by the work that is lost when they are vacated.

    Parameters
    ----------
    state : ClusterState
        The pool and its running jobs; not changed.
    now_s, grace_s : float
        Present time, and the time that a stopped job has for its checkpoint.
    may_stop : callable, optional
        Tells which jobs may be stopped; all revocable ones by default.
    """

    def __init__(
        self,
        state: ClusterState,
        now_s: float,
        grace_s: float,
        *,
        may_stop: Callable[[RunningJob], bool] | None = None,
    ) -> None:
        self._state = state
        self._now_s = now_s
        self._grace_s = grace_s
        self._may_stop = may_stop or _is_revocable

    def cheapest(
        self,
        shape: Shape,
        available: Available,
        *,
        excluded: frozenset[str] = frozenset(),
    ) -> Eviction | None:
        """Return the cheapest place for a shape, or None.

        Parameters
        ----------
        shape : Shape
            What has to be placed.
        available : callable
            Resources of an upstream that may be vacated or are free.
        excluded : frozenset of str
            Upstreams that may not be used.
        """
        best: Eviction | None = None
        need = shape.need
        costs: dict[str, tuple[float, int]] = {}
        for name, upstream in self._state.pool.upstreams.items():
            if upstream.schedulable and name not in excluded:
                members = min(available(upstream).fit_count(need), shape.members)
                if members > 0:
                    cost = self._cost(self._victims(upstream, need, members))
                    costs[name] = (cost / members, members)
        for domain in self._state.pool.domains(shape.adjacent):
            place = _cheapest_in(domain, costs, shape.members)
            if place is None:
                continue
            eviction = self.plan(place, need)
            if eviction is not None and (best is None or eviction.cost < best.cost):
                best = eviction
        return best

    def plan(self, place: Placement, need: Resources) -> Eviction | None:
        """Return which jobs to stop for a place, or None if that cannot do."""
        victims: set[str] = set()
        for name, members in place:
            upstream = self._state.pool.upstreams[name]
            found = self._victims(upstream, need, members)
            if found is None:
                return None
            victims |= found
        cost = self._cost(victims)
        return Eviction(place, frozenset(victims), cost)

    def lost_work(self, job: RunningJob) -> float:
        """Return the accelerator seconds that stopping a job loses."""
        if job.stopping:
            return 0.0
        size = max(job.spec.shape.total_accelerators, 1)
        since_checkpoint = self._now_s - job.checkpoint_s
        if self._grace_s >= CHECKPOINT_S:
            return size * min(RESTART_S, since_checkpoint + 1.0)
        return size * (since_checkpoint + RESTART_S)

    def _cost(self, victims: set[str] | None) -> float:
        if victims is None:
            return float("inf")
        return sum(self.lost_work(self._state.running[one]) for one in victims)

    def _victims(
        self, upstream: Upstream, need: Resources, members: int
    ) -> set[str] | None:
        """Return the jobs to stop on one upstream, cheapest first."""
        room = upstream.free
        if room.fit_count(need) >= members:
            return set()
        running = self._state.running
        candidates = [
            running[job_id]
            for job_id in upstream.jobs
            if self._may_stop(running[job_id])
        ]
        candidates.sort(key=lambda job: (not job.stopping, self._unit_cost(job)))
        victims: set[str] = set()
        for job in candidates:
            victims.add(job.spec.id)
            room = room.plus(job.spec.shape.need, upstream.jobs[job.spec.id])
            if room.fit_count(need) >= members:
                return victims
        return None

    def _unit_cost(self, job: RunningJob) -> float:
        return self.lost_work(job) / max(job.spec.shape.total_accelerators, 1)


def _is_revocable(job: RunningJob) -> bool:
    return job.is_revocable


def _cheapest_in(
    domain: list[Upstream], costs: dict[str, tuple[float, int]], members: int
) -> Placement | None:
    """Fill the cheapest upstreams of a domain; None where they do not hold all."""
    usable = [upstream.name for upstream in domain if upstream.name in costs]
    if sum(costs[name][1] for name in usable) < members:
        return None
    usable.sort(key=lambda name: (costs[name][0], -costs[name][1]))
    place = []
    left = members
    for name in usable:
        taken = min(left, costs[name][1])
        place.append((name, taken))
        left -= taken
        if left == 0:
            return tuple(place)
    return None


__all__ = ["Eviction", "EvictionPlanner"]
