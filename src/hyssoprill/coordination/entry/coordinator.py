"""Runs the scheduler on what agents report, while this entry coordinates."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from loguru import logger

from ...protocol.messages import (
    MemberPlacement,
    PlacementGrant,
    PlacementStatus,
    StopOrder,
)
from ...state.pool import build_placement, member_upstreams
from ..policy.decisions import Decision, Refuse, Revoke, Start
from ..policy.scheduler import Scheduler
from .membership import AGENT_SILENCE_S, LEASE_LAPSE_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ...protocol.bundle import Bundle
    from ...protocol.messages import (
        AnyMessage,
        Inventory,
        Lease,
        PlacementRequest,
        PlacementWithdrawal,
    )
    from ...transport.metrics import Metrics
    from .membership import AgentView, Membership

STEP_INTERVAL_S = 0.1
REQUEST_TTL_S = 2.0
GRANT_TTL_S = 2.5
GRANT_RESEND_S = 0.3
STOP_RESEND_S = 0.2
WARM_UP_S = 1.0
REFUSAL_WARM_UP_S = 3.0


@dataclass(slots=True)
class _Asked:
    """A placement request of an entry."""

    owner: str
    heard_s: float
    reported: str = ""
    is_possible: bool = False


@dataclass(slots=True)
class _Revoked:
    """A job that is being stopped."""

    until_s: float
    reason: str
    sent_s: float = 0.0


class Coordinator:
    """The region's plan: who waits, who runs where, what to start and stop.

    It keeps nothing that agents and owners could not tell anew.

    Parameters
    ----------
    membership : Membership
        Agents and their inventories.
    send : callable
        Sends a message to a named process.
    why_no_start : callable
        Returns why no start may be ordered now, or ''.
    """

    def __init__(
        self,
        membership: Membership,
        send: Callable[[str, AnyMessage], Awaitable[bool]],
        why_no_start: Callable[[], str],
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._send = send
        self._why_no_start = why_no_start
        self._metrics = metrics
        self.is_active = False
        self.wake = asyncio.Event()
        self._reset()

    def _reset(self) -> None:
        self.scheduler = Scheduler()
        self._bundle_version = 0
        self._asked: dict[str, _Asked] = {}
        self._granted_s: dict[str, float] = {}
        self._revoked: dict[str, _Revoked] = {}
        self._visible: dict[str, dict[str, list[Lease]]] = {}
        self._endings_seen: dict[str, tuple[str, int]] = {}
        self._active_since_s = time.monotonic()

    def set_active(self, active: bool, bundle: Bundle, version: int) -> None:
        """Begin or cease to coordinate."""
        if active == self.is_active:
            return
        self.is_active = active
        logger.info("coordinates the region: {}", active)
        self._reset()
        self._bundle_version = version
        if active:
            self.scheduler.apply_bundle(bundle, time.monotonic())
            for agent in self._membership.agents.values():
                self.refresh_agent(agent)

    def apply_bundle(self, bundle: Bundle, version: int) -> None:
        """Put another bundle in force."""
        self._bundle_version = version
        if self.is_active:
            self.scheduler.apply_bundle(bundle, time.monotonic())
            self.wake.set()

    # What agents and owners say

    def refresh_agent(self, agent: AgentView) -> None:
        """Take in an agent's announcement and leases."""
        if not self.is_active or agent.info is None:
            return
        info = agent.info
        pool = self.scheduler.state.pool
        known = pool.upstreams.get(agent.name)
        if known is not None and known.capacity != info.capacity:
            self._end_jobs_of(agent.name)
            self.scheduler.upstream_down(agent.name)
            known = None
        if known is None and info.capacity.slots > 0:
            self.scheduler.upstream_up(
                agent.name, info.availability_zone, info.rack, info.capacity
            )
        self._set_causes(agent)
        self._note_leases(agent.name, agent.leases)
        self.wake.set()

    def learn(self, agent: AgentView, inventory: Inventory) -> None:
        """Learn from the tasks that ended on an upstream."""
        seen_run, seen = self._endings_seen.get(agent.name, ("", 0))
        if seen_run != agent.incarnation:
            seen = 0
        now_s = time.monotonic()
        for ending in inventory.completed_tasks:
            if ending.number <= seen:
                continue
            seen = ending.number
            if ending.succeeded:
                self.scheduler.record_success(agent.name, ending.spec, ending.ran_s)
            else:
                self.scheduler.record_failure(
                    agent.name, ending.spec, ending.ran_s, now_s
                )
        self._endings_seen[agent.name] = (agent.incarnation, seen)

    def request(self, owner: str, request: PlacementRequest) -> None:
        """Take in a placement request, new or repeated."""
        if not self.is_active:
            return
        now_s = time.monotonic()
        job_id = request.spec.id
        asked = self._asked.setdefault(job_id, _Asked(owner, now_s))
        asked.owner, asked.heard_s = owner, now_s
        state = self.scheduler.state
        if job_id in state.waiting:
            return
        if job_id in state.running:
            granted_s = self._granted_s.get(job_id, 0.0)
            if self._visible.get(job_id) or now_s - granted_s < GRANT_RESEND_S:
                return
            self._forget_grant(job_id)
        self.scheduler.submit(
            request.spec,
            now_s - request.age_s,
            excluded=frozenset(request.excluded),
        )
        self.wake.set()

    def withdraw(self, message: PlacementWithdrawal) -> None:
        """Forget a job that waits no longer."""
        self._asked.pop(message.job_id, None)
        if self.is_active:
            self.scheduler.withdraw(message.job_id)

    # Decisions

    async def run(self) -> None:
        """Decide whenever something changed, and regularly."""
        while True:
            try:
                await asyncio.wait_for(self.wake.wait(), STEP_INTERVAL_S)
            except TimeoutError:
                pass
            self.wake.clear()
            if self.is_active:
                try:
                    await self._step()
                except Exception as exc:  # noqa: BLE001 - the next step starts anew
                    self._metrics.failure("coordinator_step", exc)
                    self._start_anew()

    def _start_anew(self) -> None:
        """Rebuild the plan from what agents and owners say."""
        bundle = self.scheduler.state.bundle
        version = self._bundle_version
        self.set_active(False, bundle, version)
        self.set_active(True, bundle, version)

    async def _step(self) -> None:
        now_s = time.monotonic()
        self._expire(now_s)
        if now_s - self._active_since_s < WARM_UP_S:
            return
        blocked = self._why_no_start()
        if blocked:
            self._metrics.count("steps_without_authority")
            return
        started_s = time.perf_counter()
        decisions = self.scheduler.step(now_s)
        self._metrics.gauge("decision_seconds", time.perf_counter() - started_s)
        for decision in decisions:
            await self._carry_out(decision)
        for job_id, revoked in list(self._revoked.items()):
            if now_s - revoked.sent_s > STOP_RESEND_S:
                await self._send_stops(job_id)
        for refusal in self.scheduler.overflow_refusals():
            self.scheduler.withdraw(refusal.job_id)
            await self._carry_out(refusal)
        await self._report_waiting(now_s)

    @singledispatchmethod
    async def _carry_out(self, decision: Decision) -> None:
        raise TypeError(f"unknown decision {decision!r}")

    @_carry_out.register
    async def _(self, decision: Start) -> None:
        asked = self._asked.pop(decision.job_id, None)
        if asked is None:
            self.scheduler.job_ended(decision.job_id)
            return
        agents = self._membership.agents
        seats = [
            MemberPlacement(name, agents[name].incarnation, agents[name].tick)
            for name in member_upstreams(decision.place)
        ]
        self._granted_s[decision.job_id] = time.monotonic()
        self._metrics.count("grants")
        grant = PlacementGrant(
            decision.job_id, seats, decision.cell, self._bundle_version
        )
        await self._send(asked.owner, grant)

    @_carry_out.register
    async def _(self, decision: Revoke) -> None:
        self._metrics.count("revocations")
        self._revoked[decision.job_id] = _Revoked(
            time.monotonic() + decision.grace_s, decision.reason
        )
        await self._send_stops(decision.job_id)

    async def _send_stops(self, job_id: str) -> None:
        """Tell the agents of a revoked job to stop it, again until it is gone."""
        revoked = self._revoked[job_id]
        now_s = time.monotonic()
        revoked.sent_s = now_s
        grace_s = max(revoked.until_s - now_s, 0.0)
        for name, leases in list(self._visible.get(job_id, {}).items()):
            for lease in leases:
                order = StopOrder(lease.attempt, lease.index, grace_s, revoked.reason)
                await self._send(name, order)

    @_carry_out.register
    async def _(self, decision: Refuse) -> None:
        asked = self._asked.pop(decision.job_id, None)
        if asked is not None:
            status = PlacementStatus(
                decision.job_id, True, decision.code, decision.reason
            )
            await self._send(asked.owner, status)

    async def _report_waiting(self, now_s: float) -> None:
        """Tell owners why their jobs wait, when that changes."""
        knows_pool = now_s - self._active_since_s > REFUSAL_WARM_UP_S
        for job_id, asked in list(self._asked.items()):
            job = self.scheduler.state.waiting.get(job_id)
            if job is None:
                continue
            if knows_pool and not asked.is_possible:
                asked.is_possible = True
                refusal = self.scheduler.refusal_if_infeasible(job.spec)
                if refusal is not None:
                    self.scheduler.withdraw(job_id)
                    await self._carry_out(refusal)
                    continue
            if asked.reported != job.code:
                asked.reported = job.code
                status = PlacementStatus(job_id, False, job.code, job.reason)
                await self._send(asked.owner, status)

    # Accounts

    def _set_causes(self, agent: AgentView) -> None:
        """Close an upstream while it cannot take orders."""
        causes = {
            "silent": agent.silence_s > AGENT_SILENCE_S,
            "not_accepting": not agent.accepting,
        }
        for cause, applies in causes.items():
            if applies:
                self.scheduler.close(agent.name, cause)
            else:
                self.scheduler.reopen(agent.name, cause)

    def _note_leases(self, name: str, leases: list[Lease]) -> None:
        """Bring running jobs in step with one agent's leases."""
        by_job: dict[str, list[Lease]] = {}
        for lease in leases:
            by_job.setdefault(lease.spec.id, []).append(lease)
        for job_id, places in list(self._visible.items()):
            if name in places and job_id not in by_job:
                del places[name]
                if not places:
                    self._job_vanished(job_id)
        for job_id, found in by_job.items():
            places = self._visible.setdefault(job_id, {})
            if places.get(name) != found:
                places[name] = found
                self._job_seen(job_id, found[0])

    def _job_seen(self, job_id: str, lease: Lease) -> None:
        job = self.scheduler.state.running.get(job_id)
        place = build_placement(
            name for name, found in self._visible[job_id].items() for _ in found
        )
        if job is not None:
            if sum(n for _, n in job.place) >= sum(n for _, n in place):
                return
            self.scheduler.job_ended(job_id)
        self._granted_s.pop(job_id, None)
        started_s = time.monotonic() - lease.age_s
        self.scheduler.adopt(lease.spec, place, lease.cell, started_s)

    def _job_vanished(self, job_id: str) -> None:
        del self._visible[job_id]
        self._forget_grant(job_id)
        self.wake.set()

    def _forget_grant(self, job_id: str) -> None:
        self._granted_s.pop(job_id, None)
        self._revoked.pop(job_id, None)
        self.scheduler.job_ended(job_id)

    def _end_jobs_of(self, name: str) -> None:
        self._note_leases(name, [])

    def _expire(self, now_s: float) -> None:
        """Drop what has not been heard of for too long."""
        for job_id, asked in list(self._asked.items()):
            if now_s - asked.heard_s > REQUEST_TTL_S:
                del self._asked[job_id]
                self.scheduler.withdraw(job_id)
        for job_id, granted_s in list(self._granted_s.items()):
            if job_id in self._visible:
                del self._granted_s[job_id]
            elif now_s - granted_s > GRANT_TTL_S:
                self._forget_grant(job_id)
        for agent in self._membership.agents.values():
            if agent.name in self.scheduler.state.pool.upstreams:
                self._set_causes(agent)
                if agent.silence_s > LEASE_LAPSE_S:
                    self._end_jobs_of(agent.name)
        gone = self.scheduler.state.pool.upstreams.keys() - self._membership.agents
        for name in gone:
            self.scheduler.upstream_down(name)


__all__ = ["Coordinator"]
