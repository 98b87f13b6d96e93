"""The planner: stores its decisions, then sends the orders that follow from them."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

import msgspec

from ...clock import boottime_s, unix_ms
from ...errors import StoreError, UnservedError
from ...logs import decision
from ...ports.store import DEFAULT_RECORD_BYTES, Record
from ...protocol.upstream_key import parse_upstream_key
from ...protocol.upstream_messages import Grant, Referral
from ...state.job_table import SIZES_KEY
from ..pacing import rest_after
from ..policy.dispatch.dispatch import plan_round
from ..policy.dispatch.ranking import order_inputs
from ..policy.dispatch.terms import DispatchTerms, no_terms
from .answer_delays import AnswerDelays
from .changes import StepChanges
from .closing import RunCloser
from .election import append_all
from .fleet import Fleet
from .job_ends import JobEnds
from .learned import Learned
from .load import PlannerLoad
from .orders import OrderPublisher
from .pending_room import PendingRoom
from .policy_inputs import PolicyInputs
from .policy_runner import PolicyRunner
from .retention import expired_records
from .run_log import RunLog
from .runs import StopRequests, vms_with_runs
from .starts import record_starts
from .stopping import StopFinder
from .upstream_runs import UpstreamRunsCache

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...job_settings import JobBounds
    from ...protocol.placement_query import JobDraft, JobPlacement
    from ...protocol.upstream_messages import VmHeartbeat, VmReport
    from ...state.job_table import StepKey
    from ...state.operator_config import OperatorConfig
    from ..policy.dispatch.model import (
        Plan,
    )
    from .election import PlannerElection
    from .orders import Send
    from .replica import Replica

ROUND_INTERVAL_S = 0.25
"""Longest time between rounds, as decisions also depend on the time.

