"""Guarantees are reclaimed from a full pool within a limit, also during failures.

Row 1 of docs/PROOFS.md.
"""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import pytest
from standins.local_cluster import wait_until

if TYPE_CHECKING:
    from concurrent.futures import Future

    from standins.local_cluster import LocalCluster

SHAPE = {"members": 2, "accelerators": 8, "adjacent": "rack"}
RECLAIM_LIMIT_S = 5.0
FAILOVER_S = 4.0


def fill_pool(cluster: LocalCluster) -> None:
    """Guarantee a shape to "warehouse", and fill the pool with jobs of "crews"."""
    cluster.start_upstream(4, "zone-b", "zone-b-rack")
    cluster.wait_ready(4)
    cluster.roll(guarantees=[{"workspace": "warehouse", "shape": SHAPE}])
    cluster.wait_for_version(2)
    for _ in range(8):
        cluster.submit("crews", shape={"accelerators": 4}, work={"run_s": 100})
    wait_until(lambda: pool_is_full(cluster), 10)


def pool_is_full(cluster: LocalCluster) -> bool:
    """Return whether all eight jobs run and no accelerator is free."""
    rows = cluster.operator("upstreams")
    records = cluster.records()
    running = sum(
        (event["event"] == "start") - (event["event"] == "end")
        for events in records.values()
        for event in events
    )
    return running == 8 and all(row["free_accelerators"] == 0 for row in rows)


def request_guarantee(
    cluster: LocalCluster, entry, in_background
) -> tuple[Future, float]:
    """Request the guaranteed shape; return the future and the time of sending."""
    work = {"run_s": 0.1}
    sent_s = time.monotonic()
    fut = in_background(
        cluster.request, "warehouse", entry, shape=SHAPE, work=work, timeout_s=30
    )
    return fut, sent_s


def non_coordinator_entry(cluster: LocalCluster):
    """Return an entry that is not the coordinator."""
    coordinator = cluster.coordinator().name
    return next(one for one in cluster.entries() if one.name != coordinator)


def first_guaranteed_start_s(cluster: LocalCluster) -> float:
    """Return the time of the first start for the guaranteed workspace."""
    return min(
        event["at"]
        for events in cluster.records().values()
        for event in events
        if event["event"] == "start" and event["meta"]["workspace"] == "warehouse"
    )


def test_guarantee_is_reclaimed_when_pool_is_full(cluster, in_background) -> None:
    fill_pool(cluster)
    fut, sent_s = request_guarantee(cluster, None, in_background)
    assert fut.result()["outcome"]["status"] == "done"
    assert first_guaranteed_start_s(cluster) - sent_s <= RECLAIM_LIMIT_S


def test_guarantee_is_reclaimed_when_log_is_down(cluster, in_background) -> None:
    fill_pool(cluster)
    cluster.switch("log", outage=True)
    time.sleep(2.5)
    fut, sent_s = request_guarantee(cluster, None, in_background)
    assert fut.result()["outcome"]["status"] == "done"
    assert first_guaranteed_start_s(cluster) - sent_s <= RECLAIM_LIMIT_S


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_guarantee_is_reclaimed_when_coordinator_is_lost(
    cluster, in_background, signal_number
) -> None:
    fill_pool(cluster)
    entry = non_coordinator_entry(cluster)
    lost = cluster.coordinator()
    fut, sent_s = request_guarantee(cluster, entry, in_background)
    lost.signal(signal_number)
    assert fut.result()["outcome"]["status"] == "done"
    delay_s = first_guaranteed_start_s(cluster) - sent_s
    lost.kill()
    assert delay_s <= RECLAIM_LIMIT_S + FAILOVER_S


def test_guarantee_is_reclaimed_when_an_agent_is_frozen(cluster, in_background) -> None:
    fill_pool(cluster)
    cluster["upstream-1"].signal(signal.SIGSTOP)
    time.sleep(0.2)
    fut, sent_s = request_guarantee(cluster, None, in_background)
    answer = fut.result()
    cluster["upstream-1"].signal(signal.SIGCONT)
    assert answer["outcome"]["status"] == "done"
    assert first_guaranteed_start_s(cluster) - sent_s <= RECLAIM_LIMIT_S + FAILOVER_S
