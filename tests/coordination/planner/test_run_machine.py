"""Stateful property test of planners, agents and upstreams under random faults.

Guards against a task running twice at a time, again after it was done, or more often
than its attempts; against starts out of step order and beyond capacity, also where it
shrinks; and against jobs that never end. The rules on runs are checked on what the
model upstreams ran.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from contextlib import ExitStack
from dataclasses import dataclass, field, replace
from math import inf
from typing import TYPE_CHECKING
from unittest.mock import patch

import msgspec
import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from standins.job_store import MemoryStore

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.planner import election, fleet, planner
from hyssoprill.coordination.planner.election import PlannerElection
from hyssoprill.coordination.planner.fleet import MAX_SILENCE_S
from hyssoprill.coordination.planner.planner import Planner
from hyssoprill.coordination.planner.replica import Replica
from hyssoprill.coordination.planner.stopping import MAX_LISTING_DELAY_S
from hyssoprill.coordination.upstream.planner_grant import (
    GRANT_TTL_S,
    MAX_CALL_DELAY_S,
    MAX_CLOCK_DRIFT,
    MAX_ORDER_AGE_S,
)
from hyssoprill.errors import StoreError
from hyssoprill.job_settings import JobBounds
from hyssoprill.ports.store import Record
from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import (
    EndReport,
    Grant,
    RunReport,
    UpstreamReport,
    VmOrders,
    VmReport,
)
from hyssoprill.state.job_table import CANCEL_PREFIX, JOB_PREFIX
from hyssoprill.state.operator_config import OperatorConfig, WorkspaceConfig

if TYPE_CHECKING:
    from collections.abc import Iterator

VMS = ["vm-0", "vm-1", "vm-2"]
CAPACITY = ResourceAmounts(4, 4000, 4000)
MAX_ATTEMPTS = 2
MAX_LEASE_S = 6.0
"""Longest lease that an upstream accepts."""
DIRECTORY = OperatorConfig(
    version=1, workspaces=(WorkspaceConfig("w", frozenset(), 6),)
)
MAX_SETTLING_ROUNDS = 80
SETTLING_ROUNDS_PER_JOB = 4
SHRINK_NOTICE_S = MAX_SILENCE_S + MAX_LISTING_DELAY_S
"""Orders in force after a report this long after an upstream's capacity has shrunk let
nothing start beyond it.

