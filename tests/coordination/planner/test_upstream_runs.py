"""Tests that what is kept of an upstream's open runs follows their changes."""

from __future__ import annotations

import msgspec
import pytest

from hyssoprill.coordination.planner.runs import StopRequests
from hyssoprill.coordination.planner.upstream_runs import UpstreamRunsCache
from hyssoprill.protocol.job import ZERO_AMOUNTS, Job, ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport, UpstreamReport
from hyssoprill.state.job_table import DONE, OPEN, JobTable, StepState, TaskState

JOB, KEY = f"{1:016x}", "vm-1|10.0.0.1:80|100|i-1"
TASK = f"{JOB}.0.0.0"
WHOLE, NEED = ResourceAmounts(8, 64_000, 262_144), ResourceAmounts(1, 4000, 8000)
REPORT = UpstreamReport(KEY, "g", "z", True, WHOLE)


class OneRun:
    """A table with one job, the stop requests, and the cache on top of both."""

    def __init__(self) -> None:
        self.job_table, self.stopping = JobTable(), StopRequests()
        self.cache = UpstreamRunsCache(self.job_table, self.stopping)
        job = Job(JOB, "q", "g", "w", 1, 4, 3.0, 1000, 0, "", (Step(need=NEED),))
        self.job_table.apply(1, f"job/{JOB}", msgspec.json.encode(job))
        self.set_task(2, TaskState(OPEN, 1, KEY))

    def set_task(self, offset: int, task: TaskState) -> None:
        state = msgspec.json.encode(StepState((task,)))
        self.job_table.apply(offset, f"step/{JOB}.0.0", state)


@pytest.fixture
def one_run() -> OneRun:
    one = OneRun()
    assert one.cache.find(REPORT).free == WHOLE.minus(NEED)
    return one


def test_stop_request_releases_what_a_run_needs_until_it_is_dropped(one_run):
    one_run.stopping.add((TASK, 1), KEY, "test")
    assert one_run.cache.find(REPORT).releasing == NEED
    one_run.stopping.clear()
    assert one_run.cache.find(REPORT).releasing == ZERO_AMOUNTS


@pytest.mark.parametrize("end", [TaskState(DONE, 1), TaskState(OPEN, 2, "b|c|1|d")])
def test_run_that_has_ended_uses_nothing(one_run, end):
    one_run.set_task(3, end)
    assert one_run.cache.find(REPORT).free == WHOLE


def test_suspicion_is_known_while_the_run_stays_open(one_run):
    one_run.set_task(3, TaskState(OPEN, 1, KEY, crashed_vms=("vm-2",)))
    assert one_run.cache.find(REPORT).suspects == {JOB}


def test_run_is_listed_by_the_newest_report(one_run):
    listing = msgspec.structs.replace(REPORT, running=[RunReport(TASK, 1, "", 0)])
    assert one_run.cache.find(REPORT).starting_jobs == {JOB}
    assert not one_run.cache.find(listing).starting_jobs


def test_job_that_is_deleted_uses_nothing(one_run):
    one_run.job_table.apply(3, f"job/{JOB}", b"")
    assert one_run.cache.find(REPORT).free == WHOLE
