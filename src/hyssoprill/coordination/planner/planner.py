"""The planner: stores decisions first, then sends the orders that follow from them."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

import msgspec

from ...clock import boottime_s, unix_ms
from ...errors import StoreError
from ...logs import decision
from ...ports.store import Record
from ...protocol.upstream_messages import Grant
from ...state.job_table import SIZES_KEY
from ..policy.dispatch.dispatch import plan_round
from .changes import Changes
from .closing import RunCloser
from .fleet import Fleet
from .orders import OrderBook
from .retention import expired_records
from .runs import StopNotes
from .speeds import Speeds
from .stopping import StopFinder
from .survey import Survey
from .suspicion import Suspicion

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...job_settings import JobBounds
    from ...protocol.upstream_messages import VmHeartbeat, VmReport
    from ...state.job_table import StepKey
    from ...state.operator_config import OperatorConfig
    from ..policy.dispatch.model import Plan
    from .election import PlannerElection
    from .orders import Send
    from .replica import Replica

ROUND_INTERVAL_S = 0.25
"""Rounds come at once with news, and this often without, for what time changes."""
MIN_ROUND_INTERVAL_S = 0.01
DROP_INTERVAL_S = 5.0


class Planner:
    """Decides on starts and stops while this entry holds the term.

    Parameters
    ----------
    replica : Replica
        The stored state.
    election : PlannerElection
        Appends under the term.
    directory : callable
        Returns the operator's view in force.
    send : callable
        Sends a message to the agent of a VM.
    bounds : JobBounds
        What is promised to callers.
    policy : callable
        Takes the decisions of a round, as `plan_round`.
    """

    def __init__(
        self,
        replica: Replica,
        election: PlannerElection,
        directory: Callable[[], OperatorConfig],
        send: Send,
        *,
        bounds: JobBounds,
        policy: Callable[..., Plan] = plan_round,
    ) -> None:
        self._policy = policy
        self._ledger = replica.ledger
        self._election = election
        self._directory = directory
        self._send = send
        self.set_bounds(bounds)
        self._news = asyncio.Event()
        self._fleet = Fleet()
        self._stopping = StopNotes()
        self._suspicion = Suspicion()
        self._speeds = Speeds()
        parts = (self._ledger, self._fleet, self._stopping)
        self._closer = RunCloser(*parts, self._suspicion, self._speeds)
        self._stops = StopFinder(*parts, self._suspicion)
        self._orders = OrderBook(*parts, send)
        self._waiting_since_s: dict[StepKey, float] = {}
        self._dropped_s = boottime_s()
        self._term = 0

    def set_bounds(self, bounds: JobBounds) -> None:
        """Put other bounds in force."""
        self._state_kept_s = bounds.state_kept_s
        self._reclaim_s = bounds.reclaim_ms / 1000

    def request_round(self) -> None:
        """Have a round soon."""
        self._news.set()

    # Messages from agents

    def handle_report(self, report: VmReport) -> None:
        """Take in a whole report."""
        if not self._is_in_term():
            return
        self._fleet.reported(report)
        self._grant(report.vm, report.number)
        self.request_round()

    def handle_heartbeat(self, message: VmHeartbeat) -> None:
        """Take in that a report still holds."""
        if not self._is_in_term():
            return
        vm = self._fleet.heard(message.vm, message.clock_s)
        known = vm.number == message.number
        self._grant(message.vm, message.number if known else 0)
        if known:
            self._orders.repeat(message.vm, (message.term, message.orders_number))

    def _grant(self, name: str, seen: int) -> None:
        if not self._election.may_grant:
            return
        vm = self._fleet.vms[name]
        vm.granted_s = boottime_s()
        self._send(name, Grant(self._term, vm.tick_s, seen))

    def _is_in_term(self) -> bool:
        if self._election.term != self._term:
            self._begin_term()
        return self._term > 0

    def _begin_term(self) -> None:
        self._term = self._election.term
        self._fleet.restart()
        self._stopping.clear()
        self._orders.clear()

    # Rounds

    async def run(self) -> None:
        """Take decisions for ever."""
        while True:
            try:
                await asyncio.wait_for(self._news.wait(), ROUND_INTERVAL_S)
            except TimeoutError:
                pass
            self._news.clear()
            if self._is_in_term():
                try:
                    await self.run_round()
                except StoreError as exc:
                    decision("round_lost", term=self._term, why=str(exc))
            await asyncio.sleep(MIN_ROUND_INTERVAL_S)

    async def run_round(self) -> None:
        """Store ends, decide, store starts, and only then send orders."""
        term = self._term
        changes = Changes(self._ledger)
        acked = self._closer.close_listed(changes)
        self._closer.close_over(changes)
        self._closer.note_progress(changes)
        await self._store(changes)
        self._orders.acknowledge(acked)
        self._stopping.keep_only(self._ledger.open_runs)
        await self._store_sizes()
        self._stops.find()
        changes = Changes(self._ledger)
        self._start_waiting(changes)
        await self._store(changes)
        if self._election.term == term:
            self._orders.publish(term)
        await self._drop_expired()

    async def _store(self, changes: Changes) -> None:
        for batch in changes.batches():
            await self._election.append(batch)

    async def _store_sizes(self) -> None:
        """Let all entries know when an upstream is larger than those seen before."""
        known = self._ledger.known_capacities
        seen = ((one.group, one.capacity) for one in self._fleet.reports())
        sizes = known.extended(seen)
        if sizes is not known:
            await self._election.append([Record(SIZES_KEY, msgspec.json.encode(sizes))])
            decision("sizes_widened", largest=sizes.largest, term=self._term)

    async def _drop_expired(self) -> None:
        if boottime_s() - self._dropped_s < DROP_INTERVAL_S:
            return
        self._dropped_s = boottime_s()
        self._suspicion.keep_only(set(self._ledger.active), self._dropped_s)
        self._speeds.keep_only({one.key for one in self._fleet.reports()})
        records = expired_records(self._ledger, self._state_kept_s)
        if records:
            await self._election.append(records)
            decision("jobs_dropped", records=len(records), term=self._term)

    def _start_waiting(self, changes: Changes) -> None:
        survey = Survey(
            self._ledger,
            self._fleet,
            self._directory(),
            self._stopping,
            self._suspicion,
            self._speeds,
            self._waiting_since_s,
        )
        waiting = survey.waiting(unix_ms())
        if not waiting or not self._fleet.is_settled:
            return
        waited_s = {step.key: step.waited_s for step in waiting}
        plan = self._policy(
            waiting, survey.upstreams(), survey.units(), reclaim_s=self._reclaim_s
        )
        for unit, why in plan.stops:
            tasks = changes.tasks(unit.step)
            for index in unit.indices:
                self._stopping.add((unit.step.task_name(index), tasks[index].run), why)
        self._open_runs(plan, changes, waited_s)

    def _open_runs(
        self, plan: Plan, changes: Changes, waited_s: dict[StepKey, float]
    ) -> None:
        places: dict[StepKey, dict[int, str]] = defaultdict(dict)
        for start in plan.starts:
            places[start.step][start.index] = start.upstream
        for key, chosen in places.items():
            number = changes.start(key, chosen)
            for index, upstream in chosen.items():
                decision(
                    "run_planned",
                    task=key.task_name(index),
                    run=number,
                    upstream=upstream,
                    waited_s=round(waited_s[key], 3),
                    term=self._term,
                )


__all__ = ["Planner"]
