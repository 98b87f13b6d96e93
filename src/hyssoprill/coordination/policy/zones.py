"""Empties availability zones in the bundle's order and refills them gradually."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...state.pool import ZERO_RESOURCES
from .decisions import Revoke

if TYPE_CHECKING:
    from ...protocol.bundle import Bundle, ZonePolicy
    from ...protocol.shape import Resources
    from ...state.pool import Placement, Upstream
    from .cluster_state import ClusterState
    from .decisions import RunningJob
    from .placement import Available

RETURN_PERIOD_S = 30.0
ZONE_OUT = "availability_zone_out"


@dataclass(slots=True)
class _Drain:
    """A zone that is being emptied."""

    procedure: ZonePolicy
    since_s: float


@dataclass(slots=True)
class _ReturnLimiter:
    """Starts that a returning zone may still take now."""

    rate_per_s: float
    until_s: float
    updated_s: float
    tokens: float = 1.0


class ZoneTransitions:
    """Zones on their way out or back."""

    def __init__(self, state: ClusterState) -> None:
        self._state = state
        self._drains: dict[str, _Drain] = {}
        self._return_limiters: dict[str, _ReturnLimiter] = {}

    def apply(self, old: Bundle, new: Bundle, now_s: float) -> None:
        """Close the zones that a bundle takes out; reopen those it brings back."""
        for name in new.zones_out:
            for upstream in self._state.pool.upstreams_in_zone(name):
                self._state.close(upstream.name, ZONE_OUT)
            self._drains.setdefault(name, _Drain(new.zone_policy(name), now_s))
            self._drains[name].procedure = new.zone_policy(name)
            self._return_limiters.pop(name, None)
        for name in old.zones_out - new.zones_out:
            self._drains.pop(name, None)
            rate = new.zone_policy(name).returns_per_s
            until_s = now_s + RETURN_PERIOD_S
            self._return_limiters[name] = _ReturnLimiter(rate, until_s, now_s)
            for upstream in self._state.pool.upstreams_in_zone(name):
                self._state.reopen(upstream.name, ZONE_OUT)

    def advance(self, now_s: float) -> None:
        """Order the stops that are due, and refill the returning zones' tokens."""
        for name, emptying in self._drains.items():
            self._drain(name, emptying, now_s)
        for name, back in list(self._return_limiters.items()):
            if now_s >= back.until_s:
                del self._return_limiters[name]
                self._state.pool.generation += 1
                continue
            before = back.tokens
            back.tokens += (now_s - back.updated_s) * back.rate_per_s
            back.tokens = min(back.tokens, max(back.rate_per_s, 1.0))
            back.updated_s = now_s
            if before < 1.0 <= back.tokens:
                self._state.pool.generation += 1

    def limit_returns(self, available: Available) -> Available:
        """Hide the room of returning zones that have taken enough starts."""
        full = {
            name for name, back in self._return_limiters.items() if back.tokens < 1.0
        }
        if not full:
            return available

        def gated(upstream: Upstream) -> Resources:
            if upstream.availability_zone in full:
                return ZERO_RESOURCES
            return available(upstream)

        return gated

    def take_token(self, place: Placement) -> None:
        """Count a start against the zone's tokens."""
        upstream = self._state.pool.upstreams[place[0][0]]
        back = self._return_limiters.get(upstream.availability_zone)
        if back is not None:
            back.tokens -= 1.0

    def _drain(self, name: str, emptying: _Drain, now_s: float) -> None:
        """Stop gangs and single tasks of a zone in the order of its procedure."""
        procedure = emptying.procedure
        jobs = self._jobs_in(name)
        if not jobs:
            return
        first = [job for job in jobs if _is_gang(job) == (procedure.gangs == "first")]
        later = [job for job in jobs if job not in first]
        elapsed = now_s - emptying.since_s
        self._stop(first, procedure, elapsed)
        if not first or elapsed >= procedure.grace_s / 2:
            self._stop(later, procedure, elapsed)

    def _stop(
        self, jobs: list[RunningJob], procedure: ZonePolicy, elapsed: float
    ) -> None:
        left = max(procedure.grace_s - elapsed, 0.0)
        for job in jobs:
            if job.stopping or not _is_due(job, procedure, left):
                continue
            job.stopping = True
            self._state.decisions.append(Revoke(job.spec.id, left, ZONE_OUT))

    def _jobs_in(self, zone: str) -> list[RunningJob]:
        names = {
            job_id
            for upstream in self._state.pool.upstreams_in_zone(zone)
            for job_id in upstream.jobs
        }
        return [self._state.running[name] for name in sorted(names)]


def _is_gang(job: RunningJob) -> bool:
    return job.spec.shape.members > 1


def _is_due(job: RunningJob, procedure: ZonePolicy, left_s: float) -> bool:
    """Tell whether a job is to be stopped now.

    A job that may not be repeated runs on until the grace is over, and further
    where nothing may be cut.
    """
    if job.spec.idempotent:
        return True
    return procedure.may_cut and left_s <= 0


__all__ = ["ZONE_OUT", "ZoneTransitions"]
