"""The planner: stores decisions first, then sends the orders that follow from them."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from typing import TYPE_CHECKING

from ...clock import boottime_s, unix_ms
from ...errors import StoreError
from ...logs import decision
from ...protocol.upstream_messages import (
    Grant,
    RunOrder,
    UpstreamOrders,
    VmOrders,
)
from ...state.ledger import OPEN, StepKey
from ..policy.dispatch.dispatch import plan_round
from ..policy.dispatch.leaving import is_better_moved, time_left_s
from .changes import Changes
from .fleet import Fleet
from .retention import expired_records
from .runs import StopNotes, ran_s
from .survey import Survey
from .suspicion import Suspicion

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...protocol.message import Message
    from ...protocol.upstream_messages import UpstreamReport, VmHeartbeat, VmReport
    from ...state.directory import Directory
    from ...state.ledger import OpenRun
    from ..policy.dispatch.view import Plan
    from .replica import Replica
    from .term import TermKeeper

    Send = Callable[[str, Message], None]

ROUND_INTERVAL_S = 0.25
"""Rounds come at once with news, and this often without, for what time changes."""
MIN_ROUND_INTERVAL_S = 0.01
DROP_INTERVAL_S = 5.0
PROGRESS_INTERVAL_S = 1.0
"""Saved progress is stored this often: a process and its upstream may end together."""


class Planner:
    """Decides on starts and stops while this entry holds the term.

    Parameters
    ----------
    replica : Replica
        The stored state.
    keeper : TermKeeper
        Appends under the term.
    directory : callable
        Returns the operator's view in force.
    send : callable
        Sends a message to the agent of a VM.
    state_kept_s : float
        For how long callers may ask for a job that is over.
    reclaim_s : float
        Within this time a guaranteed job has to have begun.
    """

    def __init__(
        self,
        replica: Replica,
        keeper: TermKeeper,
        directory: Callable[[], Directory],
        send: Send,
        *,
        state_kept_s: float,
        reclaim_s: float,
    ) -> None:
        self._replica = replica
        self._keeper = keeper
        self._directory = directory
        self._send = send
        self._state_kept_s = state_kept_s
        self._reclaim_s = reclaim_s
        self._dropped_s = boottime_s()
        self._progress_s = boottime_s()
        self._news = asyncio.Event()
        self._fleet = Fleet()
        self._stopping = StopNotes()
        self._suspicion = Suspicion()
        self._waiting_since_s: dict[StepKey, float] = {}
        self._term = 0
        self._sent: dict[str, tuple[tuple[int, int], list[UpstreamOrders]]] = {}
        self._number = 0
        self._acked: dict[str, int] = {}

    def wake(self) -> None:
        """Have a round soon."""
        self._news.set()

    # Messages from agents

    def reported(self, report: VmReport) -> None:
        """Take in a whole report."""
        if not self._is_in_term():
            return
        self._fleet.reported(report)
        self._grant(report.vm, report.number)
        self.wake()

    def heartbeat(self, message: VmHeartbeat) -> None:
        """Take in that a report still holds."""
        if not self._is_in_term():
            return
        vm = self._fleet.heard(message.vm, message.tick_s)
        vm.orders_applied = (message.term, message.orders)
        known = vm.number == message.number
        self._grant(message.vm, message.number if known else 0)
        sent = self._sent.get(message.vm)
        if known and sent is not None and vm.orders_applied < sent[0]:
            self._send_orders(message.vm, sent[1])

    def _grant(self, name: str, seen: int) -> None:
        if not self._keeper.may_grant:
            return
        vm = self._fleet.vms[name]
        vm.granted_s = boottime_s()
        self._send(name, Grant(self._term, vm.tick_s, seen))

    def _is_in_term(self) -> bool:
        if self._keeper.term != self._term:
            self._begin_term()
        return self._term > 0

    def _begin_term(self) -> None:
        self._term = self._keeper.term
        self._fleet.restart()
        self._stopping.clear()
        self._sent.clear()
        self._acked.clear()
        self._number = 0

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
                    await self._round()
                except StoreError as exc:
                    decision("round_lost", term=self._term, why=str(exc))
            await asyncio.sleep(MIN_ROUND_INTERVAL_S)

    async def _round(self) -> None:
        term = self._term
        changes = Changes(self._replica.ledger)
        acked = self._close_ended(changes)
        self._close_over(changes)
        self._note_progress(changes)
        if changes:
            await self._keeper.append(changes.records())
        self._acked.update(acked)
        self._stopping.keep_only(self._replica.ledger.open_runs)
        self._stop_unwanted()
        self._stop_leaving()
        changes = Changes(self._replica.ledger)
        self._start_waiting(changes)
        if changes:
            await self._keeper.append(changes.records())
        if self._keeper.term == term:
            self._publish()
        await self._drop_expired()

    async def _drop_expired(self) -> None:
        if boottime_s() - self._dropped_s < DROP_INTERVAL_S:
            return
        self._dropped_s = boottime_s()
        self._suspicion.keep_only(set(self._replica.ledger.active))
        records = expired_records(self._replica.ledger, self._state_kept_s)
        if records:
            await self._keeper.append(records)
            decision("jobs_dropped", records=len(records), term=self._term)

    def _close_ended(self, changes: Changes) -> dict[str, int]:
        """Close runs that their upstreams list as ended."""
        acked = {}
        for vm in self._fleet.vms.values():
            for report in vm.upstreams.values():
                self._close_listed(report, changes)
                numbers = [row.number for row in report.ended]
                if numbers:
                    acked[report.key] = max(numbers)
        return acked

    def _close_listed(self, report: UpstreamReport, changes: Changes) -> None:
        open_runs = self._replica.ledger.open_runs.get(report.key, {})
        ends = [(row.task, row.run, row.how, row.saved) for row in report.ended]
        ends += [(task, run, "closed", "") for task, run in report.closed]
        ends += [
            (task, run, f"refused: {why}", "") for task, run, why in report.refused
        ]
        for task, number, how, saved in ends:
            run = open_runs.get(task)
            if run is not None and run.run == number:
                self._close(changes, report.key, task, run, how, saved)

    def _close_over(self, changes: Changes) -> None:
        """Close runs on lifetimes that have surely ended."""
        for key, runs in self._replica.ledger.open_runs.items():
            why = self._fleet.why_over(key) if runs else ""
            if why:
                for task, run in runs.items():
                    saved = self._fleet.saved(key, task, run.run)
                    self._close(changes, key, task, run, why, saved)

    def _note_progress(self, changes: Changes) -> None:
        """Keep from time to time what open runs have saved."""
        if boottime_s() - self._progress_s < PROGRESS_INTERVAL_S:
            return
        self._progress_s = boottime_s()
        for vm in self._fleet.vms.values():
            for report in vm.upstreams.values():
                open_runs = self._replica.ledger.open_runs.get(report.key, {})
                for row in report.running:
                    run = open_runs.get(row.task)
                    if run is None or run.run != row.run or not row.saved:
                        continue
                    task = changes.task(run.step, run.index)
                    known = task.progress or task.saved
                    if task.phase == OPEN and known != row.saved:
                        changes.note_progress(run.step, run.index, row.saved)

    def _close(
        self,
        changes: Changes,
        upstream: str,
        task: str,
        run: OpenRun,
        how: str,
        saved: str,
    ) -> None:
        before = changes.task(run.step, run.index)
        if before.phase != OPEN:
            return
        job = self._replica.ledger.jobs[run.step.job_id].job
        changes.end(run.step, run.index, how, saved, max_attempts=job.max_attempts)
        if how == "done":
            self._suspicion.succeeded(upstream)
        elif how == "failed" or how.startswith("refused"):
            self._suspicion.failed(upstream, job.id, run.run, boottime_s())
        decision(
            "run_ended",
            task=task,
            run=run.run,
            how=how,
            upstream=upstream,
            ran_s=round(ran_s(before), 2),
            why=self._stopping.reason((task, run.run)),
            term=self._term,
        )

    def _stop_leaving(self) -> None:
        """Stop runs that their draining upstream would end anyway."""
        ledger = self._replica.ledger
        for vm in self._fleet.vms.values():
            for report in vm.upstreams.values():
                if not report.draining:
                    continue
                percents = {(row.task, row.run): row.percent for row in report.running}
                for task, run in ledger.open_runs.get(report.key, {}).items():
                    name = (task, run.run)
                    if name in self._stopping:
                        continue
                    entry = ledger.jobs[run.step.job_id]
                    step = entry.job.steps[run.step.step]
                    state = entry.step_state(run.step.occurrence, run.step.step)
                    left_s = time_left_s(
                        step, ran_s(state.tasks[run.index]), percents.get(name, 0)
                    )
                    if is_better_moved(step, left_s, report.remaining_ms / 1000):
                        self._stop(*name, "upstream leaves")

    def _stop_unwanted(self) -> None:
        """Stop runs of jobs that are over, of broken gangs, and stalled ones."""
        ledger = self._replica.ledger
        stalled = {
            tuple(one)
            for vm in self._fleet.vms.values()
            for report in vm.upstreams.values()
            for one in report.stalled
        }
        for entry in list(ledger.active.values()):
            over = entry.status if entry.is_over else ""
            for (occurrence, number), state in entry.steps.items():
                step = entry.job.steps[number]
                key = StepKey(entry.job.id, occurrence, number)
                opened = [i for i, t in enumerate(state.tasks) if t.phase == OPEN]
                names = [(key.task(i), state.tasks[i].run) for i in opened]
                why = over
                if not why and step.gang and 0 < len(opened) < step.count:
                    why = "gang broken"
                for index, name in zip(opened, names, strict=True):
                    reason = why
                    if not reason and name in stalled:
                        reason = "no progress"
                    if reason and name not in self._stopping:
                        if reason == "no progress":
                            upstream = state.tasks[index].upstream
                            self._suspicion.failed(
                                upstream, entry.job.id, name[1], boottime_s()
                            )
                        self._stop(*name, reason)

    def _stop(self, task: str, run: int, why: str) -> None:
        decision("run_to_stop", task=task, run=run, why=why, term=self._term)
        self._stopping.add((task, run), why)

    def _start_waiting(self, changes: Changes) -> None:
        survey = Survey(
            self._replica.ledger,
            self._fleet,
            self._directory(),
            self._stopping,
            self._suspicion,
            self._waiting_since_s,
        )
        waiting = survey.waiting(unix_ms())
        if not waiting or not self._fleet.is_settled:
            return
        waited_s = {step.key: step.waited_s for step in waiting}
        plan = plan_round(
            waiting, survey.upstreams(), survey.units(), reclaim_s=self._reclaim_s
        )
        for unit, why in plan.stops:
            tasks = changes.tasks(unit.step)
            for index in unit.indices:
                self._stop(unit.step.task(index), tasks[index].run, why)
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
                task = key.task(index)
                decision(
                    "run_planned",
                    task=task,
                    run=number,
                    upstream=upstream,
                    waited_s=round(waited_s[key], 3),
                    term=self._term,
                )

    # Orders

    def _publish(self) -> None:
        """Send the orders of each VM where they have changed."""
        for name, vm in self._fleet.vms.items():
            orders = [self._orders(key) for key in vm.upstreams]
            sent = self._sent.get(name)
            if sent is None or sent[1] != orders:
                self._send_orders(name, orders)

    def _send_orders(self, name: str, orders: list[UpstreamOrders]) -> None:
        self._number += 1
        self._sent[name] = ((self._term, self._number), orders)
        echo_s = self._fleet.vms[name].tick_s
        self._send(name, VmOrders(self._term, self._number, echo_s, orders))

    def _orders(self, key: str) -> UpstreamOrders:
        ledger = self._replica.ledger
        runs, stopping = [], []
        for task, run in ledger.open_runs.get(key, {}).items():
            if (task, run.run) in self._stopping:
                stopping.append((task, run.run))
                continue
            entry = ledger.jobs[run.step.job_id]
            state = entry.step_state(run.step.occurrence, run.step.step)
            saved = state.tasks[run.index].saved
            runs.append(RunOrder(task, run.run, entry.job.payload, saved))
        return UpstreamOrders(key, runs, stopping, self._acked.get(key, 0))


__all__ = ["Planner"]
