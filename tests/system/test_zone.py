"""An availability zone gets no start more than 3 s after it was taken out.

Row 3 of docs/PROOFS.md.
"""

from __future__ import annotations

import signal
import threading
import time
from typing import TYPE_CHECKING

import pytest
from standins.local_cluster import call, signed_bundle, wait_until

if TYPE_CHECKING:
    from collections.abc import Iterator

    from standins.local_cluster import LocalCluster

MAX_START_DELAY_S = 3.0
MAX_LOAD_S = 40.0
ZONE = "zone-b"


def zone_out_content(zone: str = ZONE) -> dict:
    """Return the bundle content that takes a zone out."""
    zones = [{"availability_zone": zone, "state": "out", "grace_s": 1.0}]
    return {"availability_zones": zones}


@pytest.fixture
def steady_load(cluster: LocalCluster, in_background) -> Iterator[None]:
    """Send short requests through both entries until the test ends."""
    stop = threading.Event()

    def send_requests(entry) -> None:
        load_end_s = time.monotonic() + MAX_LOAD_S
        while not stop.is_set() and time.monotonic() < load_end_s:
            try:
                body = {"work": {"run_s": 0.1}, "deadline_s": 2}
                cluster.request("crews", entry, **body, timeout_s=5)
            except OSError:
                time.sleep(0.1)

    for entry in cluster.entries():
        for _ in range(6):
            in_background(send_requests, entry)
    wait_until(lambda: starts_in_zone(cluster), 5)
    yield
    stop.set()


def starts_in_zone(
    cluster: LocalCluster, after_s: float = 0.0, zone: str = ZONE
) -> list:
    """Return the start events in a zone after a time."""
    return [
        event
        for name, events in cluster.records().items()
        for event in events
        if cluster.zones[name][0] == zone
        and event["event"] == "start"
        and event["at"] > after_s
    ]


def test_zone_gets_no_starts_after_it_was_taken_out(cluster, steady_load) -> None:
    cluster.roll(**zone_out_content())
    taken_out_s = time.monotonic()
    time.sleep(MAX_START_DELAY_S + 3)
    assert not starts_in_zone(cluster, taken_out_s + MAX_START_DELAY_S)
    zone_a = starts_in_zone(cluster, taken_out_s + MAX_START_DELAY_S, "zone-a")
    assert zone_a, "the other zone gets no work"


@pytest.mark.parametrize("frozen_s", [1.0, 4.0])
def test_zone_gets_no_starts_when_its_agent_was_frozen(
    cluster, steady_load, frozen_s
) -> None:
    cluster["upstream-3"].signal(signal.SIGSTOP)
    cluster.roll(**zone_out_content())
    taken_out_s = time.monotonic()
    time.sleep(frozen_s)
    cluster["upstream-3"].signal(signal.SIGCONT)
    time.sleep(MAX_START_DELAY_S + 2)
    assert not starts_in_zone(cluster, taken_out_s + MAX_START_DELAY_S)


def test_zone_gets_no_starts_when_the_coordinator_was_frozen(
    cluster, steady_load
) -> None:
    frozen = cluster.coordinator()
    frozen.signal(signal.SIGSTOP)
    cluster.roll(**zone_out_content())
    taken_out_s = time.monotonic()
    time.sleep(MAX_START_DELAY_S + 1)
    frozen.signal(signal.SIGCONT)
    time.sleep(3)
    assert not starts_in_zone(cluster, taken_out_s + MAX_START_DELAY_S)


def test_zone_gets_no_starts_when_agent_and_coordinator_were_frozen(
    cluster, steady_load
) -> None:
    frozen = [cluster.coordinator(), cluster["upstream-3"]]
    for process in frozen:
        process.signal(signal.SIGSTOP)
    cluster.roll(**zone_out_content())
    taken_out_s = time.monotonic()
    time.sleep(MAX_START_DELAY_S + 1)
    for process in frozen:
        process.signal(signal.SIGCONT)
    time.sleep(3)
    assert not starts_in_zone(cluster, taken_out_s + MAX_START_DELAY_S)


def test_one_bundle_is_accepted_when_two_operators_take_zones_out_at_once(
    cluster, steady_load, in_background
) -> None:
    futs = [
        in_background(
            cluster.publish,
            signed_bundle({"version": 2, "parent": 1, **zone_out_content(zone)}),
        )
        for zone in ("zone-a", "zone-b")
    ]
    ids = [fut.result() for fut in futs]
    taken_out_s = time.monotonic()
    time.sleep(MAX_START_DELAY_S + 2)
    verdicts = []
    for entry in cluster.entries():
        found = [cluster.operator(f"verdict/{one}", entry)["verdict"] for one in ids]
        verdicts.append(found)
    assert verdicts[0] == verdicts[1]
    assert sorted(one["accepted"] for one in verdicts[0]) == [False, True]
    refused = next(one for one in verdicts[0] if not one["accepted"])
    assert refused["code"] == "stale_parent"
    accepted_zone = ("zone-a", "zone-b")[
        [one["accepted"] for one in verdicts[0]].index(True)
    ]
    assert not starts_in_zone(cluster, taken_out_s + MAX_START_DELAY_S, accepted_zone)


def test_status_shows_processes_with_an_older_bundle(cluster) -> None:
    cluster["upstream-3"].signal(signal.SIGSTOP)
    cluster.roll(**zone_out_content())
    time.sleep(1)
    processes = cluster.operator("status")["processes"]
    cluster["upstream-3"].signal(signal.SIGCONT)
    lagging = [one["process"] for one in processes if one["bundle_version"] < 2]
    assert lagging == ["upstream-3"]
    assert call("GET", f"{cluster['entry-1'].url}/health")[0] == 200
