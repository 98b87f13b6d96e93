"""A leaving upstream gets no new work, and planned stops fail no request.

Rows 7 and 8 of docs/PROOFS.md.
"""

from __future__ import annotations

import signal
import threading
import time

from standins.local_cluster import wait_until

MAX_START_DELAY_S = 3.0
MAX_LOAD_S = 30.0


def start_load(
    cluster, in_background, stop: threading.Event, run_s: float = 0.3, **body
) -> list:
    """Send requests to healthy entries until stopped; return outcomes and futures."""
    outcomes = []

    def send_requests() -> None:
        load_end_s = time.monotonic() + MAX_LOAD_S
        while not stop.is_set() and time.monotonic() < load_end_s:
            entry = cluster.healthy_entry()
            work = {"run_s": run_s}
            answer = cluster.request("crews", entry, work=work, **body)
            outcomes.append(answer["outcome"])

    futs = [in_background(send_requests) for _ in range(6)]
    return [outcomes, futs]


def stop_load(stop: threading.Event, load: list) -> list[str]:
    """Stop sending and return the status of every request."""
    stop.set()
    for fut in load[1]:
        fut.result()
    return [one["status"] for one in load[0]]


def busiest_upstream(cluster) -> int:
    """Return the number of the upstream whose worker recorded the most events."""
    records = cluster.records()
    name = max(records, key=lambda upstream: len(records[upstream]))
    return int(name[-1])


def test_leaving_upstream_gets_no_new_work(cluster, in_background) -> None:
    stop = threading.Event()
    shape = {"accelerators": 4}
    load = start_load(cluster, in_background, stop, shape=shape)
    time.sleep(1)
    number = busiest_upstream(cluster)
    cluster[f"upstream-{number}"].signal(signal.SIGSTOP)
    cluster.switch(f"worker-{number}", accepting=False)
    left_s = time.monotonic()
    time.sleep(1)
    cluster[f"upstream-{number}"].signal(signal.SIGCONT)
    time.sleep(MAX_START_DELAY_S + 2)
    statuses = stop_load(stop, load)
    late = [
        event
        for event in cluster.record(number)
        if event["event"] in ("start", "refused")
        and event["at"] > left_s + MAX_START_DELAY_S
    ]
    assert not late, "starts that the worker had to refuse count too"
    assert set(statuses) == {"done"}


def test_no_request_fails_when_all_entries_are_replaced(cluster, in_background) -> None:
    stop = threading.Event()
    load = start_load(cluster, in_background, stop, run_s=2.0)
    for number in (1, 2):
        time.sleep(1)
        cluster.start_entry(f"entry-{number + 2}")
        time.sleep(2.5)
        assert cluster[f"entry-{number}"].stop() == 0
    time.sleep(1)
    statuses = stop_load(stop, load)
    assert set(statuses) == {"done"}
    assert len(statuses) >= 18


def test_no_request_fails_when_agent_and_worker_stop(cluster, in_background) -> None:
    stop = threading.Event()
    load = start_load(cluster, in_background, stop)
    time.sleep(1)
    assert cluster["upstream-1"].stop() == 0
    time.sleep(1)
    assert cluster["worker-2"].stop() == 0
    time.sleep(2)
    statuses = stop_load(stop, load)
    assert set(statuses) == {"done"}


def test_long_job_keeps_running_when_its_entry_and_agent_are_replaced(
    cluster, run_records
) -> None:
    job = cluster.submit("crews", cluster["entry-1"], work={"run_s": 7.0})
    wait_until(lambda: run_records(cluster.records()).starts(job), 5)
    upstream = run_records(cluster.records()).starts(job)[0]["upstream"]
    assert cluster[upstream].stop() == 0
    cluster.start_agent(int(upstream[-1]))
    assert cluster["entry-1"].stop() == 0
    outcome = cluster.job("crews", job, wait_s=20)["outcome"]
    assert outcome["status"] == "done"
    assert run_records(cluster.records()).runs_by_job()[job] == 1
