"""An accepted bundle is in force everywhere within 3 s and never reverts.

Row 9 of docs/PROOFS.md.
"""

from __future__ import annotations

import signal
import time

from standins.local_cluster import LocalCluster, call, signed_bundle

MAX_ROLLOUT_S = 3.0


def reported_versions(cluster: LocalCluster) -> dict[str, int]:
    """Return the bundle version that each process reports, by entry and process."""
    found = {}
    for entry in cluster.entries():
        for one in cluster.operator("status", entry)["processes"]:
            if one["silent_s"] < 2:
                found[f"{entry.name}:{one['process']}"] = one["bundle_version"]
    return found


def test_bundle_is_in_force_everywhere_within_limit(cluster) -> None:
    for version in range(2, 12):
        cluster.roll(note=f"number {version}")
        assert cluster.wait_for_version(version) <= MAX_ROLLOUT_S


def test_bundle_is_refused_when_not_approved_by_a_second_person(cluster) -> None:
    signed = signed_bundle({"version": 2, "parent": 1})
    record = cluster.publish({**signed, "approver": signed["author"]})
    time.sleep(1)
    verdict = cluster.operator(f"verdict/{record}")["verdict"]
    assert (verdict["accepted"], verdict["code"]) == (False, "not_approved")
    forged = signed_bundle({"version": 2, "parent": 1})
    forged["content"] = forged["content"].replace("2", "3", 1)
    record = cluster.publish(forged)
    time.sleep(1)
    verdict = cluster.operator(f"verdict/{record}")["verdict"]
    assert (verdict["accepted"], verdict["code"]) == (False, "bad_signature")
    assert set(reported_versions(cluster).values()) == {1}


def test_bundle_stays_in_force_when_entries_are_replaced_with_log_down(cluster) -> None:
    cluster.roll()
    cluster.wait_for_version(2)
    cluster.switch("log", outage=True)
    cluster.start_entry("entry-3")
    time.sleep(2)
    cluster["entry-1"].kill()
    cluster["entry-2"].kill()
    time.sleep(2)
    assert set(reported_versions(cluster).values()) == {2}
    answer = cluster.request("crews", work={"echo": 1})
    assert answer["outcome"]["status"] == "done"


def drop_records_before(cluster: LocalCluster, record_id: str) -> None:
    """Make the log drop all records before the given one."""
    url = cluster["log"].url
    page = call("GET", f"{url}/v1/read?from=0&wait_s=0&max=1000")[1]
    offset = next(r["offset"] for r in page["records"] if r["id"] == record_id)
    cluster.switch("log", keep=page["next"] - offset + 1)
    unrelated = {"id": "noise", "stream": "noise", "body": None}
    call("POST", f"{url}/v1/append", {"records": [unrelated]})
    page = call("GET", f"{url}/v1/read?from=0&wait_s=0&max=1000")[1]
    assert page["records"][0]["id"] == record_id


def test_bundle_stays_in_force_when_log_dropped_it(bare_cluster: LocalCluster) -> None:
    """A new entry takes the bundle in force from a snapshot in the log.

    No entry or agent is left, and the log holds only its last records. Without
    snapshots, a new entry accepted a bundle that had been refused.
    """
    bare_cluster.log_retention_s = 5
    bare_cluster.start_entry("entry-1")
    bare_cluster.start_upstream(1, "zone-a", "rack")
    bare_cluster.wait_ready(1)
    bare_cluster.roll()
    bare_cluster.roll()
    bare_cluster.publish(signed_bundle({"version": 2, "parent": 1, "note": "lost"}))
    bare_cluster.wait_for_version(2)
    time.sleep(1.5)
    late = signed_bundle({"version": 2, "parent": 1, "note": "late"})
    late_id = bare_cluster.publish(late)
    time.sleep(3)
    bare_cluster["upstream-1"].kill()
    bare_cluster["entry-1"].kill()
    drop_records_before(bare_cluster, late_id)
    bare_cluster.start_entry("entry-2", seeds=[])
    time.sleep(2)
    assert bare_cluster.operator("bundle")["version"] == 2
    content = bare_cluster.operator("bundle")["signed"]["content"]
    assert "late" not in content
    assert "lost" not in content


def test_bundle_does_not_revert_when_frozen_processes_resume(cluster) -> None:
    frozen = [cluster["entry-1"], cluster["upstream-1"]]
    for process in frozen:
        process.signal(signal.SIGSTOP)
    cluster.roll()
    cluster.roll()
    time.sleep(4)
    for process in frozen:
        process.signal(signal.SIGCONT)
    time.sleep(MAX_ROLLOUT_S)
    assert set(reported_versions(cluster).values()) == {3}


def test_agents_find_new_entries_when_all_were_killed(cluster) -> None:
    """The new entry has another port, which only the log tells."""
    for name in ("entry-1", "entry-2"):
        cluster[name].kill()
    time.sleep(1)
    cluster.start_entry("entry-3", seeds=[])
    cluster.wait_ready(3)
    answer = cluster.request("crews", work={"echo": 1})
    assert answer["outcome"]["status"] == "done"
