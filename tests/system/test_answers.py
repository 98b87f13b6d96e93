"""Answers are complete and "not_run" is true, also with faulty workers or links.

Rows 4, 5, 10 and 11 of docs/PROOFS.md.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

import pytest
from standins.forwarder import Forwarder
from standins.local_cluster import LocalCluster, wait_until

if TYPE_CHECKING:
    from concurrent.futures import Future

RECOVERY_S = 3.0


def send_requests(cluster, in_background, count: int, **body) -> list[Future]:
    """Send requests whose work echoes their index, in turn through all entries."""
    entries = cluster.entries()
    return [
        in_background(
            cluster.request,
            "crews",
            entries[number % len(entries)],
            **{"work": {"echo": number, "run_s": 0.05}, **body},
        )
        for number in range(count)
    ]


def mismatched_outcomes(futs: list[Future]) -> list:
    """Return the done outcomes that don't echo the index of their request."""
    mismatched = []
    for number, fut in enumerate(futs):
        outcome = fut.result()["outcome"]
        if outcome["status"] == "done" and outcome["answer"]["echo"] != number:
            mismatched.append((number, outcome))
    return mismatched


@pytest.mark.parametrize(
    "switches",
    [{"cross_answers": 5}, {"cut_answers": 5}, {"lose_start_answers": 3}],
)
def test_caller_gets_own_complete_answer_when_workers_garble_some(
    cluster, in_background, run_records, switches
) -> None:
    for number in (1, 2, 3):
        cluster.switch(f"worker-{number}", **switches)
    futs = send_requests(cluster, in_background, 40)
    assert not mismatched_outcomes(futs)
    assert all(fut.result()["outcome"]["status"] == "done" for fut in futs)
    runs = run_records(cluster.records()).runs_by_job()
    assert max(runs.values()) == 1, (
        "faulty answers are fetched again, without a second run"
    )


def test_late_answer_reaches_no_other_caller_when_connection_timed_out(
    cluster, in_background
) -> None:
    for number in (1, 2, 3):
        cluster.switch(f"worker-{number}", slow_answers_s=4.0)
    late = send_requests(cluster, in_background, 6)
    time.sleep(3.0)
    for number in (1, 2, 3):
        cluster.switch(f"worker-{number}", slow_answers_s=0.0)
    futs = send_requests(cluster, in_background, 30)
    assert not mismatched_outcomes(futs)
    assert not mismatched_outcomes(late)


def test_not_run_jobs_never_ran_when_agents_die_and_deadlines_pass(
    cluster, in_background, run_records
) -> None:
    futs = send_requests(
        cluster,
        in_background,
        60,
        work={"run_s": 0.6},
        deadline_s=2.0,
        shape={"accelerators": 4},
    )
    time.sleep(0.7)
    cluster["upstream-2"].kill()
    time.sleep(0.3)
    cluster["upstream-3"].kill()
    cluster.start_agent(3)
    outcomes = {fut.result()["id"]: fut.result()["outcome"] for fut in futs}
    runs = run_records(cluster.records()).runs_by_job()
    not_run = [
        one for one, outcome in outcomes.items() if outcome["status"] == "not_run"
    ]
    assert not_run, "no request missed its deadline"
    assert not [one for one in not_run if one in runs]


def test_request_is_served_when_open_connections_go_silent(
    bare_cluster: LocalCluster,
) -> None:
    """All open links of the only entry go silent for good; new connections work."""
    with (
        Forwarder("tcp://127.0.0.1:1") as links,
        Forwarder(bare_cluster["log"].url) as log,
    ):
        entry = bare_cluster.start_entry(
            "entry-1", advertised_link_url=links.url, log_url=log.url
        )
        links.set_target(entry.info["link_url"])
        bare_cluster.start_worker(1, "zone-a", "rack")
        bare_cluster.start_agent(1, seeds=[links.url])
        bare_cluster.wait_ready(1)
        bare_cluster.roll()
        bare_cluster.wait_for_version(1)
        assert bare_cluster.request("crews")["outcome"]["status"] == "done"
        assert links.silence_open() >= 1
        log.silence_open()
        silent_s = time.monotonic()
        answer = bare_cluster.request("crews", work={"echo": "after"})
        took_s = time.monotonic() - silent_s
        assert answer["outcome"]["answer"]["echo"] == "after"
        assert took_s <= RECOVERY_S


def test_requests_are_served_when_a_worker_fails_every_task(
    cluster, in_background
) -> None:
    cluster.switch("worker-3", fail_everything=True)
    futs = send_requests(cluster, in_background, 60)
    statuses = [fut.result()["outcome"]["status"] for fut in futs]
    assert statuses.count("done") == 60
    rows = cluster.operator("upstreams")
    bad = next(row for row in rows if row["upstream"] == "upstream-3")
    assert bad["closed"] == ["quarantined"]


def test_requests_are_served_when_many_jobs_are_cancelled(
    cluster, in_background
) -> None:
    jobs = [cluster.submit("crews", work={"run_s": 30}) for _ in range(40)]
    impossible = in_background(
        cluster.request, "crews", shape={"members": 50, "accelerators": 8}
    )
    for job in jobs:
        cluster.cancel("crews", job)
    futs = send_requests(cluster, in_background, 20)
    assert [fut.result()["outcome"]["status"] for fut in futs] == ["done"] * 20
    assert impossible.result()["outcome"]["code"] == "never_fits"
    wait_until(lambda: not cluster.operator("jobs"), 10)
    states = {cluster.job("crews", job, wait_s=5)["outcome"]["status"] for job in jobs}
    assert states == {"cancelled"}


def test_requests_are_served_when_a_worker_freezes(
    cluster, in_background, run_records
) -> None:
    """Its running task is restarted elsewhere once its lease must have expired."""
    shape = {"accelerators": 8}
    futs = send_requests(
        cluster, in_background, 3, work={"run_s": 2.0}, shape=shape, timeout_s=30
    )
    wait_until(lambda: len(run_records(cluster.records()).starts()) == 3, 5)
    cluster.switch("worker-1", freeze_s=10.0)
    began_s = time.monotonic()
    assert [fut.result()["outcome"]["status"] for fut in futs] == ["done"] * 3
    assert time.monotonic() - began_s < 15


def test_request_is_refused_when_too_many_jobs_of_its_workspace_wait(
    cluster, in_background
) -> None:
    cluster.roll(workspaces=[{"workspace": "crews", "max_waiting": 2}])
    cluster.wait_for_version(2)
    futs = send_requests(
        cluster, in_background, 8, work={"run_s": 2.0}, shape={"accelerators": 8}
    )
    outcomes = [fut.result()["outcome"] for fut in futs]
    refused = [one for one in outcomes if one["code"] == "queue_full"]
    assert {one["status"] for one in refused} == {"not_run"}
    assert len(refused) == 3
    assert sum(one["status"] == "done" for one in outcomes) == 5
