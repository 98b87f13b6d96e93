"""Tests of jobs that clients send with values that nothing can be done with."""

from __future__ import annotations

import json

import pytest

from hyssoprill.errors import InvalidRequestError
from hyssoprill.state.operator_config import Queue

QUEUE = Queue("q", "host", "/q/", "g", 1, 2, 3.0, 1000, public=False)
JOB_ID = "00000000000000a1"
HUGE = 10**400
ODD_STEPS = [
    {"estimate_ms": HUGE},
    {"estimate_ms": 2**53},
    {"estimate_ms": -1},
    {"estimate_ms": 1.5},
    {"cpu": HUGE},
    {"mem_mb": HUGE},
    {"gpu": 2**64},
    {"count": HUGE},
    {"count": 1001},
    {"after": [HUGE]},
    {"after": [0]},
    {"anti_affinity": HUGE},
    {"target_ms": HUGE},
    {"may_miss": HUGE},
    {"requires": "a" * 100_000},
    {"affinity": ["r1"]},
    {"gang": 1},
]
ODD_JOBS = [
    {"times": HUGE},
    {"times": 10**9},
    {"times": -1},
    {"start_at_ms": HUGE},
    {"interval_ms": HUGE},
    {"steps": []},
    {"steps": [{}] * 1001},
    {"spec": None},
    {"spec": "x" * 4001},
]
ODD_BODIES = [
    *(json.dumps({"spec": "", "steps": [one]}).encode() for one in ODD_STEPS),
    *(json.dumps({"spec": "", "steps": [{}], **one}).encode() for one in ODD_JOBS),
    b'{"spec":"","steps":' + b"[" * 100_000,
    b'{"spec":"","steps":[{"x":' + b"[" * 50_000 + b"]" * 50_000 + b"}]}",
    b'{"spec":"","steps":[{"estimate_ms":1e400}]}',
    b'{"spec":"\\ud800","steps":[{}]}',
    b'{"spec":"\xff","steps":[{}]}',
]


def parse(raw: bytes):
    from adapter.jobs import parse_job

    return parse_job(raw, JOB_ID, QUEUE, "w")


@pytest.mark.parametrize("raw", ODD_BODIES, ids=range(len(ODD_BODIES)))
def test_job_with_a_value_out_of_range_is_refused(raw):
    """The job was stored, and ended the rounds of each planner that read it."""
    with pytest.raises(InvalidRequestError):
        parse(raw)


def test_job_with_the_largest_values_is_taken():
    step = {"count": 1000, "estimate_ms": 2**53 - 1, "after": [], "cpu": 2**53 - 1}
    body = {"spec": "x" * 4000, "steps": [step, {"after": [0]}], "times": 10_000}
    assert parse(json.dumps(body).encode()).occurrences == 10_000
