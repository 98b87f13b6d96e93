"""Schedules the region's jobs from agents' reports while this entry is coordinator."""

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
from ..pacing import rest_after
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
"""A placement request that its owner does not repeat for this long is dropped."""
GRANT_TTL_S = 2.5
"""A grant for which no lease was seen after this long is withdrawn from the plan."""
GRANT_RESEND_S = 0.3
"""Repeated this long after its grant, with no lease seen, a request is placed again."""
STOP_RESEND_S = 0.2
WARM_UP_S = 1.0
"""A new coordinator decides nothing for this long, while inventories arrive."""
REFUSAL_WARM_UP_S = 3.0
"""A new coordinator refuses no job as impossible before it has seen the whole pool."""


@dataclass(slots=True)
class _PendingRequest:
    """A placement request that has no grant yet.

    Attributes
    ----------
    owner : str
        Entry that runs the job and gets the answer.
    last_requested_s : float
        When the request was last repeated.
    reported_code : str
        Reason for waiting that the owner was last told.
    is_checked : bool
        Whether it was checked that the whole pool could hold the job.
    """

    owner: str
    last_requested_s: float
    reported_code: str = ""
    is_checked: bool = False


@dataclass(slots=True)
class _Revocation:
    """A job that is being stopped, and the time until which it may run."""

    until_s: float
    reason: str
    sent_s: float = 0.0


