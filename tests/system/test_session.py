"""The HTTP answers of a caller's session, and the refusal of invalid input.

The session is compared with a golden file.
"""

from __future__ import annotations

import json
import re
import socket
import urllib.error
import urllib.request
from typing import TYPE_CHECKING, Any

import pynng
import pytest
from standins.local_cluster import OPERATOR_TOKEN, call, caller_token, wait_until

if TYPE_CHECKING:
    from standins.local_cluster import LocalCluster

TOKEN = caller_token("crews")


def normalised_json(value: Any) -> str:
    """Return JSON text in which ids that differ between runs are replaced."""
    text = json.dumps(value, indent=1)
    text = re.sub(r"~\d{13}[0-9a-f]{6}", "~ATTEMPT", text)
    return re.sub(r"\b([rk])-[0-9a-f]{16,24}\b", r"\1-ID", text)


def test_callers_session(cluster: LocalCluster, file_regression) -> None:
    base = cluster["entry-1"].url
    lines = []

    def call_and_record(
        method: str, path: str, body: Any = None, token: str = TOKEN
    ) -> Any:
        status, answer = call(method, base + path, body, token=token, timeout_s=30)
        shown = re.sub(r"\b([rk])-[0-9a-f]{16,24}\b", r"\1-ID", path)
        lines.append(f"> {method} {shown} {json.dumps(body) if body else ''}".rstrip())
        lines.append(f"< {status} {normalised_json(answer)}")
        return answer

    crews = {"workspace": "crews"}
    call_and_record("GET", "/health")
    call_and_record("POST", "/v1/requests", {**crews, "work": {"echo": "roof 7"}})
    gang = {"members": 2, "accelerators": 8, "adjacent": "rack"}
    call_and_record(
        "POST", "/v1/requests", {**crews, "shape": gang, "work": {"echo": "survey"}}
    )
    once = {**crews, "idempotent": False, "key": "order-1", "work": {"echo": "tin"}}
    call_and_record("POST", "/v1/requests", once)
    call_and_record("POST", "/v1/requests", once)
    call_and_record("POST", "/v1/requests", {**crews, "work": {"fail": True}})
    job = call_and_record(
        "POST", "/v1/jobs", {**crews, "work": {"echo": 2, "run_s": 0.1}}
    )["id"]
    call_and_record("GET", f"/v1/jobs/{job}?wait_s=10")
    job = call_and_record("POST", "/v1/jobs", {**crews, "work": {"run_s": 60}})["id"]
    cluster.job("crews", job, wait_s=0.5)
    call_and_record("DELETE", f"/v1/jobs/{job}")
    call_and_record("GET", f"/v1/jobs/{job}?wait_s=10")
    call_and_record("GET", f"/v1/jobs/{job}", token=caller_token("warehouse"))
    call_and_record("POST", "/v1/requests", {**crews, "shape": {"accelerators": 9}})
    file_regression.check("\n".join(lines) + "\n")


@pytest.mark.parametrize(
    ("body", "status", "code", "field"),
    [
        (b"{", 400, "not_json", "(body)"),
        (b"[1]", 400, "invalid_request", "(top level)"),
        (b'{"workspace": "crews", "colour": 1}', 400, "invalid_request", "(top level)"),
        (
            b'{"workspace": "crews", "shape": {"members": 0}}',
            400,
            "invalid_request",
            "shape.members",
        ),
        (b'{"workspace": "nobody"}', 400, "unknown_workspace", "workspace"),
        (
            b'{"workspace": "crews", "idempotent": false}',
            400,
            "invalid_request",
            "key",
        ),
    ],
)
def test_request_is_refused_when_its_body_is_invalid(
    bare_cluster: LocalCluster, body: bytes, status: int, code: str, field: str
) -> None:
    entry = bare_cluster.start_entry("entry-1")
    headers = {"Authorization": f"Bearer {TOKEN}"}
    req = urllib.request.Request(f"{entry.url}/v1/requests", body, headers)
    with pytest.raises(urllib.error.HTTPError) as caught:
        urllib.request.urlopen(req, timeout=10)
    error = json.loads(caught.value.read())["error"]
    assert (caught.value.code, error["code"], error["field"]) == (status, code, field)
    assert error["remedy"]


def test_request_is_refused_when_its_shape_never_fits(cluster) -> None:
    body = {"workspace": "crews", "shape": {"members": 2, "accelerators": 9}}
    url = f"{cluster['entry-1'].url}/v1/requests"
    status, answer = call("POST", url, body, token=TOKEN, timeout_s=30)
    assert status == 422
    assert (answer["error"]["code"], answer["error"]["field"]) == (
        "never_fits",
        "shape",
    )
    assert answer["outcome"]["status"] == "not_run"


def test_operator_calls_are_refused_when_token_is_wrong(
    bare_cluster: LocalCluster,
) -> None:
    entry = bare_cluster.start_entry("entry-1")
    for path in ("status", "upstreams", "dump", "bundle", "explain/r-1"):
        url = f"{entry.url}/v1/operator/{path}"
        for token in ("", "wrong", TOKEN):
            status, answer = call("GET", url, token=token)
            assert status == 401
            assert set(answer) == {"error"}
    assert call("GET", f"{entry.url}/metrics", token=OPERATOR_TOKEN)[0] == 200
    assert call("GET", f"{entry.url}/metrics")[0] == 401


def test_invalid_data_on_the_link_port_fails_no_request(cluster: LocalCluster) -> None:
    entry = cluster["entry-1"]
    host, _, port = entry.info["link_url"].rpartition("/")[2].rpartition(":")
    with socket.create_connection((host, int(port)), timeout=5) as conn:
        conn.sendall(b"garbage" * 50)
        assert cluster.request("crews", entry)["outcome"]["status"] == "done"
    with pynng.Pair1(polyamorous=True) as sock:
        sock.dial(entry.info["link_url"], block=True)
        sock.send(b"garbage" * 50)
        assert cluster.request("crews", entry)["outcome"]["status"] == "done"
    wait_until(lambda: dropped_frame_count(cluster) == 1, 5)


def dropped_frame_count(cluster: LocalCluster) -> int:
    counters = cluster.operator("dump", cluster["entry-1"])["counters"]
    return counters.get("frames_dropped", 0)
