"""Runs a scheduler on a trace, with fake workers on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import time
from dataclasses import dataclass, field
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any

from hyssoprill.coordination.policy.decisions import Decision, Refuse, Revoke, Start
from hyssoprill.protocol.bundle import Bundle, Guarantee, Limits, ZonePolicy
from hyssoprill.protocol.request import JobSpec
from hyssoprill.protocol.shape import Resources, Shape

from .measures import Measures

if TYPE_CHECKING:
    from .trace import Event, Trace

CHECKPOINT_S = 2.0
CHECKPOINT_INTERVAL_S = 600.0
RESTART_S = 5.0
FAILURE_S = 2.0
MAX_FAILURES = 3
CALLER_RETRY_S = 30.0
TICK_S = 1.0
MAX_DRAIN_S = 40_000.0
CORES = 64
MEMORY_GB = 256


@dataclass
class SimJob:
    """A job of the trace and what became of it."""

    spec: JobSpec
    actual_s: float
    submitted_s: float
    progress_s: float = 0.0
    checkpoint_s: float = 0.0
    first_start_s: float | None = None
    started_s: float | None = None
    ended_s: float | None = None
    state: str = "waiting"
    run: int = 0
    place: tuple[tuple[str, int], ...] = ()
    failures: int = 0
    excluded: set[str] = field(default_factory=set)
    within_guarantee: bool = False
    size: int = 1


class Simulation:
    """Feeds a trace to a scheduler and carries out its decisions.

    Parameters
    ----------
    scheduler : Scheduler or NaiveScheduler
        Takes events and decides.
    trace : Trace
        Topology, guarantees and events.
    """

    def __init__(self, scheduler: Any, trace: Trace, limits: Limits) -> None:
        self._scheduler = scheduler
        self._limits = limits
        self._counter = itertools.count()
        self._heap: list[tuple[float, int, Any, tuple[Any, ...]]] = []
        self._bad: set[str] = set()
        self._down: set[str] = set()
        self._out: set[str] = set()
        self._version = 0
        self._next_tick_s = 0.0
        self.jobs: dict[str, SimJob] = {}
        self.open_jobs: dict[str, SimJob] = {}
        self.topology = {one["upstream"]: one for one in trace.topology}
        self.guarantees = [
            Guarantee(
                one["workspace"],
                Shape(one["members"], one["accelerators"], one["adjacent"]),
                one.get("count", 1),
            )
            for one in trace.guarantees
        ]
        self.now_s = 0.0
        self.decision_us: list[float] = []
        self.measures = Measures(self)
        for name in self.topology:
            self._upstream_up(name)
        self._roll()
        for event in trace.events:
            self._at(event["at_s"], self._trace_event, event)
        last_s = max(event["at_s"] for event in trace.events)
        self._end_s = last_s + MAX_DRAIN_S

    def run(self) -> dict[str, float]:
        """Run the trace to its end and return the measures."""
        while self._heap:
            at_s, _, action, args = heapq.heappop(self._heap)
            self.measures.advance(at_s)
            self.now_s = at_s
            action(*args)
            while self._heap and self._heap[0][0] <= at_s:
                _, _, action, args = heapq.heappop(self._heap)
                action(*args)
            self._step()
        return self.measures.result()

    @property
    def open_accelerators(self) -> int:
        """Accelerators of upstreams that are up, in zones that are in."""
        return sum(
            one["accelerators"]
            for name, one in self.topology.items()
            if self.is_open(name)
        )

    def is_open(self, name: str) -> bool:
        """Tell whether an upstream can do work: it is up, sound, and its zone in."""
        zone = self.topology[name]["availability_zone"]
        is_sound = name not in self._down and name not in self._bad
        return is_sound and zone not in self._out

    @property
    def is_zone_out(self) -> bool:
        """Whether a zone is out of service."""
        return bool(self._out)

    def _at(self, at_s: float, action: Any, *args: Any) -> None:
        heapq.heappush(self._heap, (at_s, next(self._counter), action, args))

    def _step(self) -> None:
        began = time.perf_counter()
        decisions = self._scheduler.step(self.now_s)
        self.decision_us.append((time.perf_counter() - began) * 1e6)
        for decision in decisions:
            self._carry_out(decision)
        waits = any(job.state == "waiting" for job in self.open_jobs.values())
        waits = waits and self.now_s < self._end_s
        if waits and self._next_tick_s <= self.now_s:
            self._next_tick_s = self.now_s + TICK_S
            self._at(self._next_tick_s, lambda: None)

    # Events of the trace

    def _trace_event(self, event: Event) -> None:
        getattr(self, f"_{event['event']}")(event)

    def _submit(self, event: Event) -> None:
        shape = Shape(event["members"], event["accelerators"], event["adjacent"])
        spec = JobSpec(
            event["id"],
            event["workspace"],
            shape,
            idempotent=event["idempotent"],
            urgent=event["urgent"],
            declared_s=max(event["declared_s"], 0.001),
        )
        job = SimJob(spec, event["actual_s"], self.now_s)
        job.size = shape.total_accelerators
        job.within_guarantee = self._is_within_guarantee(spec)
        self.jobs[spec.id] = self.open_jobs[spec.id] = job
        self._scheduler.submit(spec, self.now_s)

    def _cancel(self, event: Event) -> None:
        job = self.jobs.get(event["id"])
        if job is None or job.spec.id not in self.open_jobs:
            return
        if job.state == "running":
            self._stop_run(job)
            self._scheduler.job_ended(job.spec.id)
        self._scheduler.withdraw(job.spec.id)
        self._end(job, "cancelled")

    def _availability_zone_out(self, event: Event) -> None:
        self._out.add(event["availability_zone"])
        self._roll()

    def _availability_zone_in(self, event: Event) -> None:
        self._out.discard(event["availability_zone"])
        self._roll()

    def _upstream_down(self, event: Event) -> None:
        name = event["upstream"]
        if name in self._down:
            return
        self._down.add(name)
        for job in list(self.open_jobs.values()):
            if job.state == "running" and name in dict(job.place):
                self._lose(job)
        self._scheduler.upstream_down(name)

    def _upstream_bad(self, event: Event) -> None:
        self._bad.add(event["upstream"])

    def _upstream_up(self, event: Event | str) -> None:
        name = event if isinstance(event, str) else event["upstream"]
        self._down.discard(name)
        one = self.topology[name]
        self._scheduler.upstream_up(
            name,
            one["availability_zone"],
            one["rack"],
            Resources(one["slots"], one["accelerators"], CORES, MEMORY_GB),
        )

    def _roll(self) -> None:
        self._version += 1
        zones = [ZonePolicy(zone, "out", grace_s=10.0) for zone in sorted(self._out)]
        bundle = Bundle(
            self._version,
            self._version - 1,
            guarantees=self.guarantees,
            availability_zones=zones,
            limits=self._limits,
        )
        self._scheduler.apply_bundle(bundle, self.now_s)

    def _is_within_guarantee(self, spec: JobSpec) -> bool:
        """Tell whether a shape of a workspace's guarantee is unused for a job."""
        count = sum(
            one.count
            for one in self.guarantees
            if one.workspace == spec.workspace and one.shape == spec.shape
        )
        used = sum(
            job.spec.shape == spec.shape or not job.spec.idempotent
            for job in self.open_jobs.values()
            if job.spec.workspace == spec.workspace
            and job.state in ("waiting", "running")
        )
        return used < count

    # Decisions

    @singledispatchmethod
    def _carry_out(self, decision: Decision) -> None:
        raise TypeError(f"unknown decision {decision!r}")

    @_carry_out.register
    def _(self, decision: Start) -> None:
        job = self.jobs[decision.job_id]
        job.state, job.started_s, job.place = "running", self.now_s, decision.place
        job.run += 1
        if job.first_start_s is None:
            job.first_start_s = self.now_s
        self.measures.started(job)
        if any(name in self._bad for name, _ in decision.place):
            self._at(self.now_s + FAILURE_S, self._fail, job, job.run)
            return
        restart_s = RESTART_S if job.run > 1 else 0.0
        left_s = job.actual_s - job.progress_s + restart_s
        self._at(self.now_s + left_s, self._finish, job, job.run)
        self._at(
            self.now_s + CHECKPOINT_INTERVAL_S, self._periodic_checkpoint, job, job.run
        )

    @_carry_out.register
    def _(self, decision: Revoke) -> None:
        job = self.jobs[decision.job_id]
        keeps = decision.grace_s >= CHECKPOINT_S
        stop_s = self.now_s + min(decision.grace_s, CHECKPOINT_S)
        self._at(stop_s, self._revoke, job, job.run, keeps)

    @_carry_out.register
    def _(self, decision: Refuse) -> None:
        self._end(self.jobs[decision.job_id], "refused")

    # Fake workers

    def _done_s(self, job: SimJob) -> float:
        restart_s = RESTART_S if job.run > 1 else 0.0
        ran_s = max(self.now_s - job.started_s - restart_s, 0.0)
        return min(job.progress_s + ran_s, job.actual_s)

    def _periodic_checkpoint(self, job: SimJob, run: int) -> None:
        if job.state == "running" and job.run == run:
            job.checkpoint_s = self._done_s(job)
            self._scheduler.job_checkpointed(job.spec.id, self.now_s)
            self._at(
                self.now_s + CHECKPOINT_INTERVAL_S, self._periodic_checkpoint, job, run
            )

    def _finish(self, job: SimJob, run: int) -> None:
        if job.state != "running" or job.run != run:
            return
        self._stop_run(job)
        job.ended_s = self.now_s
        self._end(job, "done")
        self._scheduler.job_ended(job.spec.id)
        for name, _ in job.place:
            self._scheduler.record_success(name, job.spec, job.actual_s)

    def _fail(self, job: SimJob, run: int) -> None:
        if job.state != "running" or job.run != run:
            return
        bad = [name for name, _ in job.place if name in self._bad]
        self._lose(job)
        for name in bad:
            self._scheduler.record_failure(name, job.spec, FAILURE_S, self.now_s)

    def _revoke(self, job: SimJob, run: int, keeps: bool) -> None:
        if job.state != "running" or job.run != run:
            return
        if keeps:
            job.checkpoint_s = self._done_s(job)
        self._interrupt(job)
        self._resubmit(job)

    def _lose(self, job: SimJob) -> None:
        """End a run by a failure of its upstream."""
        self._interrupt(job)
        if any(name in self._bad for name, _ in job.place):
            job.failures += 1
            job.excluded.update(n for n, _ in job.place if n in self._bad)
        if not job.spec.idempotent:
            self._end(job, "failed")
        elif job.failures % MAX_FAILURES or not job.failures:
            self._resubmit(job)
        else:
            job.state = "with_caller"
            job.excluded.clear()
            self._at(self.now_s + CALLER_RETRY_S, self._send_again, job)

    def _send_again(self, job: SimJob) -> None:
        """Let the caller of a failed job send it again."""
        if job.state == "with_caller":
            self._resubmit(job)

    def _interrupt(self, job: SimJob) -> None:
        done_s = self._done_s(job)
        self._stop_run(job)
        self.measures.lost((done_s - job.checkpoint_s) * job.size)
        job.progress_s = job.checkpoint_s
        self._scheduler.job_ended(job.spec.id)

    def _resubmit(self, job: SimJob) -> None:
        job.state = "waiting"
        self._scheduler.submit(
            job.spec, job.submitted_s, excluded=frozenset(job.excluded)
        )

    def _end(self, job: SimJob, state: str) -> None:
        job.state = state
        self.open_jobs.pop(job.spec.id, None)

    def _stop_run(self, job: SimJob) -> None:
        self.measures.stopped(job)


__all__ = ["SimJob", "Simulation"]
