"""Tests of the commands against a running local cluster."""

from __future__ import annotations

import json
import re
import time
from typing import TYPE_CHECKING

import pytest
from click.testing import CliRunner, Result
from standins.local_cluster import OPERATOR_TOKEN, PEOPLE, public_keys

from hyssoprill.cli.main import main

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from standins.local_cluster import LocalCluster

GUARANTEE = {
    "workspace": "warehouse",
    "shape": {"members": 2, "accelerators": 8, "adjacent": "rack"},
}


@pytest.fixture
def run(cluster: LocalCluster, tmp_path: Path) -> Callable[..., Result]:
    """Return a function that invokes the command-line tool."""
    path = tmp_path / "settings.json"
    settings = {
        "entries": [entry.url for entry in cluster.entries()],
        "log_url": cluster["log"].url,
        "operator_token": OPERATOR_TOKEN,
        "trusted_keys": public_keys(),
    }
    path.write_text(json.dumps(settings))
    for name, key in PEOPLE.items():
        (tmp_path / f"{name}.key").write_text(bytes(key).hex())
    return lambda *args: CliRunner().invoke(main, ["--settings", str(path), *args])


def sign_off(run, folder: Path, content: dict) -> str:
    """Write a bundle to a file, sign and approve it, and return the path."""
    file = folder / "bundle.json"
    file.write_text(json.dumps(content))
    for person in PEOPLE:
        key = str(folder / f"{person}.key")
        result = run("bundle", "sign", str(file), "--person", person, "--key", key)
        assert result.exit_code == 0, result.output
        file.write_text(result.output)
    return str(file)


def normalised(text: str) -> str:
    """Replace ids, times and ports, which differ between runs."""
    text = re.sub(r"\br-[0-9a-f]{16}\b", "r-ID", text)
    return re.sub(r"\b\d+\.\d+\b", "0.0", text)


def test_operators_session(run, cluster, tmp_path, file_regression) -> None:
    """Output of a sequence of commands, compared with a golden file."""
    lines = []

    def step(*args: str) -> Result:
        result = run(*args)
        shown = [arg.replace(str(tmp_path), ".") for arg in args]
        lines.append(f"$ hyssoprill {' '.join(shown)}   # exit {result.exit_code}")
        lines.append(normalised(result.output.replace(str(tmp_path), ".")))
        return result

    fresh = json.loads(step("bundle", "new").output)
    tight = {**fresh, "guarantees": [{**GUARANTEE, "count": 2}]}
    (tmp_path / "tight.json").write_text(json.dumps(tight))
    step("bundle", "check", str(tmp_path / "tight.json"))
    zone_b = {"availability_zone": "zone-b", "state": "out", "grace_s": 1}
    out = {**fresh, "availability_zones": [zone_b]}
    file = sign_off(run, tmp_path, out)
    step("bundle", "check", file)
    step("bundle", "diff", file)
    rolled = run("bundle", "roll", file)
    lines.append(f"$ hyssoprill bundle roll ...   # exit {rolled.exit_code}")
    lines.append(rolled.output.splitlines()[-1])
    step("availability-zones")
    step("upstreams")
    step("bundle", "roll", file)
    back = json.loads(step("bundle", "rollback").output)
    rolled = run("bundle", "roll", sign_off(run, tmp_path, back))
    lines.append(f"$ hyssoprill bundle roll ...   # exit {rolled.exit_code}")
    lines.append(rolled.output.splitlines()[-1])
    step("bundle", "history")
    text = re.sub(r"\b(offset )?\b\d+(?=  +\d  +(True|False))", "N", "\n".join(lines))
    file_regression.check(re.sub(r"at offset \d+", "at offset N", text))


def test_check_names_guarantees_that_do_not_fit_with_a_zone_out(run, tmp_path) -> None:
    content = {"version": 2, "parent": 1, "guarantees": [GUARANTEE]}
    (tmp_path / "next.json").write_text(json.dumps(content))
    result = run("bundle", "check", str(tmp_path / "next.json"))
    assert result.exit_code == 3
    assert result.output == (
        "with zone-a out: warehouse cannot be given 2 members of 8 accelerators in "
        "one rack\n"
    )


def test_roll_waits_for_the_verdict_when_the_log_response_is_lost(
    run, cluster, tmp_path
) -> None:
    cluster.switch("log", lose_answers=1)
    file = sign_off(run, tmp_path, {"version": 2, "parent": 1})
    result = run("bundle", "roll", file)
    assert result.exit_code == 0
    assert "no response from the log (" in result.output
    assert "accepted: version 2 is in force everywhere" in result.output


def test_explain_tells_why_a_job_waits(run, cluster) -> None:
    for _ in range(3):
        cluster.submit("crews", shape={"accelerators": 8}, work={"run_s": 30})
    job = cluster.submit("crews", shape={"accelerators": 8}, work={"run_s": 1})
    time.sleep(1.0)
    result = run("explain", job)
    assert result.exit_code == 0
    assert "no_room: no adjacent free room" in result.output
    assert run("explain", "r-unknown").exit_code == 1
    rows = json.loads(run("jobs", "--json").output)
    assert [row["state"] for row in rows] == ["running"] * 3 + ["waiting"]


def test_dump_shows_state_without_secrets(run) -> None:
    for process in ("entry-1", "entry-2", "upstream-1"):
        result = run("dump", process)
        assert json.loads(result.output)["name"] == process
        assert OPERATOR_TOKEN not in result.output
        assert "5f5f" not in result.output
    assert run("dump", "nobody").exit_code == 2


def test_invalid_settings_and_bundles_are_rejected(run, tmp_path) -> None:
    bad = tmp_path / "bad.json"
    bad.write_text('{"entries": ["http://127.0.0.1:1"], "colour": 1}')
    result = CliRunner().invoke(main, ["--settings", str(bad), "upstreams"])
    assert result.exit_code == 2
    assert "remedy" not in result.output
    bad.write_text('{"version": 3, "parent": 1}')
    result = run("bundle", "check", str(bad))
    assert result.exit_code == 1
    assert "version 3 does not follow parent 1; write version 2" in result.output
    key = str(tmp_path / "alice.key")
    bad.write_text('{"version": 2, "parent": 1}')
    signed = run("bundle", "sign", str(bad), "--person", "alice", "--key", key)
    bad.write_text(signed.output)
    again = run("bundle", "sign", str(bad), "--person", "alice", "--key", key)
    assert again.exit_code == 1
    assert "already the author" in again.output


def test_status_shows_processes(run) -> None:
    result = run("bundle", "status")
    assert result.exit_code == 0
    assert "lagging: -" in result.output