A run may be planned on a VM's previous report for `MAX_SILENCE_S`, and is taken as
perhaps started for `MAX_LISTING_DELAY_S` after that."""


@dataclass(frozen=True)
class DelayedStart:
    """A start that is executed some time after it was sent, but before its deadline.

    A later incarnation of the same id executes it as well. Its clock starts anew, so
    that the deadline is no limit there.
    """

    upstream: ModelUpstream
    term: int
    task: str
    run: int
    deadline_s: float
    sent_s: float


@dataclass
class ModelUpstream:
    """One incarnation of an upstream, with the runs that it has started and ended.

    Attributes
    ----------
    start_limit : int
        Accelerators that no start may exceed. Follows a capacity that has grown at
        once, and one that has shrunk once orders must respect it.
    has_started_runs : bool
        Whether a start was carried out that `start_limit` was not compared with yet.
    inherited : set of tuple
        Runs that late starts of earlier incarnations may start here, until stopped.
    """

    vm: str
    incarnation: int
    id: str
    inherited: set[tuple[str, int]] = field(default_factory=set)
    term: int = 0
    running: dict[str, int] = field(default_factory=dict)
    highest_run: dict[str, int] = field(default_factory=dict)
    ended: list[EndReport] = field(default_factory=list)
    number: int = 0
    stopped: set[tuple[str, int]] = field(default_factory=set)
    lease_s: float = 0.0
    discarded_upto: int = 0
    accelerators: int = CAPACITY.accelerators
    start_limit: int = CAPACITY.accelerators
    shrunk_s: float = 0.0
    has_started_runs: bool = False

    def resize(self, accelerators: int, now_s: float) -> None:
        """Change the capacity that the upstream reports."""
        if accelerators < self.accelerators:
            self.shrunk_s = now_s
        self.accelerators = accelerators
        self.start_limit = max(self.start_limit, accelerators)

    @property
    def key(self) -> str:
        return f"{self.vm}|10.0.0.1:80|{self.incarnation}|{self.id}"

    def start(self, term: int, task: str, run: int) -> bool:
        """Start a run under the rules of an upstream; return whether it started."""
        if term < self.term or run <= self.highest_run.get(task, 0):
            return False
        self.term = term
        self.highest_run[task] = run
        self.running[task] = run
        return True

    def stop(self, term: int, task: str, run: int) -> None:
        if term < self.term:
            return
        self.term = term
        if self.running.get(task) == run:
            self.end(task, "stopped")
        self.highest_run[task] = max(self.highest_run.get(task, 0), run)
        self.stopped.add((task, run))

    def expire_lease(self, now_s: float) -> list[EndReport]:
        """End all runs if the lease has expired; return the ends that this discards."""
        if now_s <= self.lease_s:
            return []
        discarded = [row for row in self.ended if row.number > self.discarded_upto]
        for task in list(self.running):
            self.end(task, "lapsed")
        self.discarded_upto = self.number
        return discarded

    def end(self, task: str, how: str) -> None:
        self.number += 1
        run = self.running.pop(task)
        self.ended.append(EndReport(self.number, task, run, how, ""))


@dataclass
class ModelEntry:
    replica: Replica
    election: PlannerElection
    planner: Planner


class RunMachine(RuleBasedStateMachine):
    """Two planners and three VMs; the invariants are checked on the model upstreams."""

    @initialize()
    def set_up(self) -> None:
        self.patches = ExitStack()
        for module, name, value in (
            (fleet, "SETTLE_TIME_S", -1.0),
            (planner, "DROP_INTERVAL_S", 1e9),
            (election, "APPEND_RETRY_S", 0.0),
        ):
            self.patches.enter_context(patch.object(module, name, value))
        self.runner = asyncio.Runner()
        self.now_s = 1000.0
        self.patches.enter_context(simulated_time(lambda: self.now_s))
        self.store = MemoryStore()
        self.store.page_records = 2
        self.sent: dict[str, list[VmOrders]] = defaultdict(list)
        self.entries = [self._entry(f"entry-{n}") for n in range(2)]
        self.upstreams = {vm: ModelUpstream(vm, 1, "i-1") for vm in VMS}
        self.unsettled: dict[str, dict[str, set[tuple[str, int]]]] = defaultdict(dict)
        self.orders: dict[str, VmOrders] = {}
        self.delayed: list[DelayedStart] = []
        self.granted_s: dict[str, float] = {}
        self.granted_term: dict[str, int] = defaultdict(int)
        self.unlisted_vms: set[str] = set()
        self.jobs: dict[str, Job] = {}
        self.cancelled_at: dict[str, int] = {}
        self.failures: dict[str, int] = defaultdict(int)
        self.done: set[str] = set()
        self.ever_done: set[str] = set()
        self.report_numbers: dict[str, int] = defaultdict(int)
        self.incarnation = 1
        self.claim(0)
        self.submit(3, False, 2, 2, 1)

    def teardown(self) -> None:
        if not hasattr(self, "runner"):
            return
        try:
            self._run_until_all_jobs_end()
        finally:
            self.runner.close()
            self.patches.close()

    def _run_until_all_jobs_end(self) -> None:
        """Check that all jobs end once there are no more faults."""
        for vm in VMS:
            self.check_in(vm)
        self.delayed.clear()
        for upstream in self.upstreams.values():
            upstream.resize(CAPACITY.accelerators, self.now_s)
        if not any(entry.planner._update_term() for entry in self.entries):
            self.claim(0)
        for _round in range(
            MAX_SETTLING_ROUNDS + SETTLING_ROUNDS_PER_JOB * len(self.jobs)
        ):
            self.pass_time(0.5)
            for number in range(2):
                for _read in range(10):
                    self.runner.run(self.entries[number].replica.read_once(0.0))
                self._run_round(number, True, False, set(), False)
            for vm in VMS:
                self.stop_inherited(vm)
                # Agents repeat starts and stops that were not answered.
                if vm in self.orders:
                    self._execute_orders(vm, self.orders[vm], False)
            self.each_task_runs_once()
            self.no_upstream_exceeds_capacity()
            for vm in VMS:
                for _run in range(len(self.upstreams[vm].running)):
                    self.end(vm, "done")
            jobs = self.entries[0].replica.job_table.jobs.values()
            if len(jobs) == len(self.jobs) and all(one.is_finished for one in jobs):
                return
        states = {one.job.id: one.status for one in jobs if not one.is_finished}
        raise AssertionError(f"jobs did not end: {states}")

    def _entry(self, name: str) -> ModelEntry:
        replica = Replica(self.store, lambda: None)
        election = PlannerElection(name, name, f"tcp://{name}", self.store, replica)
        entry_planner = Planner(
            replica,
            election,
            lambda: DIRECTORY,
            self._send,
            bounds=JobBounds(key_revocation_ms=5000, stop_grace_s=6.0),
        )
        return ModelEntry(replica, election, entry_planner)

    def _send(self, vm: str, message: object) -> None:
        if isinstance(message, VmOrders):
            self.sent[vm].append(message)
        elif isinstance(message, Grant):
            self.granted_s[vm] = message.echoed_clock_s
            self.granted_term[vm] = max(self.granted_term[vm], message.term)

    # Callers

    @rule(
        count=st.integers(1, 3),
        gang=st.booleans(),
        steps=st.integers(1, 2),
        size=st.sampled_from([1, 2, 4]),
        priority=st.integers(0, 2),
    )
    def submit(
        self, count: int, gang: bool, steps: int, size: int, priority: int
    ) -> None:
        need = ResourceAmounts(size, 1, 1)
        built_steps = tuple(
            Step(
                count=count,
                need=need,
                estimate_ms=4000,
                gang=gang,
                after=(n - 1,) if n else (),
            )
            for n in range(steps)
        )
        name = f"{len(self.jobs):016x}"
        accepted_ms = round(self.now_s * 1000)
        job = Job(
            name,
            "q",
            "g",
            "w",
            priority,
            MAX_ATTEMPTS,
            3.0,
            0,
            accepted_ms,
            "",
            built_steps,
        )
        self.jobs[name] = job
        record = Record(JOB_PREFIX + name, msgspec.json.encode(job))
        self.runner.run(self.store.append("jobs", [record]))

    @rule(data=st.data())
    def cancel(self, data: st.DataObject) -> None:
        if self.jobs:
            name = data.draw(st.sampled_from(sorted(self.jobs)))
            record = Record(CANCEL_PREFIX + name, b"{}")
            self.runner.run(self.store.append("jobs", [record]))

    # Planners

    @rule(number=st.integers(0, 1))
    def claim(self, number: int) -> None:
        entry = self.entries[number]
        if self.entries[1 - number].election.may_grant:
            # An entry claims only after the grants of its predecessor.
            self.pass_time(election.CLAIM_AFTER_S)
        while entry.replica.end != self.store.topic("jobs").end:
            self.runner.run(entry.replica.read_once(0.0))
        self.runner.run(entry.election._claim())

    @rule(
        number=st.integers(0, 1),
        times=st.sampled_from([1, 3, 14, 40]),
        reads=st.sampled_from([True, True, False]),
        lost=st.sampled_from([False, False, True]),
        silent=st.sets(st.sampled_from(VMS), max_size=2),
        delayed=st.sampled_from([False, False, True]),
        ends=st.sampled_from(["", "done", "failed"]),
    )
    def run_rounds(
        self,
        number: int,
        times: int,
        reads: bool,
        lost: bool,
        silent: set[str],
        delayed: bool,
        ends: str,
    ) -> None:
        """Run rounds at an entry and deliver its orders, with some VMs cut off."""
        for position in range(times):
            self.pass_time(0.3)
            self._run_round(number, reads, lost and not position, silent, delayed)
            self.each_task_runs_once()
            self.no_upstream_exceeds_capacity()
            if ends:
                self.end(VMS[position % len(VMS)], ends)

    def _run_round(
        self, number: int, reads: bool, lost: bool, silent: set[str], delayed: bool
    ) -> None:
        entry = self.entries[number]
        self.store.lost_answers = 1 if lost else 0
        if reads:
            for _page in range(4):
                self.runner.run(entry.replica.read_once(0.0))
        if entry.planner._update_term():
            if reads:
                self._renew(entry)
            reachable = [vm for vm in VMS if vm not in silent]
            for vm in reachable:
                self._report(vm, number)
            try:
                self.runner.run(entry.planner.run_round())
                is_complete = True
            except StoreError:
                is_complete = False
            for vm in reachable:
                self.deliver(vm, 0, delayed)
                if is_complete:
                    self._limit_starts(vm, entry.election.term)
        self.store.lost_answers = 0

    def _limit_starts(self, vm: str, term: int) -> None:
        """Hold an upstream to its capacity if its orders must respect it by now.

        Called once a planner has decided by a report that was just made.
        """
        if vm in self.unlisted_vms:
            return
        upstream, orders = self.upstreams[vm], self.orders.get(vm)
        newest = max(((one.term, one.number) for one in self.sent[vm]), default=(0, 0))
        has_newest = orders is not None and (orders.term, orders.number) == newest
        is_due = self.now_s > upstream.shrunk_s + SHRINK_NOTICE_S
        if has_newest and newest[0] == term and is_due:
            upstream.start_limit = upstream.accelerators

    def _renew(self, entry: ModelEntry) -> None:
        try:
            self.runner.run(entry.election._renew())
        except StoreError:
            pass

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0, 11.0]))
    def pass_time(self, seconds: float) -> None:
        """Advance the clock and end the runs whose lease expires."""
        self.now_s += seconds
        for upstream in self.upstreams.values():
            self._discard_ends(upstream.expire_lease(self.now_s))

    def _discard_ends(self, rows: list[EndReport]) -> None:
        """Forget ends that an expired lease or a crash prevented from being stored."""
        for row in rows:
            self.done.discard(row.task)
            if row.outcome == "failed" and self.failures[row.task]:
                self.failures[row.task] -= 1

    @rule(number=st.integers(0, 1))
    def restart_entry(self, number: int) -> None:
        self.entries[number] = self._entry(f"entry-{number}")
        self.claim(1 - number)

    @rule()
    def discard_history(self) -> None:
        self.store.topic("jobs").forget()

    # Agents and upstreams

    def _report(self, vm: str, number: int) -> None:
        upstream = self.upstreams[vm]
        ended_keys, last_reports = self._last_state(upstream)
        stopping = self._stopping(vm)
        present = {(row.task, row.run) for row in upstream.ended}
        present |= set(upstream.running.items())
        closed = [one for one in stopping & upstream.stopped if one not in present]
        self.report_numbers[vm] += 1
        listed = UpstreamReport(
            upstream.key,
            "g",
            "z",
            not upstream.inherited,
            CAPACITY._replace(accelerators=upstream.accelerators),
            ["a", "r1"],
            [RunReport(task, run, "", 50) for task, run in upstream.running.items()],
            list(upstream.ended),
            closed,
        )
        self.entries[number].planner.handle_report(
            VmReport(
                vm,
                self.now_s,
                self.report_numbers[vm],
                [] if vm in self.unlisted_vms else [listed],
                ended_keys,
                last_reports,
            )
        )
        if self.granted_s.get(vm) == self.now_s and vm not in self.unlisted_vms:
            self._extend_lease(vm)

    def _last_state(
        self, upstream: ModelUpstream
    ) -> tuple[list[str], list[UpstreamReport]]:
        """Return what an agent reports of earlier incarnations."""
        unsettled = self.unsettled[upstream.vm]
        return list(unsettled), [
            UpstreamReport(key, "g", "z", False, unsettled=sorted(runs))
            for key, runs in unsettled.items()
        ]

    @rule(vm=st.sampled_from(VMS))
    def stop_inherited(self, vm: str) -> None:
        """Stop the runs that earlier incarnations may still start on an upstream.

        No upstream restarts once more while a call to the first incarnation is late.
        """
        upstream = self.upstreams[vm]
        for task, run in upstream.inherited:
            upstream.stop(upstream.term, task, run)
        self.delayed = [
            start
            for start in self.delayed
            if start.upstream.vm != vm
            or (start.task, start.run) not in upstream.inherited
        ]
        upstream.inherited.clear()
        for runs in self.unsettled[vm].values():
            runs.clear()

    def _stopping(self, vm: str) -> set[tuple[str, int]]:
        orders = self.orders.get(vm)
        key = self.upstreams[vm].key
        for one in orders.upstreams if orders is not None else ():
            if one.key == key:
                return set(one.stopping)
        return set()

    @rule(
        vm=st.sampled_from(VMS),
        back=st.sampled_from([0, 0, 0, 1, 2, 5]),
        delayed=st.sampled_from([False, False, True]),
    )
    def deliver(self, vm: str, back: int, delayed: bool) -> None:
        """Execute the newest orders that were sent to a VM, or earlier ones."""
        if not self.sent[vm]:
            return
        message = self.sent[vm][max(len(self.sent[vm]) - 1 - back, 0)]
        known = self.orders.get(vm)
        if known is not None and (message.term, message.number) <= (
            known.term,
            known.number,
        ):
            return
        self.orders[vm] = message
        self._execute_orders(vm, message, delayed)

    def _execute_orders(self, vm: str, message: VmOrders, delayed: bool) -> None:
        upstream = self.upstreams[vm]
        if vm in self.unlisted_vms:
            return
        if message.term >= self.granted_term[vm]:
            self.granted_s[vm] = max(
                self.granted_s.get(vm, 0.0), message.echoed_clock_s
            )
            self._extend_lease(vm)
        heard_s = max(message.echoed_clock_s, self.granted_s.get(vm, 0.0))
        may_start = self.now_s - heard_s < MAX_ORDER_AGE_S
        for one in message.upstreams:
            if one.key != upstream.key:
                continue
            for run in one.runs if may_start else ():
                start = DelayedStart(
                    upstream,
                    message.term,
                    run.task,
                    run.run,
                    upstream.lease_s,
                    self.now_s,
                )
                if delayed:
                    self.delayed.append(start)
                else:
                    self._start(start)
            for task, number in one.stopping:
                upstream.stop(message.term, task, number)
            wanted = {(run.task, run.run) for run in one.runs} | upstream.inherited
            for task, number in list(upstream.running.items()):
                if (task, number) not in wanted:
                    upstream.stop(message.term, task, number)
            upstream.ended = [
                row for row in upstream.ended if row.number > one.stored_upto
            ]
        self._check_start_limit(upstream)

    @rule(vm=st.sampled_from(VMS))
    def restart_agent(self, vm: str) -> None:
        """Restart an agent; until the next check-in it lists no upstream."""
        self.unlisted_vms.add(vm)

    @rule(vm=st.sampled_from(VMS))
    def check_in(self, vm: str) -> None:
        """Let the upstream check in with its agent, which then extends its lease."""
        if vm in self.unlisted_vms:
            self.unlisted_vms.discard(vm)
            self._extend_lease(vm)

    def _extend_lease(self, vm: str) -> None:
        """Extend a lease as far as the newest grant allows."""
        upstream = self.upstreams[vm]
        lease_s = GRANT_TTL_S * (1 + MAX_CLOCK_DRIFT)
        granted_s = self.granted_s.get(vm, -inf)
        upstream.lease_s = max(upstream.lease_s, granted_s + lease_s)

    @rule(data=st.data())
    def execute_delayed_start(self, data: st.DataObject) -> None:
        if self.delayed:
            self._execute_delayed(data.draw(st.integers(0, len(self.delayed) - 1)))

    @rule(number=st.integers(0, 1), accelerators=st.sampled_from([0, 1, 2]))
    def shrink_during_starts(self, number: int, accelerators: int) -> None:
        """Shrink all upstreams while starts are under way, and execute these late."""
        self.run_rounds(number, 1, True, False, set(), True, "")
        for vm in VMS:
            self.resize(vm, accelerators)
        self.run_rounds(number, 10, True, False, set(), True, "")
        while self.delayed:
            self._execute_delayed(0)

    def _execute_delayed(self, position: int) -> None:
        start = self.delayed.pop(position)
        self._execute_late(start)
        if self.upstreams[start.upstream.vm] is start.upstream:
            self._check_start_limit(start.upstream)

    def _check_start_limit(self, upstream: ModelUpstream) -> None:
        """Check that new starts have not brought an upstream over its limit.

        Called once orders are carried out in full: here, other than on the platform,
        the members of a gang do not end together, and the rest is stopped by them.
        """
        used = self._used_accelerators(upstream)
        if upstream.has_started_runs:
            assert used <= upstream.start_limit, "start beyond the capacity"
        upstream.has_started_runs = False

    def _execute_late(self, start: DelayedStart) -> None:
        current = self.upstreams[start.upstream.vm]
        if current is start.upstream:
            self._start(start)
        elif current.id == start.upstream.id and self._is_pending(start):
            current.lease_s = max(current.lease_s, self.now_s + MAX_LEASE_S)
            self._start(replace(start, upstream=current, deadline_s=inf))

    def _is_pending(self, start: DelayedStart) -> bool:
        """Tell whether a start without an answer may still be executed."""
        return self.now_s - start.sent_s < MAX_CALL_DELAY_S

    def _start(self, start: DelayedStart) -> None:
        task = start.task
        if self.now_s > start.deadline_s:
            return
        if not start.upstream.start(start.term, task, start.run):
            return
        start.upstream.has_started_runs = True
        assert task not in self.done, "a task was started again after it was done"
        assert self.failures[task] < MAX_ATTEMPTS, "max_attempts exceeded"
        job_id, _occurrence, step, _index = task.split(".")
        job = self.jobs[job_id]
        for earlier in job.steps[int(step)].after:
            for index in range(job.steps[earlier].count):
                name = f"{job_id}.0.{earlier}.{index}"
                gang = job.steps[earlier].gang
                assert name in self.ever_done or gang, "step started before its turn"

    @rule(vm=st.sampled_from(VMS), how=st.sampled_from(["done", "failed"]))
    def end(self, vm: str, how: str) -> None:
        upstream = self.upstreams[vm]
        for task in list(upstream.running)[:1]:
            job_id, _occurrence, step, _index = task.split(".")
            gang = self.jobs[job_id].steps[int(step)].gang
            upstream.end(task, how)
            if how == "done":
                self.done.add(task)
                self.ever_done.add(task)
            elif not gang:
                self.failures[task] += 1

    @rule(vm=st.sampled_from(VMS), accelerators=st.sampled_from([0, 1, 2, 4, 4]))
    def resize(self, vm: str, accelerators: int) -> None:
        """Shrink or grow the capacity of an upstream while it runs."""
        self.upstreams[vm].resize(accelerators, self.now_s)

    @rule(vm=st.sampled_from(VMS), keeps_id=st.booleans())
    def crash(self, vm: str, keeps_id: bool) -> None:
        """Replace an upstream by a new incarnation; ends not reported yet are lost."""
        upstream = self.upstreams[vm]
        self._discard_ends(
            [one for one in upstream.ended if one.number > upstream.discarded_upto]
        )
        self.incarnation += 1
        new_id = upstream.id if keeps_id else f"i-{self.incarnation}"
        late = {
            (start.task, start.run)
            for start in self.delayed
            if start.upstream.vm == vm and start.upstream.id == new_id
        }
        self.unsettled[vm][upstream.key] = set(late)
        for runs in self.unsettled[vm].values():
            runs &= late
        self.upstreams[vm] = ModelUpstream(vm, self.incarnation, new_id, set(late))

    # Invariants

    @invariant()
    def each_task_runs_once(self) -> None:
        if not hasattr(self, "upstreams"):
            return
        seen: set[str] = set()
        for upstream in self.upstreams.values():
            for task in upstream.running:
                assert task not in seen, "two runs of one task at a time"
                seen.add(task)

    @invariant()
    def no_upstream_exceeds_capacity(self) -> None:
        if not hasattr(self, "upstreams"):
            return
        for upstream in self.upstreams.values():
            used = self._used_accelerators(upstream)
            assert used <= CAPACITY.accelerators, "upstream exceeds its capacity"

    def _used_accelerators(self, upstream: ModelUpstream) -> int:
        used = 0
        for task in upstream.running:
            job_id, _occurrence, step, _index = task.split(".")
            used += self.jobs[job_id].steps[int(step)].need.accelerators
        return used


RunMachine.TestCase.settings = settings(
    stateful_step_count=100, max_examples=settings().max_examples, deadline=None
)
TestRunMachine = RunMachine.TestCase


@pytest.fixture
def machine() -> Iterator[RunMachine]:
    """Return a machine with its first job; at the end, all of its jobs must end."""
    machine = RunMachine()
    machine.set_up()
    yield machine
    machine.teardown()


def start_late_and_restart(machine: RunMachine) -> None:
    """Restart all upstreams under their ids while all starts are late, then execute."""
    machine.run_rounds(0, 1, True, False, set(), True, "")
    late = list(machine.delayed)
    for vm in VMS:
        machine.crash(vm, True)
    for start in late:
        machine._execute_late(start)
    assert any(upstream.running for upstream in machine.upstreams.values())


def test_task_runs_once_when_a_restarted_upstream_executes_its_start_late(machine):
    start_late_and_restart(machine)
    machine.run_rounds(0, 3, True, False, set(), False, "")


def test_task_that_ended_after_a_late_start_is_not_started_again(machine):
    start_late_and_restart(machine)
    for vm in VMS:
        machine.end(vm, "done")
    for vm in VMS:
        machine.stop_inherited(vm)
    machine.run_rounds(0, 3, True, False, set(), False, "")


def busy_vms(machine: RunMachine) -> list[str]:
    """Start the first job and return the VMs that run it."""
    machine.run_rounds(0, 3, True, False, set(), False, "")
    busy = [vm for vm in VMS if machine.upstreams[vm].running]
    assert busy
    machine.pass_time(3.0)
    return busy


def run_cut_off_rounds(machine: RunMachine, vms: list[str]) -> None:
    """Run rounds at the second entry without these VMs, until their leases expire."""
    for _round in range(40):
        machine._run_round(1, True, False, set(vms), False)
        machine.pass_time(0.3)
        machine.each_task_runs_once()


def test_task_runs_once_while_a_cut_off_planner_sends_orders(machine):
    busy = busy_vms(machine)
    machine.claim(1)
    assert machine.entries[1].election.term == 2
    orders = machine.entries[0].planner._orders
    for _round in range(20):
        machine.pass_time(0.6)
        for vm in busy:
            machine._report(vm, 0)
        orders._sent.clear()
        orders.publish(1)
        for vm in busy:
            machine.deliver(vm, 0, False)
        machine._run_round(1, True, False, set(busy), False)
        machine.each_task_runs_once()


def test_task_runs_once_when_an_agent_restarts_before_its_upstream_checks_in(machine):
    busy = busy_vms(machine)
    for vm in busy:
        machine.restart_agent(vm)
    machine.claim(1)
    for _round in range(20):
        machine._run_round(1, True, False, set(), False)
        machine.pass_time(0.3)
    for vm in busy:
        machine.check_in(vm)
    run_cut_off_rounds(machine, busy)
