"""Requests, gangs, refusals, cancellation and access checks, end to end."""

from __future__ import annotations

from typing import TYPE_CHECKING

from standins.local_cluster import call, caller_token

if TYPE_CHECKING:
    from standins.local_cluster import LocalCluster


def test_request_is_answered_when_pool_is_free(cluster: LocalCluster) -> None:
    for entry in cluster.entries():
        answer = cluster.request("crews", entry, work={"echo": entry.name})
        assert answer["outcome"]["status"] == "done"
        assert answer["outcome"]["answer"]["echo"] == entry.name


def test_gang_runs_with_all_members_when_pool_is_free(cluster: LocalCluster) -> None:
    shape = {"members": 4, "accelerators": 4, "adjacent": "rack"}
    job = cluster.submit("crews", shape=shape, work={"run_s": 0.2})
    outcome = cluster.job("crews", job, wait_s=10)["outcome"]
    assert outcome["status"] == "done"
    started = [
        (name, event["meta"]["index"])
        for name, events in cluster.records().items()
        for event in events
        if event["event"] == "start" and event["meta"]["job"] == job
    ]
    assert sorted(index for _, index in started) == [0, 1, 2, 3]
    upstreams = sorted(name for name, _ in started)
    assert upstreams == ["upstream-1"] * 2 + ["upstream-2"] * 2, (
        "only one rack fits the gang"
    )


def test_request_is_refused_when_no_topology_can_hold_it(
    cluster: LocalCluster,
) -> None:
    answer = cluster.request("crews", shape={"members": 1, "accelerators": 99})
    assert answer["outcome"]["status"] == "not_run"
    assert answer["outcome"]["code"] == "never_fits"


def test_job_is_stopped_when_cancelled(cluster: LocalCluster) -> None:
    job = cluster.submit("crews", work={"run_s": 30})
    entry = cluster["entry-2"]
    cluster.job("crews", job, wait_s=0.5)
    call("DELETE", f"{entry.url}/v1/jobs/{job}", token=caller_token("crews"))
    outcome = cluster.job("crews", job, wait_s=10)["outcome"]
    assert outcome["status"] == "cancelled"


def test_job_is_hidden_from_callers_without_its_workspace_token(
    cluster: LocalCluster,
) -> None:
    job = cluster.submit("crews", work={"run_s": 0.1})
    url = f"{cluster.entries()[0].url}/v1/jobs/{job}"
    assert call("GET", url, token=caller_token("warehouse"))[0] == 404
    assert call("GET", url, token="wrong")[0] == 401
    assert call("GET", url)[0] == 401
