"""No gang keeps running with only some of its members.

Row 2 of docs/PROOFS.md.
"""

from __future__ import annotations

import signal
import time
from typing import TYPE_CHECKING

import pytest
from standins.local_cluster import wait_until

if TYPE_CHECKING:
    from standins.local_cluster import LocalCluster

GANG_LEASE_S = 5.0
START_SKEW_S = 1.0
SHAPE = {"members": 4, "accelerators": 4, "adjacent": "rack"}


def longest_partial_run_s(cluster: LocalCluster, run_records) -> float:
    """Return the longest time for which a gang ran without all its members."""
    return run_records(cluster.records()).longest_partial_run(time.monotonic())


def start_gang(cluster: LocalCluster, run_records, run_s: float) -> str:
    """Submit a gang and return its job id once all members have started."""
    job = cluster.submit("crews", shape=SHAPE, work={"run_s": run_s})
    wait_until(lambda: len(run_records(cluster.records()).starts(job)) == 4, 10)
    return job


@pytest.mark.parametrize("delay_s", [0.0, 0.004, 0.008, 0.012, 0.02, 0.03])
def test_gang_runs_complete_when_its_owner_is_killed_at_the_start(
    cluster, run_records, delay_s
) -> None:
    owner = cluster["entry-1"]
    job = cluster.submit("crews", owner, shape=SHAPE, work={"run_s": 1.0})
    time.sleep(delay_s)
    owner.kill()
    outcome = cluster.job("crews", job, wait_s=25)["outcome"]
    assert outcome["status"] == "done"
    assert longest_partial_run_s(cluster, run_records) <= GANG_LEASE_S


@pytest.mark.parametrize("signal_number", [signal.SIGKILL, signal.SIGSTOP])
def test_all_members_stop_when_the_agent_of_one_is_lost(
    cluster, run_records, signal_number
) -> None:
    start_gang(cluster, run_records, 30.0)
    cluster["upstream-1"].signal(signal_number)
    time.sleep(GANG_LEASE_S + 6)
    cluster["upstream-1"].signal(signal.SIGCONT)
    time.sleep(1)
    assert longest_partial_run_s(cluster, run_records) <= GANG_LEASE_S


def test_all_members_stop_when_all_entries_and_the_agent_of_one_are_lost(
    cluster, run_records
) -> None:
    """No process is left to order a stop, so the gang lease has to end the members."""
    start_gang(cluster, run_records, 30.0)
    for name in ("entry-1", "entry-2", "upstream-1"):
        cluster[name].kill()
    time.sleep(GANG_LEASE_S + 6)
    assert longest_partial_run_s(cluster, run_records) <= GANG_LEASE_S


def test_gang_keeps_running_when_its_owner_is_killed(cluster, run_records) -> None:
    owner = cluster["entry-1"]
    job = cluster.submit("crews", owner, shape=SHAPE, work={"run_s": 6.0})
    wait_until(lambda: len(run_records(cluster.records()).starts(job)) == 4, 10)
    owner.kill()
    outcome = cluster.job("crews", job, wait_s=25)["outcome"]
    assert outcome["status"] == "done"
    runs = run_records(cluster.records())
    assert runs.runs_by_job()[job] == 1
    assert longest_partial_run_s(cluster, run_records) <= START_SKEW_S


def test_gang_waits_for_all_members_when_one_worker_refuses(
    cluster, run_records
) -> None:
    cluster.switch("worker-2", refuse_starts=True)
    job = cluster.submit("crews", shape=SHAPE, work={"run_s": 0.5})
    time.sleep(3)
    cluster.switch("worker-2", refuse_starts=False)
    assert cluster.job("crews", job, wait_s=20)["outcome"]["status"] == "done"
    assert longest_partial_run_s(cluster, run_records) <= GANG_LEASE_S


def test_gang_counts_as_complete_when_members_end_at_different_times(
    cluster, run_records
) -> None:
    """Guards against members that end at once being taken for lost by later ones."""
    cluster.switch("worker-1", run_factor=0.01)
    job = cluster.submit("crews", shape=SHAPE, work={"run_s": 5.0})
    assert cluster.job("crews", job, wait_s=15)["outcome"]["status"] == "done"
    assert run_records(cluster.records()).runs_by_job()[job] == 1
    assert longest_partial_run_s(cluster, run_records) <= START_SKEW_S
