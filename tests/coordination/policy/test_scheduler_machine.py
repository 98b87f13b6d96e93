"""State machine: accounts and guarantees hold over any order of events."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hyssoprill.coordination.policy.decisions import (
    Refuse,
    Revoke,
    RunningJob,
    Start,
)
from hyssoprill.coordination.policy.scheduler import Scheduler
from hyssoprill.protocol.bundle import Bundle, Guarantee, Limits, ZonePolicy
from hyssoprill.protocol.request import JobSpec
from hyssoprill.protocol.shape import Resources, Shape

ZONES = ("zone-a", "zone-b")
CAPACITY = Resources(4, 4, 16, 64)
WORKSPACES = ("house-1", "house-2", "house-3")
SHAPES = (
    Shape(1, 1),
    Shape(1, 4, "upstream"),
    Shape(2, 2, "rack"),
    Shape(3, 4, "rack"),
    Shape(4, 1, "availability_zone"),
)
GUARANTEES = (
    Guarantee("house-1", Shape(2, 2, "rack")),
    Guarantee("house-2", Shape(1, 4, "upstream"), 2),
)


class SchedulerMachine(RuleBasedStateMachine):
    """Submits, ends, cancels, moves zones and loses upstreams in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 0.0
        self.number = 0
        self.version = 1
        self.out: frozenset[str] = frozenset()
        self.scheduler = Scheduler()
        self.started: dict[str, Start] = {}
        for zone in ZONES:
            for number in range(4):
                self.add(f"{zone}.{number}", zone, f"rack-{number // 3}")
        self.roll(self.out)

    def add(self, name: str, zone: str, rack: str) -> None:
        self.scheduler.upstream_up(name, zone, rack, CAPACITY)

    def roll(self, out: frozenset[str]) -> None:
        zones = [ZonePolicy(one, "out" if one in out else "in") for one in ZONES]
        self.version += 1
        self.scheduler.apply_bundle(
            Bundle(
                self.version,
                self.version - 1,
                guarantees=list(GUARANTEES),
                availability_zones=zones,
                limits=Limits(preempt_after_s=5.0),
            ),
            self.now_s,
        )
        self.out = out

    def step(self) -> None:
        state = self.scheduler.state
        for decision in self.scheduler.step(self.now_s):
            if isinstance(decision, Start):
                self.check_start(decision)
                self.started[decision.job_id] = decision
            elif isinstance(decision, Revoke):
                job = state.running[decision.job_id]
                assert job.spec.idempotent or "zone" in decision.reason
                if job.cell and "zone" not in decision.reason:
                    self.check_retake(job)
            else:
                assert isinstance(decision, Refuse)

    def check_retake(self, job: RunningJob) -> None:
        """Only a workspace's own job as large as the cell may empty it."""
        state = self.scheduler.state
        cell = state.cells.cells[job.cell]
        assert job.spec.shape != cell.shape
        assert any(
            one.cell == job.cell
            and one.job.spec.shape == cell.shape
            and one.job.spec.workspace == job.spec.workspace
            for one in state.pending.values()
        )

    def check_start(self, decision: Start) -> None:
        state = self.scheduler.state
        spec = state.running[decision.job_id].spec
        upstreams = [state.pool.upstreams[name] for name, _ in decision.place]
        assert sum(members for _, members in decision.place) == spec.shape.members
        assert all(one.schedulable for one in upstreams)
        assert not {one.availability_zone for one in upstreams} & self.out
        zones = {one.availability_zone for one in upstreams}
        racks = {(one.availability_zone, one.rack) for one in upstreams}
        assert len(zones) == 1
        if spec.shape.adjacent != "availability_zone":
            assert len(racks) == 1
        if spec.shape.adjacent == "upstream":
            assert len(upstreams) == 1

    @rule(
        workspace=st.sampled_from(WORKSPACES),
        shape=st.sampled_from(SHAPES),
        idempotent=st.booleans(),
        urgent=st.booleans(),
    )
    def submit(
        self, workspace: str, shape: Shape, idempotent: bool, urgent: bool
    ) -> None:
        self.number += 1
        spec = JobSpec(
            f"job-{self.number:04}",
            workspace,
            shape,
            idempotent=idempotent,
            urgent=urgent,
        )
        self.scheduler.submit(spec, self.now_s)
        self.step()

    @rule(index=st.integers(0, 30), again=st.booleans())
    def end(self, index: int, again: bool) -> None:
        running = sorted(self.scheduler.state.running)
        if running:
            job = self.scheduler.job_ended(running[index % len(running)])
            if again and job.spec.idempotent:
                self.scheduler.submit(job.spec, job.submitted_s)
            self.step()

    @rule()
    def end_stopping(self) -> None:
        for job_id, job in list(self.scheduler.state.running.items()):
            if job.stopping:
                self.scheduler.job_ended(job_id)
        self.step()

    @rule(index=st.integers(0, 30))
    def cancel(self, index: int) -> None:
        waiting = sorted(self.scheduler.state.waiting)
        if waiting:
            self.scheduler.withdraw(waiting[index % len(waiting)])
            self.step()

    @rule(out=st.sets(st.sampled_from(ZONES), max_size=1))
    def move_zones(self, out: set[str]) -> None:
        self.roll(frozenset(out))
        self.step()

    @rule(index=st.integers(0, 7), silent=st.booleans())
    def silence(self, index: int, silent: bool) -> None:
        name = f"{ZONES[index // 4]}.{index % 4}"
        if silent:
            self.scheduler.close(name, "silent")
        else:
            self.scheduler.reopen(name, "silent")
        self.step()

    @rule(seconds=st.sampled_from([0.1, 1.0, 6.0, 40.0]))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        self.step()

    @rule()
    def change_coordinator(self) -> None:
        """A new coordinator finds running jobs, and is asked for waiting ones."""
        old = self.scheduler.state
        bundle = old.bundle
        self.scheduler = Scheduler()
        self.scheduler.apply_bundle(bundle, self.now_s)
        for one in old.pool.upstreams.values():
            self.add(one.name, one.availability_zone, one.rack)
        for job in old.running.values():
            self.scheduler.adopt(job.spec, job.place, job.cell, job.started_s)
        for job in old.waiting.values():
            self.scheduler.submit(job.spec, job.submitted_s)
        self.step()

    @invariant()
    def accounts_are_right(self) -> None:
        state = self.scheduler.state
        for name, one in state.pool.upstreams.items():
            used = irrevocable = Resources()
            for job in state.running.values():
                members = dict(job.place).get(name, 0)
                used = used.plus(job.spec.shape.need, members)
                if not job.is_revocable:
                    irrevocable = irrevocable.plus(job.spec.shape.need, members)
            assert used == one.used
            assert all(amount >= 0 for amount in one.capacity.minus(one.used))
            for index in (0, 1):
                assert irrevocable[index] <= one.claimed[index], name
                assert one.claimed[index] <= one.capacity[index], name

    @invariant()
    def guaranteed_jobs_start_or_reclaim(self) -> None:
        state = self.scheduler.state
        for job in state.waiting.values():
            if job.spec.id in state.pending:
                continue
            for cell in state.cells.of_workspace(job.spec.workspace):
                usable = cell.place is not None and not cell.is_bound
                assert not (usable and cell.shape == job.spec.shape), job

    @invariant()
    def nothing_is_blocked_for_nobody(self) -> None:
        state = self.scheduler.state
        if not state.pending:
            assert all(not any(u.reserved) for u in state.pool.upstreams.values())


TestSchedulerMachine = SchedulerMachine.TestCase
