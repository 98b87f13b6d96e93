"""Learns the speeds of upstreams from the progress of the runs there."""

from __future__ import annotations

from collections import Counter, defaultdict
from dataclasses import dataclass, field
from math import exp, log
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...logs import decision
from ..policy.dispatch.speed_model import PaceObservation, estimate_speeds
from .policy_inputs import rack_of
from .set_aside import set_aside

if TYPE_CHECKING:
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobState, JobTable, OpenRun
    from .fleet import Fleet, VmState
    from .run_times import RunTimes
    from .runs import RunKey

LEARN_INTERVAL_S = 0.5
"""Interval of learning from the reports; a tenth of the run time of short tasks."""
MIN_PACE_S = 0.7
MIN_PACE_PERCENT = 5
"""A pace is taken over at least this time and progress.

Reports tell progress in whole percents, up to a second late."""
MIN_HANG_S = 1.5
HANG_FACTOR = 3.0
"""A run that advances this many times later than its pace tells has hung.

Its pace is taken anew from there, as it says nothing of the upstream's speed."""
PACE_WINDOW_S = 5.0
"""A pace is taken over the last progress of a run, up to twice this time."""
MAX_RUNS = 16
"""Observations kept for each upstream, the newest before others."""
DONE_PERCENT = 100
SLOW_SPEED = 0.75
"""Relative speed below which an upstream is logged as slow."""
MAX_LOGGED = 8
"""Changes of class logged in one interval."""


@dataclass(slots=True)
class _Mark:
    """Progress of a run at some time, on the clock of its agent."""

    clock_s: float
    percent: int


@dataclass(slots=True)
class _RunPace:
    """Progress of one run, from `first` over `middle` to its `newest` advance."""

    first: _Mark
    middle: _Mark
    newest: _Mark
    observation: PaceObservation | None = None


