"""Drains availability zones as their policies say and limits starts on return."""

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
"""Time for which starts are rate-limited in a zone that came back."""
ZONE_OUT = "availability_zone_out"


@dataclass(slots=True)
class _Drain:
    """A zone that is being drained, and since when."""

    policy: ZonePolicy
    since_s: float


@dataclass(slots=True)
class _ReturnLimiter:
    """Token bucket that limits starts in a returning zone."""

    rate_per_s: float
    until_s: float
    updated_s: float
    tokens: float = 1.0


class ZoneTransitions:
    """Zones that are being drained or are returning to service."""

    def __init__(self, state: ClusterState) -> None:
        self._state = state
        self._drains: dict[str, _Drain] = {}
        self._return_limiters: dict[str, _ReturnLimiter] = {}

    def apply(self, old: Bundle, new: Bundle, now_s: float) -> None:
        """Close the zones that a bundle takes out and reopen those it brings back."""
        for name in new.zones_out:
            for upstream in self._state.pool.upstreams_in_zone(name):
                self._state.close(upstream.name, ZONE_OUT)
            self._drains.setdefault(name, _Drain(new.zone_policy(name), now_s))
            self._drains[name].policy = new.zone_policy(name)
            self._return_limiters.pop(name, None)
        for name in old.zones_out - new.zones_out:
            self._drains.pop(name, None)
            rate = new.zone_policy(name).returns_per_s
            until_s = now_s + RETURN_PERIOD_S
            self._return_limiters[name] = _ReturnLimiter(rate, until_s, now_s)
            for upstream in self._state.pool.upstreams_in_zone(name):
                self._state.reopen(upstream.name, ZONE_OUT)

    def advance(self, now_s: float) -> None:
        """Revoke the jobs that are due in drained zones, and refill the token buckets.

        The pool's generation rises when a bucket allows starts again, so that shapes
        without a place are retried.
        """
        for name, drain in self._drains.items():
            self._drain(name, drain, now_s)
        for name, limiter in list(self._return_limiters.items()):
            if now_s >= limiter.until_s:
                del self._return_limiters[name]
                self._state.pool.generation += 1
                continue
            before = limiter.tokens
            limiter.tokens += (now_s - limiter.updated_s) * limiter.rate_per_s
            limiter.tokens = min(limiter.tokens, max(limiter.rate_per_s, 1.0))
            limiter.updated_s = now_s
            if before < 1.0 <= limiter.tokens:
                self._state.pool.generation += 1

    def limit_returns(self, available: Available) -> Available:
        """Wrap `available` so that returning zones without a token offer nothing."""
        exhausted = {
            name
            for name, limiter in self._return_limiters.items()
            if limiter.tokens < 1.0
        }
        if not exhausted:
            return available

        def limited(upstream: Upstream) -> Resources:
            if upstream.availability_zone in exhausted:
                return ZERO_RESOURCES
            return available(upstream)

        return limited

    def take_token(self, place: Placement) -> None:
        """Take a token from the zone of a place where a job starts."""
        upstream = self._state.pool.upstreams[place[0][0]]
        limiter = self._return_limiters.get(upstream.availability_zone)
        if limiter is not None:
            limiter.tokens -= 1.0

    def _drain(self, name: str, drain: _Drain, now_s: float) -> None:
        """Revoke the jobs of a zone, gangs first or last as its policy says.

        The second group follows when the first is gone, or after half of the grace
        period.
        """
        policy = drain.policy
        jobs = self._jobs_in(name)
        if not jobs:
            return
        first = [job for job in jobs if _is_gang(job) == (policy.gangs == "first")]
        later = [job for job in jobs if job not in first]
        elapsed_s = now_s - drain.since_s
        self._stop(first, policy, elapsed_s)
        if not first or elapsed_s >= policy.grace_s / 2:
            self._stop(later, policy, elapsed_s)

    def _stop(
        self, jobs: list[RunningJob], policy: ZonePolicy, elapsed_s: float
    ) -> None:
        """Revoke the jobs that are due, with what is left of the grace period."""
        left_s = max(policy.grace_s - elapsed_s, 0.0)
        for job in jobs:
            if job.stopping or not _is_due(job, policy, left_s):
                continue
            job.stopping = True
            self._state.decisions.append(Revoke(job.spec.id, left_s, ZONE_OUT))

    def _jobs_in(self, zone: str) -> list[RunningJob]:
        job_ids = {
            job_id
            for upstream in self._state.pool.upstreams_in_zone(zone)
            for job_id in upstream.jobs
        }
        return [self._state.running[one] for one in sorted(job_ids)]


def _is_gang(job: RunningJob) -> bool:
    return job.spec.shape.members > 1


def _is_due(job: RunningJob, policy: ZonePolicy, left_s: float) -> bool:
    """Return whether a job of a drained zone is to be stopped now.

    A job that is not idempotent continues until the grace period is over, and beyond
    it unless the policy has `may_cut`.
    """
    if job.spec.idempotent:
        return True
    return policy.may_cut and left_s <= 0


__all__ = ["ZONE_OUT", "ZoneTransitions"]
