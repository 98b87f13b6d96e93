"""Tests of the job table against records that another writer has left."""

from __future__ import annotations

import msgspec
import pytest

from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.state.job_table import (
    JOB_PREFIX,
    OPEN,
    STEP_PREFIX,
    VACATED_KEY,
    JobTable,
    StepKey,
    StepState,
    TaskState,
    Term,
)

JOB_ID = "00000000000000a1"
OTHER_ID = "00000000000000a2"
UPSTREAM = "vm-1|10.0.0.1:80|100|i-1"
HUGE = b"9" * 400
DEEP = b"[" * 100_000 + b"]" * 100_000


def make_job(job_id: str = JOB_ID) -> Job:
    return Job(job_id, "q", "g", "w", 1, 2, 3.0, 1000, 0, "x", (Step(count=2),))


def job_fields(**fields: object) -> bytes:
    return msgspec.json.encode({**msgspec.to_builtins(make_job(OTHER_ID)), **fields})


def filled_table() -> JobTable:
    """Return a table with a term, and a job with an open run."""
    table = JobTable()
    term = Term(3, "entry-1", "tcp://127.0.0.1:1", "1")
    state = StepState((TaskState(OPEN, 1, UPSTREAM), TaskState()))
    table.apply(0, "planner", msgspec.json.encode(term))
    table.apply(1, f"job/{JOB_ID}", msgspec.json.encode(make_job()))
    table.apply(2, f"step/{JOB_ID}.0.0", msgspec.json.encode(state))
    return table


STEP = f"step/{JOB_ID}.0.0"
OPEN_RUNS = b'[[[1,1,"' + UPSTREAM.encode() + b'"],[]]]'
ODD_RECORDS = [
    ("planner", b'{"term":' + HUGE + b',"planner":"x","link_url":"","incarnation":""}'),
    ("planner", b'{"x":' + DEEP + b"}"),
    ("vacated", b"1000000"),
    ("vacated", HUGE),
    ("vacated", b"1e400"),
    ("sizes", b'{"largest":{"g":[[' + HUGE + b",1,1]]}}"),
    (f"job/{OTHER_ID}", DEEP),
    (f"job/{OTHER_ID}", b'{"x":' + DEEP + b"}"),
    (f"job/{OTHER_ID}", job_fields(id="00000000000000a3")),
    (f"job/{OTHER_ID}", job_fields(steps=[])),
    (f"job/{OTHER_ID}", job_fields(steps=[{"count": 10**9}])),
    (f"job/{OTHER_ID}", job_fields(steps=[{"after": [0]}])),
    (f"job/{OTHER_ID}", job_fields(steps=[{"estimate_ms": 10**400}])),
    (f"job/{OTHER_ID}", job_fields(times=10**9)),
    (f"job/{OTHER_ID}", job_fields(max_attempts=10**400)),
    (f"job/{OTHER_ID}", job_fields(stretch=10**400)),
    ("job/a.b", job_fields(id="a.b")),
    (STEP, b"[[]]"),
    (STEP, b"[[[],[],[]]]"),
    (STEP, b'[[[1,1,"x"],[]]]'),
    (STEP, b'[[[1,1,""],[]]]'),
    (STEP, b'[[[7,1,"a|b|1|c"],[]]]'),
    (STEP, b"[[[1," + HUGE + b',"a|b|1|c"],[]]]'),
    (STEP, b"[[[],[]]," + DEEP + b"]"),
    (f"step/{JOB_ID}.0.1", OPEN_RUNS),
    (f"step/{JOB_ID}.1.0", OPEN_RUNS),
    (f"step/{JOB_ID}.-1.0", OPEN_RUNS),
    (f"step/{JOB_ID}.0.00", b"[[[],[]]]"),
    (f"step/{JOB_ID}.0", OPEN_RUNS),
    (f"step/{JOB_ID}.0." + "9" * 5000, OPEN_RUNS),
    (f"cancel/{JOB_ID}.1", b"{}"),
    ("\ufffd\ufffd", b"\xff"),
    ("", b""),
]


@pytest.mark.parametrize(("key", "value"), ODD_RECORDS, ids=range(len(ODD_RECORDS)))
def test_record_that_cannot_be_read_changes_nothing(key, value):
    """It ended the reading of the store, or a planner's rounds once it was applied."""
    table = filled_table()
    assert table.apply(3, key, value)
    assert table.term is not None
    assert table.term.term == 3
    assert not table.is_term_vacant
    assert not table.known_capacities.largest
    assert list(table.jobs) == [JOB_ID]
    assert list(table.active) == [JOB_ID]
    job_state = table.jobs[JOB_ID]
    assert not job_state.cancelled
    assert list(job_state.steps) == [(0, 0)]
    assert {key: list(runs) for key, runs in table.open_runs.items() if runs} == {
        UPSTREAM: [f"{JOB_ID}.0.0.0"]
    }


def test_record_that_cannot_be_read_leaves_the_others_of_a_job_read_late():
    table = JobTable()
    table.apply(0, f"step/{JOB_ID}.0.9", OPEN_RUNS)
    table.apply(1, STEP, OPEN_RUNS)
    table.apply(2, f"job/{JOB_ID}", msgspec.json.encode(make_job()))
    assert list(table.jobs[JOB_ID].steps) == [(0, 0)]


def test_term_that_was_handed_over_is_vacant():
    table = filled_table()
    table.apply(3, VACATED_KEY, b"3")
    assert table.is_term_vacant


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