A round that is requested starts without waiting for it."""
MIN_ROUND_INTERVAL_S = 0.01
DROP_INTERVAL_S = 5.0


class Planner:
    """Decides on starts and stops while this entry is the elected planner.

    Parameters
    ----------
    replica : Replica
        This entry's copy of the stored state.
    election : PlannerElection
        Tells the term of this entry and appends records under it.
    operator_config : callable
        Returns the operator's configuration in force.
    send : callable
        Sends a message to the agent of a VM.
    bounds : JobBounds
        Times that are promised to callers.
    record_bytes : int
        Largest size of a record that the store accepts.
    policy : callable
        Decides on starts and stops of a round, like `plan_round`.
    terms : callable
        Returns the decisions under hard load that an operator's configuration calls
        for.

    Attributes
    ----------
    answer_delays : AnswerDelays
        How late agents are answered.
    """

    def __init__(
        self,
        replica: Replica,
        election: PlannerElection,
        operator_config: Callable[[], OperatorConfig],
        send: Send,
        *,
        bounds: JobBounds,
        record_bytes: int = DEFAULT_RECORD_BYTES,
        policy: Callable[..., Plan] = plan_round,
        terms: Callable[[OperatorConfig], DispatchTerms] = no_terms,
    ) -> None:
        self._find_terms = terms
        self._record_bytes = record_bytes
        self._policy = PolicyRunner(policy)
        self._job_table = replica.job_table
        self._election = election
        self._operator_config = operator_config
        self._send = send
        self._round_requested = asyncio.Event()
        self._fleet = Fleet()
        self._vms_with_runs = partial(vms_with_runs, self._job_table)
        self.answer_delays = AnswerDelays(self._fleet)
        self._stopping = StopRequests()
        self._pending_room = PendingRoom()
        self._learned = learned = Learned(self._job_table, self._fleet)
        shared = (self._job_table, self._fleet, self._stopping)
        known = (learned.failures, learned.speeds, learned.run_times)
        self._closer = RunCloser(*shared, *known)
        self._upstream_runs = UpstreamRunsCache(self._job_table, self._stopping)
        self._stop_finder = StopFinder(
            *shared,
            learned.failures,
            learned.run_times,
            self._upstream_runs,
            learned.lifetimes,
        )
        self._orders = OrderPublisher(*shared, self._upstream_runs, send)
        self.set_bounds(bounds)
        self._waiting_since_s: dict[StepKey, float] = {}
        self._last_drop_s = boottime_s()
        self._load = PlannerLoad()
        self._job_ends = JobEnds(self._job_table)
        self._run_log = RunLog()
        self._term = 0

    def set_bounds(self, bounds: JobBounds) -> None:
        """Replace the bounds in force."""
        self._state_kept_s = bounds.state_kept_s
        self._policy.reclaim_s = bounds.reclaim_ms / 1000
        self._orders.validity_s = bounds.order_validity_s

    def request_round(self) -> None:
        """Have the next round start at once instead of after its interval."""
        self._round_requested.set()

    # Messages from agents

    def handle_report(self, report: VmReport) -> None:
        """Apply an agent's report, grant it lease renewals and request a round."""
        if not self._update_term():
            return
        self._load.count_message("report")
        self._fleet.apply_report(report)
        self.answer_delays.record(report, self._term)
        self._grant(report.vm, report.number)
        self.request_round()

    def handle_heartbeat(self, message: VmHeartbeat) -> None:
        """Grant renewals for an unchanged report, and resend orders that were lost."""
        if not self._update_term():
            return
        self._load.count_message("heartbeat")
        vm = self._fleet.record_contact(message.vm, message.clock_s, message.number)
        self.answer_delays.record(message, self._term)
        is_report_known = vm.report_number == message.number
        self._grant(message.vm, message.number if is_report_known else 0)
        if is_report_known:
            self._orders.resend_if_outdated(
                message.vm, (message.term, message.orders_number)
            )

    def _grant(self, name: str, known_report: int) -> None:
        """Let a VM's agent extend leases, if no other entry can be planner.

        `known_report` is the number of the agent's report that the planner knows, or 0.
        """
        if not self._election.may_grant:
            return
        echo_s = self._fleet.record_grant(name)
        self._send(name, Grant(self._term, echo_s, known_report))

    def _update_term(self) -> bool:
        """Adopt the current term; return whether this entry is the planner."""
        if self._election.term != self._term:
            self._begin_term()
        return self._term > 0

    def _begin_term(self) -> None:
        """Adopt the election's term and drop what belongs to the previous one."""
        if self._term and not self._election.term:
            for name in self._fleet.vms:
                self._send(name, Referral(self._term, "", ""))
        self._term = self._election.term
        self._fleet.reset()
        self.answer_delays.clear()
        self._stopping.clear()
        self._pending_room.clear()
        self._orders.clear()
        self._learned.begin_term()
        self._stop_finder.stalls.clear()
        self._job_ends.clear()
        self._load.begin_window()

    # Rounds

    async def run(self) -> None:
        """Run rounds forever."""
        while True:
            try:
                await asyncio.wait_for(self._round_requested.wait(), ROUND_INTERVAL_S)
            except TimeoutError:
                pass
            self._round_requested.clear()
            computed_s = 0.0
            if self._update_term():
                computed_s = await self._run_measured_round()
            await self._pause(rest_after(computed_s, at_least_s=MIN_ROUND_INTERVAL_S))

    async def _run_measured_round(self) -> float:
        """Run a round and return its computing time in seconds.

        A failure of the store ends the round.
        """
        began_s, computed_s = boottime_s(), self._load.computing_s
        try:
            await self.run_round()
        except StoreError as exc:
            decision("round_lost", term=self._term, why=str(exc))
        self._load.record_round(
            boottime_s() - began_s,
            term=self._term,
            vms=len(self._fleet.vms),
            jobs=len(self._job_table.active),
            waiting_steps=len(self._waiting_since_s),
        )
        return self._load.computing_s - computed_s

    async def _pause(self, pause_s: float) -> None:
        """Leave the event loop to other work for a time."""
        began_s = boottime_s()
        await asyncio.sleep(pause_s)
        self._load.record_pause(pause_s, boottime_s() - began_s)

    async def run_round(self) -> None:
        """Store ended runs, decide, store new runs, and only then send orders."""
        term = self._term
        with self._load.computing("ends"):
            self._learned.speeds.learn()
            changes = StepChanges(self._job_table)
            stored_upto = self._closer.close_reported(changes)
            self._closer.close_expired(changes)
            self._closer.record_checkpoints(changes)
            self._withdraw_broken_gangs(changes)
        await self._append_changes(changes)
        self._orders.acknowledge(stored_upto, self._closer.withheld_ends.first)
        self._stopping.retain(self._job_table.open_runs)
        await self._append_capacities()
        with self._load.computing("stops"):
            if self._policy.terms.upstream_lifetimes:
                self._learned.lifetimes.observe(self._operator_config().zones_out)
            self._stop_finder.request_stops()
        with self._load.computing("starts"):
            changes = StepChanges(self._job_table)
            self._update_terms()
            self._plan_starts(changes)
            self._stopping.write_log()
        await self._append_changes(changes)
        if self._election.term == term:
            with self._load.computing("orders"):
                self._renew_starts()
                self._orders.publish(term)
        await self._drop_expired_jobs()

    def _withdraw_broken_gangs(self, changes: StepChanges) -> None:
        """Order the stops of gangs that break, before it is stored why.

        Their members that are yet to start would only wait for the others.
        """
        upstreams = self._stop_finder.withdraw_broken_gangs(changes)
        if upstreams:
            vms = {parse_upstream_key(key).vm for key in upstreams}
            self._orders.publish(self._term, vms)

    def _renew_starts(self) -> None:
        """Confirm starts that are about to expire, by the config in force now."""
        now_ms = unix_ms()
        if self._election.may_grant:
            zones_out = self._operator_config().zones_out
            self._orders.renewals.renew(self._orders.validity_s, zones_out, now_ms)

    async def _append_changes(self, changes: StepChanges) -> None:
        await append_all(self._election, changes.records(self._record_bytes))

    async def _append_capacities(self) -> None:
        """Store the largest known capacities for all entries when one is exceeded."""
        known = self._job_table.known_capacities
        # Most upstreams are alike.
        reported = {(one.group, one.capacity): None for one in self._fleet.reports()}
        capacities = known.extended(reported)
        if capacities is not known:
            record = Record(SIZES_KEY, msgspec.json.encode(capacities))
            if record.size > self._record_bytes:
                capacities = capacities.merged()
                record = Record(SIZES_KEY, msgspec.json.encode(capacities))
            await self._election.append([record])
            decision("sizes_widened", largest=capacities.largest, term=self._term)

    async def _drop_expired_jobs(self) -> None:
        """Delete expired jobs and drop outdated failures and speeds, at an interval."""
        if boottime_s() - self._last_drop_s < DROP_INTERVAL_S:
            return
        self._last_drop_s = boottime_s()
        upstreams = {one.key for one in self._fleet.reports()}
        self._upstream_runs.retain(upstreams)
        self._learned.retain(upstreams, self._last_drop_s)
        records = expired_records(self._job_table, self._state_kept_s)
        await append_all(self._election, records)
        if records:
            decision("jobs_dropped", records=len(records), term=self._term)

    def _plan_starts(self, changes: StepChanges) -> None:
        """Run the policy, record its starts in `changes` and request its stops."""
        is_settled = self._fleet.is_settled(self._vms_with_runs)
        self._learned.update_shares(
            self._policy.terms, self._operator_config(), is_settled=is_settled
        )
        inputs = self._policy_inputs()
        self._job_ends.log(inputs.objective_s, self._term)
        waiting = inputs.waiting_steps(unix_ms())
        if not waiting or not is_settled:
            return
        log_fields = {
            step.key: {
                "waited_s": round(step.waited_s, 3),
                "term": self._term,
                **order_inputs(step, self._policy.terms),
            }
            for step in waiting
        }
        plan = self._policy.run(inputs, waiting)
        self._pending_room.record(plan.preempting)
        self._learned.lifetimes.log_holds(plan.held)
        for unit, reason in plan.stops:
            tasks = changes.tasks(unit.step)
            for index, upstream in zip(unit.indices, unit.upstreams, strict=True):
                run = (unit.step.task_name(index), tasks[index].run)
                self._stopping.add(run, upstream, reason)
        record_starts(plan, changes, self._fleet, self._run_log, log_fields)

    def _update_terms(self) -> None:
        """Adopt the terms of the configuration in force."""
        terms = self._find_terms(self._operator_config())
        if terms != self._policy.terms:
            self._policy.terms = terms
            self._learned.adopt(terms)
            self._stop_finder.stalls.use_terms(terms)
            decision("terms_changed", parts=terms.parts, term=self._term)

    def place(self, draft: JobDraft) -> JobPlacement:
        """Return where a job would go now; nothing of the question is kept.

        Raises
        ------
        InvalidRequestError
            Where the config knows no such workspace or queue.
        UnservedError
            Where this entry is not the planner, or does not know all VMs yet.
        """
        if not self._term or not self._fleet.is_settled(self._vms_with_runs):
            raise UnservedError(
                "the planner does not know all VMs yet",
                code="no_planner",
                remedy="ask again in a second",
            )
        inputs = self._policy_inputs(dict(self._waiting_since_s))
        return self._policy.place(draft, inputs, self._term)

    def _policy_inputs(
        self, waiting_since_s: dict[StepKey, float] | None = None
    ) -> PolicyInputs:
        if waiting_since_s is None:
            waiting_since_s = self._waiting_since_s
        learned, terms = self._learned, self._policy.terms
        return PolicyInputs(
            self._job_table,
            self._fleet,
            self._operator_config(),
            self._stopping,
            learned.failures,
            learned.speeds,
            learned.run_times,
            waiting_since_s,
            self._upstream_runs,
            self._pending_room,
            terms,
            learned.lifetimes if terms.upstream_lifetimes else None,
            learned.share_buckets,
            self._closer.withheld_ends.first.keys(),
        )


__all__ = ["Planner"]
