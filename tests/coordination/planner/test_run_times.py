"""Tests of expected run times and of the slack that follows from them."""

from __future__ import annotations

import msgspec
import pytest

from hyssoprill.clock import unix_ms
from hyssoprill.coordination.planner.failures import FailureTracker
from hyssoprill.coordination.planner.fleet import Fleet
from hyssoprill.coordination.planner.policy_inputs import PolicyInputs
from hyssoprill.coordination.planner.run_times import RunTimes
from hyssoprill.coordination.planner.runs import StopRequests
from hyssoprill.coordination.planner.speeds import SpeedEstimates
from hyssoprill.coordination.planner.upstream_runs import UpstreamRunsCache
from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import UpstreamReport, VmReport
from hyssoprill.state.job_table import DONE, JobTable, StepState, TaskState
from hyssoprill.state.operator_config import OperatorConfig

WHOLE = ResourceAmounts(8, 64_000, 262_144)


class Records:
    """A job table, filled record by record."""

    def __init__(self) -> None:
        self.job_table = JobTable()
        self.fleet = Fleet()
        self._offset = 0

    def apply(self, key: str, value: object) -> None:
        self._offset += 1
        self.job_table.apply(self._offset, key, msgspec.json.encode(value))

    def add_job(self, number: int, estimate_ms: int, *ran_ms: int, count: int = 1):
        """Add a job of urgent tasks, those with run times done."""
        name = f"{number:016x}"
        step = Step(count=count, need=WHOLE, estimate_ms=estimate_ms)
        job = Job(name, "q", "g", "w", 0, 4, 1.5, 250, unix_ms(), "", (step,))
        self.apply(f"job/{name}", job)
        if ran_ms:
            done = [TaskState(DONE, 1, ran_ms=ran) for ran in ran_ms]
            waiting = [TaskState()] * (count - len(ran_ms))
            self.apply(f"step/{name}.0.0", StepState((*done, *waiting)))
        return job, step

    def run_times(self) -> RunTimes:
        run_times = RunTimes(self.job_table, self.fleet)
        run_times.rebuild()
        return run_times

    def slack_s(self, job: Job) -> float:
        """Return the slack of a waiting job, as the policy is told."""
        stopping = StopRequests()
        inputs = PolicyInputs(
            self.job_table,
            self.fleet,
            OperatorConfig(),
            stopping,
            FailureTracker(),
            SpeedEstimates(),
            self.run_times(),
            {},
            UpstreamRunsCache(self.job_table, stopping),
        )
        waiting = inputs.waiting_steps(unix_ms())
        (step,) = [one for one in waiting if one.job.id == job.id]
        return step.slack_s


@pytest.fixture
def records() -> Records:
    return Records()


def test_new_planner_learns_run_times_from_the_job_table(records):
    for number, estimate_ms in enumerate((900, 2000, 3000, 12_000, 30_000, 1200)):
        records.add_job(number, estimate_ms, 5000)
    job, step = records.add_job(99, 1000)
    assert records.run_times().expected_s(job, step, None) > 2.5


def test_urgent_job_with_a_short_estimate_keeps_its_slack(records):
    short, _step = records.add_job(99, 1000)
    before_s = records.slack_s(short)
    for number in range(20):
        records.add_job(number, (500, 20_000)[number % 2], 5000)
    assert records.slack_s(short) > before_s + 0.5


def test_done_tasks_of_a_step_go_before_its_queue(records):
    for number in range(20):
        records.add_job(number, 1000, 1000)
    job, step = records.add_job(99, 1000, 7000, 9000, count=3)
    state = records.job_table.jobs[job.id].step_state(0, 0)
    assert records.run_times().expected_s(job, step, state) == 8.0


def test_wide_step_has_the_slack_of_its_waves(records):
    reports = [UpstreamReport(f"u{i}", "g", "z", True, WHOLE) for i in range(8)]
    records.fleet.apply_report(VmReport("vm-1", 1.0, 1, reports, []))
    narrow, _step = records.add_job(1, 4000, count=2)
    wide, _step = records.add_job(2, 4000, count=6)
    difference_s = records.slack_s(wide) - records.slack_s(narrow)
    assert difference_s == pytest.approx(1.5 * 4.0 * 2, abs=0.1)
