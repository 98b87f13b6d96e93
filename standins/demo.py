"""The demonstration: a whole system on loopback, through its main promises."""

from __future__ import annotations

import json
import sys
import time
from concurrent.futures import ThreadPoolExecutor
from typing import Any

from .local_cluster import LocalCluster, wait_until

ZONES = ("thu-duc", "binh-duong")
WORKERS = 6
REQUESTS = 40
LATEST_START_S = 3.0
GUARANTEE = {
    "workspace": "warehouse",
    "shape": {"members": 4, "accelerators": 4, "adjacent": "rack"},
}


def run() -> dict[str, Any]:
    """Run the demonstration and return its figures."""
    summary: dict[str, Any] = {}
    with LocalCluster(["warehouse", "crews"]) as cluster:
        _start(cluster)
        _serve_requests(cluster, summary)
        _run_gangs(cluster, summary)
        _move_zone(cluster, summary)
        _reclaim(cluster, summary)
        records = cluster.records()
        summary["partial_gangs"] = count_partial_gangs(records)
        _stop(cluster, summary)
    summary["ok"] = _is_ok(summary)
    return summary


def count_partial_gangs(records: dict[str, list[dict]]) -> int:
    """Return how many gang attempts never had all members started."""
    started: dict[str, set[int]] = {}
    sizes: dict[str, int] = {}
    for lines in records.values():
        for line in lines:
            if line["event"] == "start":
                meta = line["meta"]
                started.setdefault(meta["attempt"], set()).add(meta["index"])
                sizes[meta["attempt"]] = meta["size"]
    return sum(len(found) != sizes[name] for name, found in started.items())


def _say(text: str) -> None:
    print(text, flush=True)


def _bundle(state: str) -> dict[str, Any]:
    return {
        "guarantees": [GUARANTEE],
        "availability_zones": [
            {"availability_zone": ZONES[1], "state": state, "grace_s": 2.0}
        ],
    }


def _start(cluster: LocalCluster) -> None:
    cluster.start_log()
    for name in ("entry-1", "entry-2"):
        cluster.start_entry(name)
    zones = [ZONES[number // 3] for number in range(WORKERS)]
    cluster.start_upstreams(
        [(n, zone, f"{zone}-rack-1") for n, zone in enumerate(zones, 1)]
    )
    cluster.wait_ready(WORKERS)
    _say(
        f"started: log, 2 entries, {WORKERS} workers with agents in {len(ZONES)} zones"
    )
    cluster.roll(**_bundle("in"))
    took_s = cluster.wait_for_version(1)
    _say(f"bundle 1 is in force everywhere after {took_s:.2f} s")


def _serve_requests(cluster: LocalCluster, summary: dict[str, Any]) -> None:
    entries = cluster.entries()

    def send(number: int) -> bool:
        workspace = cluster.workspaces[number % 2]
        work = {"echo": number, "run_s": 0.05}
        answer = cluster.request(workspace, entries[number % 2], work=work)
        outcome = answer.get("outcome", {})
        return outcome.get("status") == "done" and outcome["answer"]["echo"] == number

    with ThreadPoolExecutor(8) as pool:
        answered = sum(pool.map(send, range(REQUESTS)))
    summary["requests"], summary["answered"] = REQUESTS, answered
    _say(f"{answered} of {REQUESTS} requests got their own whole answer")


def _run_gangs(cluster: LocalCluster, summary: dict[str, Any]) -> None:
    shape = {"members": 4, "accelerators": 2, "adjacent": "rack"}
    jobs = {
        cluster.submit(one, shape=shape, work={"run_s": 0.5}): one
        for one in cluster.workspaces
    }
    done = sum(_is_done(cluster.job(one, job, wait_s=10)) for job, one in jobs.items())
    summary["gangs_done"] = done
    _say(f"{done} of {len(jobs)} gangs ran with all their members")


def _is_done(answer: dict[str, Any]) -> bool:
    return answer.get("outcome", {}).get("status") == "done"


def _move_zone(cluster: LocalCluster, summary: dict[str, Any]) -> None:
    """Take a zone out under load and back, and look for late starts."""
    work = {"run_s": 4.0}
    shape = {"accelerators": 1}
    jobs = [cluster.submit("crews", shape=shape, work=work) for _ in range(20)]
    time.sleep(0.5)
    cluster.roll(**_bundle("out"))
    out_s = time.monotonic()
    took_s = cluster.wait_for_version(2)
    _say(f"zone {ZONES[1]} is out everywhere after {took_s:.2f} s")
    time.sleep(LATEST_START_S + 1.0)
    late = [
        line
        for name, lines in cluster.records().items()
        for line in lines
        if cluster.zones[name][0] == ZONES[1]
        and line["event"] == "start"
        and line["at"] > out_s + LATEST_START_S
    ]
    summary["starts_in_emptied_availability_zone"] = len(late)
    cluster.roll(**_bundle("in"))
    cluster.wait_for_version(3)
    _say(f"zone {ZONES[1]} is back; {len(late)} late starts there")
    lost = sum(not _is_done(cluster.job("crews", job, wait_s=15)) for job in jobs)
    summary["lost"] = lost
    _say(f"{len(jobs) - lost} of {len(jobs)} jobs ended well through the move")


def _reclaim(cluster: LocalCluster, summary: dict[str, Any]) -> None:
    """Fill the pool with others' work and reclaim a guaranteed shape."""
    fill = [
        cluster.submit("crews", shape={"accelerators": 4}, work={"run_s": 60.0})
        for _ in range(WORKERS * 2)
    ]
    wait_until(lambda: _free_accelerators(cluster) == 0, 10)
    began_s = time.monotonic()
    work = {"run_s": 0.1}
    answer = cluster.request("warehouse", shape=GUARANTEE["shape"], work=work)
    taken_s = time.monotonic() - began_s - work["run_s"]
    summary["reclaim_s"] = round(taken_s, 2) if _is_done(answer) else None
    _say(f"the warehouse had its guaranteed shape after {taken_s:.2f} s, pool full")
    for job in fill:
        cluster.cancel("crews", job)


def _free_accelerators(cluster: LocalCluster) -> int:
    rows = cluster.operator("upstreams")
    return sum(row["free_accelerators"] for row in rows)


def _stop(cluster: LocalCluster, summary: dict[str, Any]) -> None:
    wait_until(lambda: not cluster.operator("jobs"), 10)
    names = [*(f"upstream-{n}" for n in range(1, WORKERS + 1)), "entry-1", "entry-2"]
    names += [f"worker-{n}" for n in range(1, WORKERS + 1)]
    with ThreadPoolExecutor(len(names)) as pool:
        codes = list(pool.map(lambda name: cluster[name].stop(), names))
    summary["graceful"] = all(code == 0 for code in codes)
    _say(f"{codes.count(0)} of {len(codes)} processes stopped gracefully")


def _is_ok(summary: dict[str, Any]) -> bool:
    reclaim_s = summary["reclaim_s"]
    return (
        summary["answered"] == summary["requests"]
        and summary["gangs_done"] == 2
        and summary["partial_gangs"] == 0
        and summary["starts_in_emptied_availability_zone"] == 0
        and summary["lost"] == 0
        and summary["graceful"]
        and reclaim_s is not None
        and reclaim_s <= 5.0
    )


def main() -> int:
    """Print the demonstration's figures as JSON; return 0 if all is as promised."""
    summary = run()
    print(json.dumps(summary))
    return 0 if summary["ok"] else 1


if __name__ == "__main__":
    sys.exit(main())
