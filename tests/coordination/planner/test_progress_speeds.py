"""Tests of speeds that are learned from the reports of agents."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.planner.changes import StepChanges
from hyssoprill.coordination.planner.fleet import Fleet
from hyssoprill.coordination.planner.progress_speeds import ProgressSpeeds
from hyssoprill.coordination.planner.run_times import RunTimes
from hyssoprill.ports.store import DEFAULT_RECORD_BYTES
from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport, UpstreamReport, VmReport
from hyssoprill.state.job_table import OPEN, JobTable, StepKey, StepState, TaskState

if TYPE_CHECKING:
    from collections.abc import Iterator

JOB = f"{1:016x}"
TICK_S = 0.25
STEP = Step(count=6, need=ResourceAmounts(1, 1, 1), estimate_ms=20_000)


class Runs:
    """Six tasks of 10 s on six upstreams, and the speeds that a planner learns."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.rates = [1.0] * 6
        self.done_s = [0.0] * 6
        self.job_table = JobTable()
        self.fleet = Fleet()
        self.keys = [f"vm{i}|a:1|100|i" for i in range(6)]
        self._offset = 0
        job = Job(JOB, "q", "g", "w", 1, 3, 3.0, 0, 0, "", (STEP,))
        self.apply(f"job/{JOB}", msgspec.json.encode(job))
        self.start_tasks()
        self.speeds = ProgressSpeeds(
            self.job_table, self.fleet, RunTimes(self.job_table, self.fleet)
        )

    def apply(self, key: str, value: bytes) -> None:
        self._offset += 1
        self.job_table.apply(self._offset, key, value)

    def start_tasks(self) -> None:
        """Store an open run of each task on its upstream."""
        tasks = [TaskState(OPEN, 1, key, started_ms=100_000) for key in self.keys]
        state = StepState(tuple(tasks))
        self.apply(f"step/{JOB}.0.0", msgspec.json.encode(state))

    def work(self, duration_s: float) -> None:
        """Let the tasks work and the agents report."""
        for _ in range(round(duration_s / TICK_S)):
            self.now_s += TICK_S
            for i, rate in enumerate(self.rates):
                self.done_s[i] += rate * TICK_S
            self.report()
            self.speeds.learn()

    def report(self) -> None:
        for i, key in enumerate(self.keys):
            percent = min(round(self.done_s[i] * 10), 99)
            rows = [RunReport(f"{JOB}.0.0.{i}", 1, "", percent)]
            one = UpstreamReport(
                key, "g", "z", True, ResourceAmounts(8, 8, 8), ["a", "r"], rows
            )
            number = round(self.now_s / TICK_S)
            self.fleet.apply_report(VmReport(f"vm{i}", self.now_s, number, [one], []))

    def speed(self, number: int) -> float:
        return self.speeds.relative_speed(self.keys[number])


@pytest.fixture
def runs() -> Iterator[Runs]:
    clock = [lambda: 100.0]
    with simulated_time(lambda: clock[0]()):
        found = Runs()
        clock[0] = lambda: found.now_s
        yield found


def test_slow_upstream_is_known_when_its_run_has_worked_for_some_seconds(runs):
    runs.rates[0] = 0.45
    runs.work(6.0)
    assert runs.speed(0) < 0.85 < 0.95 < runs.speed(1)


def test_speeds_are_average_when_nothing_is_known(runs):
    assert runs.speed(0) == 1.0


def test_upstream_is_not_slow_when_its_task_has_a_tail(runs):
    runs.rates[0] = 1 / 7
    runs.work(8.0)
    assert runs.speed(0) > 0.9


def test_upstream_is_not_slow_after_it_hung(runs):
    runs.work(2.5)
    runs.rates[0] = 0.0
    runs.work(5.0)
    runs.rates[0] = 1.0
    runs.work(2.0)
    assert runs.speed(0) > 0.85


def test_new_incarnation_has_the_prior_when_the_old_one_was_slow(runs):
    runs.rates[0] = 0.45
    runs.work(6.0)
    old = runs.keys[0]
    runs.keys[0] = old.replace("|100|", "|200|")
    runs.work(1.0)
    assert runs.speed(0) == 1.0
    assert runs.speeds.relative_speed(old) == 1.0


def test_new_planner_learns_speeds_again_when_runs_are_reported(runs):
    runs.rates[0] = 0.45
    runs.work(2.0)
    runs.fleet.reset()
    runs.speeds.clear()
    assert runs.speed(0) == 1.0
    runs.work(6.0)
    assert runs.speed(0) < 0.85 < runs.speed(1)


def test_new_planner_counts_no_upstream_when_it_knows_done_tasks_only(runs):
    changes = StepChanges(runs.job_table)
    for index in range(6):
        key = StepKey(JOB, 0, 0)
        changes.end_run(key, index, "done", "", max_attempts=3, ran_ms=10_000)
    for record in changes.records(DEFAULT_RECORD_BYTES):
        runs.apply(record.key, record.value)
    runs.fleet.reset()
    runs.speeds.clear()
    runs.speeds.learn()
    assert not runs.speeds.counts.total()


def test_change_of_class_is_logged_once(runs, monkeypatch):
    lines = []
    monkeypatch.setattr(
        "hyssoprill.coordination.planner.progress_speeds.decision",
        lambda event, **fields: lines.append((event, fields["upstream"])),
    )
    runs.rates[0] = 0.3
    runs.work(8.0)
    assert lines == [("upstream_speed", runs.keys[0])]
    assert runs.speeds.counts["slow"] == 1
