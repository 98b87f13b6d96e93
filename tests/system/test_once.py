"""A request that is not idempotent runs at most once.

Row 6 of docs/PROOFS.md.
"""

from __future__ import annotations

import signal
import time

import pytest
from standins.local_cluster import wait_until

NON_IDEMPOTENT = {"idempotent": False, "shape": {"accelerators": 1}}


def send_non_idempotent(cluster, entry, key: str, run_s: float = 0.3) -> dict:
    """Send a non-idempotent request; return its outcome, or "no_answer"."""
    try:
        work = {"echo": key, "run_s": run_s}
        return cluster.request(
            "crews", entry, key=key, work=work, **NON_IDEMPOTENT, timeout_s=30
        )["outcome"]
    except OSError:
        return {"status": "no_answer"}


def test_request_runs_once_when_repeated_at_both_entries(
    cluster, in_background, run_records
) -> None:
    entries = cluster.entries()
    futs = [
        in_background(send_non_idempotent, cluster, entries[n % 2], f"order-{n // 4}")
        for n in range(40)
    ]
    outcomes = [fut.result() for fut in futs]
    assert {one["status"] for one in outcomes} == {"done"}
    assert [one["answer"]["echo"] for one in outcomes] == [
        f"order-{n // 4}" for n in range(40)
    ]
    runs = run_records(cluster.records()).runs_by_job()
    assert len(runs) == 10
    assert set(runs.values()) == {1}


@pytest.mark.parametrize("delay_s", [0.0, 0.02, 0.05, 0.1, 0.3])
def test_request_runs_once_when_its_entry_is_killed(
    cluster, in_background, run_records, delay_s
) -> None:
    first, second = cluster.entries()
    fut = in_background(send_non_idempotent, cluster, first, "order", 1.0)
    time.sleep(delay_s)
    first.kill()
    assert fut.result()["status"] == "no_answer"
    outcome = send_non_idempotent(cluster, second, "order", 1.0)
    assert outcome["status"] in ("done", "unknown")
    time.sleep(1.0)
    runs = run_records(cluster.records()).runs_by_job()
    assert sum(runs.values()) <= 1


def test_request_runs_once_when_its_agent_restarts(
    cluster, in_background, run_records
) -> None:
    fut = in_background(send_non_idempotent, cluster, None, "order", 2.0)
    wait_until(lambda: run_records(cluster.records()).starts(), 5)
    upstream = run_records(cluster.records()).starts()[0]["upstream"]
    cluster[upstream].kill()
    cluster.start_agent(int(upstream[-1]))
    assert fut.result()["status"] == "done"
    assert set(run_records(cluster.records()).runs_by_job().values()) == {1}


def test_request_runs_once_when_log_answers_are_lost(
    cluster, in_background, run_records
) -> None:
    cluster.switch("log", lose_answers=5)
    entries = cluster.entries()
    futs = [
        in_background(send_non_idempotent, cluster, entries[n % 2], f"order-{n // 2}")
        for n in range(12)
    ]
    statuses = [fut.result()["status"] for fut in futs]
    assert "done" in statuses
    runs = run_records(cluster.records()).runs_by_job()
    assert set(runs.values()) == {1}


def test_refused_request_never_runs_when_log_is_down(cluster, run_records) -> None:
    cluster.switch("log", outage=True)
    outcome = send_non_idempotent(cluster, None, "order")
    assert outcome["status"] == "not_run"
    assert outcome["code"] == "log_unavailable"
    assert outcome["retry_after_s"] > 0
    cluster.switch("log", outage=False)
    time.sleep(2.0)
    assert not run_records(cluster.records()).starts()
    wait_until(
        lambda: send_non_idempotent(cluster, None, "order")["status"] == "done", 15
    )
    assert set(run_records(cluster.records()).runs_by_job().values()) == {1}


def test_request_runs_once_when_its_entry_was_frozen(
    cluster, in_background, run_records
) -> None:
    first, second = cluster.entries()
    fut = in_background(send_non_idempotent, cluster, first, "order", 0.5)
    time.sleep(0.02)
    first.signal(signal.SIGSTOP)
    repeat = in_background(send_non_idempotent, cluster, second, "order", 0.5)
    time.sleep(6)
    first.signal(signal.SIGCONT)
    assert repeat.result()["status"] in ("done", "unknown")
    fut.result()
    assert sum(run_records(cluster.records()).runs_by_job().values()) <= 1