class Coordinator:
    """Decides for one region which jobs start and stop, and where.

    All state is rebuilt from agents' inventories and owners' repeated placement
    requests, so another entry can take over at any time.

    Parameters
    ----------
    membership : Membership
        Agents and their inventories.
    send : callable
        Sends a message to a named process.
    start_denial_reason : callable
        Returns why no start may be ordered now, or '' where it may.
    """

    def __init__(
        self,
        membership: Membership,
        send: Callable[[str, AnyMessage], Awaitable[bool]],
        start_denial_reason: Callable[[], str],
        metrics: Metrics,
    ) -> None:
        self._membership = membership
        self._send = send
        self._start_denial_reason = start_denial_reason
        self._metrics = metrics
        self.is_active = False
        self.wake = asyncio.Event()
        self._computed_s = 0.0
        self._reset()

    def _reset(self) -> None:
        self.scheduler = Scheduler()
        self._bundle_version = 0
        self._pending: dict[str, _PendingRequest] = {}
        self._granted_s: dict[str, float] = {}
        self._revocations: dict[str, _Revocation] = {}
        self._leases: dict[str, dict[str, list[Lease]]] = {}
        self._last_completed_tasks: dict[str, tuple[str, int]] = {}
        self._active_since_s = time.monotonic()

    def set_active(self, active: bool, bundle: Bundle, version: int) -> None:
        """Begin or stop coordinating; both discard all state."""
        if active == self.is_active:
            return
        self.is_active = active
        logger.info("this entry is the region's coordinator: {}", active)
        self._reset()
        self._bundle_version = version
        if active:
            self.scheduler.apply_bundle(bundle, time.monotonic())
            for agent in self._membership.agents.values():
                self.update_agent(agent)

    def apply_bundle(self, bundle: Bundle, version: int) -> None:
        """Apply a new bundle."""
        self._bundle_version = version
        if self.is_active:
            self.scheduler.apply_bundle(bundle, time.monotonic())
            self.wake.set()

    # Messages from agents and owners

    def update_agent(self, agent: AgentView) -> None:
        """Update an agent's upstream, its state and its leases in the plan."""
        if not self.is_active or agent.info is None:
            return
        info = agent.info
        pool = self.scheduler.state.pool
        known = pool.upstreams.get(agent.name)
        if known is not None and known.capacity != info.capacity:
            self._clear_leases(agent.name)
            self.scheduler.upstream_down(agent.name)
            known = None
        if known is None and info.capacity.slots > 0:
            self.scheduler.upstream_up(
                agent.name, info.availability_zone, info.rack, info.capacity
            )
        self._update_closed_causes(agent)
        self._update_leases(agent.name, agent.leases)
        self.wake.set()

    def record_completed_tasks(self, agent: AgentView, inventory: Inventory) -> None:
        """Pass each newly ended task of an upstream to the scheduler once."""
        incarnation, last_number = self._last_completed_tasks.get(agent.name, ("", 0))
        if incarnation != agent.incarnation:
            last_number = 0
        now_s = time.monotonic()
        for task in inventory.completed_tasks:
            if task.number <= last_number:
                continue
            last_number = task.number
            if task.succeeded:
                self.scheduler.record_success(agent.name, task.spec, task.ran_s)
            else:
                self.scheduler.record_failure(agent.name, task.spec, task.ran_s, now_s)
        self._last_completed_tasks[agent.name] = (agent.incarnation, last_number)

    def handle_request(self, owner: str, request: PlacementRequest) -> None:
        """Queue a job, unless it already waits, runs or was granted just now."""
        if not self.is_active:
            return
        now_s = time.monotonic()
        job_id = request.spec.id
        pending = self._pending.setdefault(job_id, _PendingRequest(owner, now_s))
        pending.owner, pending.last_requested_s = owner, now_s
        state = self.scheduler.state
        if job_id in state.waiting:
            return
        if job_id in state.running:
            granted_s = self._granted_s.get(job_id, 0.0)
            if self._leases.get(job_id) or now_s - granted_s < GRANT_RESEND_S:
                return
            self._end_job(job_id)
        self.scheduler.submit(
            request.spec,
            now_s - request.age_s,
            excluded=frozenset(request.excluded),
        )
        self.wake.set()

    def handle_withdrawal(self, message: PlacementWithdrawal) -> None:
        """Remove a job that waits no longer."""
        self._pending.pop(message.job_id, None)
        if self.is_active:
            self.scheduler.withdraw(message.job_id)

    # Decisions

    async def run(self) -> None:
        """Run a scheduling step after each change, and at least every interval."""
        while True:
            try:
                await asyncio.wait_for(self.wake.wait(), STEP_INTERVAL_S)
            except TimeoutError:
                pass
            self.wake.clear()
            if self.is_active:
                self._computed_s = 0.0
                try:
                    await self._step()
                except Exception as exc:  # noqa: BLE001 - the state is rebuilt
                    self._metrics.failure("coordinator_step", exc)
                    self._rebuild()
                await asyncio.sleep(rest_after(self._computed_s))

    def _rebuild(self) -> None:
        """Discard all state and rebuild it from agents and owners."""
        bundle = self.scheduler.state.bundle
        version = self._bundle_version
        self.set_active(False, bundle, version)
        self.set_active(True, bundle, version)

    async def _step(self) -> None:
        now_s = time.monotonic()
        self._expire(now_s)
        if now_s - self._active_since_s < WARM_UP_S:
            return
        blocked = self._start_denial_reason()
        if blocked:
            self._metrics.count("steps_without_authority")
            return
        started_s = time.perf_counter()
        decisions = self.scheduler.step(now_s)
        self._computed_s = time.perf_counter() - started_s
        self._metrics.gauge("decision_seconds", self._computed_s)
        for decision in decisions:
            await self._execute(decision)
        for job_id, revocation in list(self._revocations.items()):
            if now_s - revocation.sent_s > STOP_RESEND_S:
                await self._send_stops(job_id)
        for refusal in self.scheduler.overflow_refusals():
            self.scheduler.withdraw(refusal.job_id)
            await self._execute(refusal)
        await self._report_waiting(now_s)

    @singledispatchmethod
    async def _execute(self, decision: Decision) -> None:
        raise TypeError(f"unknown decision {decision!r}")

    @_execute.register
    async def _(self, decision: Start) -> None:
        pending = self._pending.pop(decision.job_id, None)
        if pending is None:
            self.scheduler.job_ended(decision.job_id)
            return
        agents = self._membership.agents
        placements = [
            MemberPlacement(name, agents[name].incarnation, agents[name].clock_s)
            for name in member_upstreams(decision.place)
        ]
        self._granted_s[decision.job_id] = time.monotonic()
        self._metrics.count("grants")
        grant = PlacementGrant(
            decision.job_id, placements, decision.cell, self._bundle_version
        )
        await self._send(pending.owner, grant)

    @_execute.register
    async def _(self, decision: Revoke) -> None:
        self._metrics.count("revocations")
        self._revocations[decision.job_id] = _Revocation(
            time.monotonic() + decision.grace_s, decision.reason
        )
        await self._send_stops(decision.job_id)

    async def _send_stops(self, job_id: str) -> None:
        """Order the agents of a revoked job to stop it; resent until it is gone."""
        revocation = self._revocations[job_id]
        now_s = time.monotonic()
        revocation.sent_s = now_s
        grace_s = max(revocation.until_s - now_s, 0.0)
        for name, leases in list(self._leases.get(job_id, {}).items()):
            for lease in leases:
                order = StopOrder(
                    lease.attempt, lease.index, grace_s, revocation.reason
                )
                await self._send(name, order)

    @_execute.register
    async def _(self, decision: Refuse) -> None:
        pending = self._pending.pop(decision.job_id, None)
        if pending is not None:
            status = PlacementStatus(
                decision.job_id, True, decision.code, decision.reason
            )
            await self._send(pending.owner, status)

    async def _report_waiting(self, now_s: float) -> None:
        """Refuse jobs that the pool can never hold; report new reasons for waiting."""
        knows_pool = now_s - self._active_since_s > REFUSAL_WARM_UP_S
        for job_id, pending in list(self._pending.items()):
            job = self.scheduler.state.waiting.get(job_id)
            if job is None:
                continue
            if knows_pool and not pending.is_checked:
                pending.is_checked = True
                refusal = self.scheduler.refusal_if_infeasible(job.spec)
                if refusal is not None:
                    self.scheduler.withdraw(job_id)
                    await self._execute(refusal)
                    continue
            if pending.reported_code != job.code:
                pending.reported_code = job.code
                status = PlacementStatus(job_id, False, job.code, job.reason)
                await self._send(pending.owner, status)

    # Leases and requests

    def _update_closed_causes(self, agent: AgentView) -> None:
        """Close an upstream to new starts while its agent is silent or refuses."""
        causes = {
            "silent": agent.silence_s > AGENT_SILENCE_S,
            "not_accepting": not agent.accepting,
        }
        for cause, applies in causes.items():
            if applies:
                self.scheduler.close(agent.name, cause)
            else:
                self.scheduler.reopen(agent.name, cause)

    def _update_leases(self, name: str, leases: list[Lease]) -> None:
        """Add and remove running jobs so that they match one agent's leases."""
        by_job: dict[str, list[Lease]] = {}
        for lease in leases:
            by_job.setdefault(lease.spec.id, []).append(lease)
        for job_id, places in list(self._leases.items()):
            if name in places and job_id not in by_job:
                del places[name]
                if not places:
                    self._remove_job(job_id)
        for job_id, found in by_job.items():
            places = self._leases.setdefault(job_id, {})
            if places.get(name) != found:
                places[name] = found
                self._adopt_job(job_id, found[0])

    def _adopt_job(self, job_id: str, lease: Lease) -> None:
        job = self.scheduler.state.running.get(job_id)
        place = build_placement(
            name for name, found in self._leases[job_id].items() for _ in found
        )
        if job is not None:
            if sum(n for _, n in job.place) >= sum(n for _, n in place):
                return
            self.scheduler.job_ended(job_id)
        self._granted_s.pop(job_id, None)
        started_s = time.monotonic() - lease.age_s
        self.scheduler.adopt(lease.spec, place, lease.cell, started_s)

    def _remove_job(self, job_id: str) -> None:
        del self._leases[job_id]
        self._end_job(job_id)
        self.wake.set()

    def _end_job(self, job_id: str) -> None:
        self._granted_s.pop(job_id, None)
        self._revocations.pop(job_id, None)
        self.scheduler.job_ended(job_id)

    def _clear_leases(self, name: str) -> None:
        self._update_leases(name, [])

    def _expire(self, now_s: float) -> None:
        """Remove stale requests, unused grants and the jobs of lapsed agents."""
        for job_id, pending in list(self._pending.items()):
            if now_s - pending.last_requested_s > REQUEST_TTL_S:
                del self._pending[job_id]
                self.scheduler.withdraw(job_id)
        for job_id, granted_s in list(self._granted_s.items()):
            if job_id in self._leases:
                del self._granted_s[job_id]
            elif now_s - granted_s > GRANT_TTL_S:
                self._end_job(job_id)
        for agent in self._membership.agents.values():
            if agent.name in self.scheduler.state.pool.upstreams:
                self._update_closed_causes(agent)
                if agent.silence_s > LEASE_LAPSE_S:
                    self._clear_leases(agent.name)
        gone = self.scheduler.state.pool.upstreams.keys() - self._membership.agents
        for name in gone:
            self.scheduler.upstream_down(name)


__all__ = ["Coordinator"]
