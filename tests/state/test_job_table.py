from __future__ import annotations

import msgspec
import pytest

from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.state.job_table import (
    JOB_PREFIX,
    STEP_PREFIX,
    JobTable,
    StepKey,
    StepState,
    TaskState,
)

JOB_ID = "00000000000000a1"


@pytest.fixture
def job_table() -> JobTable:
    """Return a table with a job of two steps, of which the first was started."""
    step = Step(count=2, need=ResourceAmounts(1, 1000, 1000))
    job = Job(JOB_ID, "q", "g", "w", 0, 2, 3.0, 0, 0, "", (step, step))
    table = JobTable()
    table.apply(0, JOB_PREFIX + JOB_ID, msgspec.json.encode(job))
    state = StepState((TaskState(run=1), TaskState(run=2)))
    table.apply(1, f"{STEP_PREFIX}{JOB_ID}.0.0", msgspec.json.encode(state))
    return table


def test_started_task_is_found_by_its_name(job_table):
    assert job_table.find_task(f"{JOB_ID}.0.0.1") == (StepKey(JOB_ID, 0, 0), 1)


@pytest.mark.parametrize(
    "name",
    [
        f"{JOB_ID}.0.1.0",
        f"{JOB_ID}.0.2.0",
        f"{JOB_ID}.1.0.0",
        f"{JOB_ID}.0.0.2",
        f"{JOB_ID}.0.0.-1",
        f"{JOB_ID}.0.0",
        f"{JOB_ID}.0.0.x",
        "00000000000000a2.0.0.0",
        "",
    ],
)
def test_no_task_is_found_when_none_of_the_name_was_started(job_table, name):
    assert job_table.find_task(name) is None
