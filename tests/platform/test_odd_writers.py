"""Tests with real processes that read what another writer has left."""

from __future__ import annotations

import json
import signal
import time

import pytest
from standins.job_cluster import PREFIX, request
from tests.platform.test_job_path import all_starts, job_id, wait_state

CHECK_IN = {"service": "service-a", "address": "127.0.0.1:1", "state": "ready"}


def serve_a_job(jobs, number: int) -> None:
    """Submit a job at each entry and wait until both have ended."""
    for entry in ("entry-1", "entry-2"):
        assert jobs.submit(entry, job_id(number)) == 200
        wait_state(jobs, entry, job_id(number), "completed")
        number += 1


@pytest.mark.parametrize(
    ("upstream_id", "odd"),
    [
        ("i-odd", {"capacity": {"gpu": 10**400}}),
        ("i-odd", {"address": "a..b:8080"}),
        ("i-odd", {"remaining_ms": 2**64}),
        ("i%7Codd", {}),
    ],
)
def test_jobs_are_served_after_an_odd_check_in(jobs, upstream_id, odd):
    """The agent's reports, or the planner's rounds, ended with an exception."""
    body = json.dumps({**CHECK_IN, **odd}).encode()
    for port in jobs.controls.values():
        request(port, "PUT", f"/instances/{upstream_id}", body)
    serve_a_job(jobs, 1)
    assert len(all_starts(jobs)) == 2


@pytest.mark.parametrize(
    "odd",
    [
        {"steps": [{"estimate_ms": 10**400}]},
        {"steps": [{"gpu": 1, "may_miss": 10**400}], "times": 10**9},
    ],
)
def test_odd_job_is_refused_at_once_and_others_are_served(jobs, odd):
    """The planner's rounds ended with an OverflowError, or did not end at all."""
    raw = json.dumps({"spec": "", **odd}).encode()
    path = PREFIX + job_id(9)
    statuses = [jobs.call(entry, "POST", path, raw=raw)[0] for entry in jobs.fronts]
    serve_a_job(jobs, 1)
    assert statuses == [400, 400]
    assert jobs.state("entry-1", job_id(9)) == "410"


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (b"planner", b'{"x":' + b"[" * 100_000),
        (b"vacated", b"1000000"),
        (b"job/%s" % job_id(9).encode(), b'{"id":"x"}'),
        (b"unknown", b"\xff"),
        (b"\xff\xfe", b"\xff"),
        (b"job/\xff", b"{}"),
        (b"", b"{}"),
    ],
)
def test_jobs_are_served_after_an_odd_record_of_a_job(jobs, key, value):
    """Each entry stopped following the store, and refused or forgot all jobs."""
    jobs.append("keyed.jobs", key, value)
    serve_a_job(jobs, 1)
    jobs.kill_and_restart("entry-1", "entry-2")
    jobs.wait_ready()
    serve_a_job(jobs, 3)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (b"entry-1", b"tcp://127.0.0.1:99999999"),
        (b"entry-9", b"tcp://127.0.0.1"),
        (b"entry-9", b"\xff"),
        (b"entry-9", b"[" * 100_000),
    ],
)
def test_jobs_are_served_after_an_odd_record_of_an_entry(jobs, key, value):
    jobs.append("keyed.members", key, value)
    serve_a_job(jobs, 1)
    jobs.kill_and_restart("entry-1", "vm-1", "vm-2")
    jobs.wait_ready()
    serve_a_job(jobs, 3)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        (b"config", b'{"version":2,"x":' + b"[" * 100_000),
        (b"config", b'{"version":1e400}'),
        (b"config", b'{"version":2,"limits":{"max_body_bytes":1e400}}'),
        (b"evacuate/", b"[" * 100_000),
        (b"unknown/key", b"\xff"),
    ],
)
def test_jobs_are_served_after_an_odd_record_of_the_operator(jobs, key, value):
    """The config was not read any more, and calls were refused with 503."""
    jobs.append("keyed.op", key, value)
    time.sleep(6.0)
    serve_a_job(jobs, 1)


@pytest.mark.parametrize("odd", [b'{"x":' + b"[" * 100_000, b"1e400", b"\xff"])
def test_settings_are_applied_after_a_file_that_cannot_be_read(jobs, odd):
    """The reload ended with an exception, and no later settings were applied."""
    for name in ("entry-1", "vm-1"):
        path = jobs.settings_path(name)
        good = path.read_bytes()
        path.write_bytes(odd)
        jobs.signal(name, signal.SIGHUP)
        time.sleep(0.5)
        path.write_bytes(good.replace(b'"6e6e', b' "6e6e'))
        jobs.signal(name, signal.SIGHUP)
        jobs.wait_until(
            lambda name=name: any(
                line["event"] == "settings_reloaded" for line in jobs.log_lines(name)
            ),
            4.0,
        )
    serve_a_job(jobs, 1)


def test_log_lines_of_refused_calls_are_bounded(shared_jobs):
    """A path of 60,000 characters was logged whole, which delays and cuts lines."""
    status, _body = shared_jobs.call("entry-1", "GET", PREFIX + "a" * 60_000, key="bad")
    assert status == 401
    lines = shared_jobs.log_lines("entry-1")
    assert any(line["event"] == "call_refused" for line in lines)
    assert max(len(json.dumps(line)) for line in lines) < 1000