@dataclass(slots=True)
class ProgressSpeeds:
    """Relative speeds of upstream incarnations, in the memory of the planner.

    Attributes
    ----------
    counts : Counter
        Upstreams by class, `slow` and `usual`, at the newest estimate.
    """

    job_table: JobTable
    fleet: Fleet
    run_times: RunTimes
    counts: Counter[str] = field(default_factory=Counter)
    _paces: dict[str, dict[RunKey, _RunPace]] = field(
        default_factory=lambda: defaultdict(dict)
    )
    _report_numbers: dict[str, int] = field(default_factory=dict)
    _speeds: dict[str, float] = field(default_factory=dict)
    _slow: set[str] = field(default_factory=set)
    _learned_s: float = float("-inf")

    def relative_speed(self, upstream: str) -> float:
        """Return an upstream's speed relative to the mean of all; 1.0 if unknown."""
        return self._speeds.get(upstream, 1.0)

    def run_speed(self, run: OpenRun, upstream: str) -> float:
        """Return the speed of a run there; a gang's is that of its slowest member."""
        job_state = self.job_table.jobs[run.step.job_id]
        if not job_state.job.steps[run.step.step].gang:
            return self.relative_speed(upstream)
        tasks = job_state.step_state(run.step.occurrence, run.step.step).tasks
        return min(self.relative_speed(one.upstream) for one in tasks)

    def clear(self) -> None:
        """Forget what was learned, at the start of a term; reports tell it again."""
        self._paces.clear()
        self._report_numbers.clear()
        self._speeds.clear()
        self._slow.clear()
        self._learned_s = float("-inf")

    def learn(self) -> None:
        """Learn from reports that are new, at an interval."""
        now_s = boottime_s()
        if now_s - self._learned_s < LEARN_INTERVAL_S:
            return
        self._learned_s = now_s
        vms = [
            (name, vm)
            for name, vm in self.fleet.vms.items()
            if self._report_numbers.get(name) != vm.report_number
        ]
        set_aside("vm", vms, self._observe_vm)
        self._report_numbers.update((name, vm.report_number) for name, vm in vms)
        self._retain({one.key for one in self.fleet.reports()})
        observations = [
            pace.observation
            for paces in self._paces.values()
            for pace in paces.values()
            if pace.observation is not None
        ]
        self._speeds = estimate_speeds(observations, self._speeds, now_s)
        self._log_classes()

    def record_end(self, upstream: str, task: str, run: OpenRun, ran_s: float) -> None:
        """Record that a run was done, `ran_s` after its start; 0 if that says little.

        A run of which no progress is known counts by that time.
        """
        pace = self._paces[upstream].get((task, run.run))
        vm = self.fleet.vms.get(upstream.partition("|")[0])
        if pace is not None and pace.observation is not None and vm is not None:
            self._observe(upstream, task, run, vm.report_clock_s, DONE_PERCENT)
        elif ran_s:
            mark = _Mark(0.0, 0)
            observation = self._observation(upstream, run, log(ran_s), 1.0)
            self._paces[upstream][task, run.run] = _RunPace(
                mark, mark, mark, observation
            )

    def _observe_vm(self, vm: VmState) -> None:
        for report in vm.upstreams.values():
            open_runs = self.job_table.open_runs.get(report.key, {})
            for row in report.running:
                run = open_runs.get(row.task)
                if run is None or run.run != row.run:
                    continue
                if self._tells_speed(report, run):
                    clock_s = vm.report_clock_s
                    self._observe(report.key, row.task, run, clock_s, row.percent)

    def _tells_speed(self, report: UpstreamReport, run: OpenRun) -> bool:
        """Return whether the pace of a run is not that of its placement."""
        job_state = self.job_table.jobs[run.step.job_id]
        step = job_state.job.steps[run.step.step]
        if step.long_running or (step.data_rack and rack_of(report) != step.data_rack):
            return False
        if not (step.gang and step.rack_sensitive):
            return True
        tasks = job_state.step_state(run.step.occurrence, run.step.step).tasks
        members = [self.fleet.find(one.upstream) for one in tasks]
        return all(one is None or rack_of(one) == rack_of(report) for one in members)

    def _observe(
        self, upstream: str, task: str, run: OpenRun, clock_s: float, percent: int
    ) -> None:
        """Record the progress of a run at a time."""
        pace = self._paces[upstream].get((task, run.run))
        if pace is None or percent < pace.first.percent or not pace.first.percent:
            mark = _Mark(clock_s, percent)
            self._paces[upstream][task, run.run] = _RunPace(mark, mark, mark)
            return
        if percent == pace.newest.percent:
            return
        mark = _Mark(clock_s, percent)
        if _has_hung(pace, mark):
            pace.first = pace.middle = mark
        pace.newest = mark
        if clock_s - pace.middle.clock_s >= PACE_WINDOW_S:
            pace.first, pace.middle = pace.middle, mark
        span_s = clock_s - pace.first.clock_s
        progress = percent - pace.first.percent
        if span_s < MIN_PACE_S or progress < MIN_PACE_PERCENT:
            return
        log_work_s = log(span_s * DONE_PERCENT / progress)
        share = min(progress / DONE_PERCENT, 1.0)
        pace.observation = self._observation(upstream, run, log_work_s, share)

    def _observation(
        self, upstream: str, run: OpenRun, log_work_s: float, weight: float
    ) -> PaceObservation:
        job_state = self.job_table.jobs[run.step.job_id]
        is_gang = job_state.job.steps[run.step.step].gang
        return PaceObservation(
            upstream,
            (*run.step, run.run) if is_gang else tuple(run.step),
            self._expected_log_s(job_state, run.step.step),
            log_work_s,
            weight,
            boottime_s(),
            is_gang,
        )

    def _expected_log_s(self, job_state: JobState, number: int) -> float:
        job = job_state.job
        estimate_s = job.steps[number].estimate_ms / 1000
        return log(max(self.run_times.model.expected_s(job.queue, estimate_s), 0.001))

    def _retain(self, upstreams: set[str]) -> None:
        """Drop all upstreams but the given ones, and the oldest runs of each."""
        for key in self._paces.keys() - upstreams:
            del self._paces[key]
        for paces in self._paces.values():
            for run in list(paces)[: max(len(paces) - MAX_RUNS, 0)]:
                del paces[run]

    def _log_classes(self) -> None:
        """Log the upstreams that are slow since the last estimate, or no longer."""
        slow = {key for key, speed in self._speeds.items() if speed < SLOW_SPEED}
        for key in sorted(slow ^ self._slow)[:MAX_LOGGED]:
            decision(
                "upstream_speed",
                upstream=key,
                speed=round(self.relative_speed(key), 2),
                slow=key in slow,
            )
        self._slow = slow
        self.counts = Counter(slow=len(slow), usual=len(self._speeds) - len(slow))


def _has_hung(pace: _RunPace, mark: _Mark) -> bool:
    """Return whether a run has stood still for a while before it reached a mark."""
    if pace.observation is None:
        return False
    progress = mark.percent - pace.newest.percent + 1
    usual_s = exp(pace.observation.log_s) * progress / DONE_PERCENT
    gap_s = mark.clock_s - pace.newest.clock_s
    return gap_s > max(MIN_HANG_S, HANG_FACTOR * usual_s)


__all__ = ["ProgressSpeeds"]
