"""Starts log, workers, agents and entries as processes on loopback."""

from __future__ import annotations

import json
import os
import secrets
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from contextlib import suppress
from pathlib import Path
from typing import Any, Self

from nacl.signing import SigningKey

from hyssoprill.protocol.bundle import SignedBundle, sign_bundle

OPERATOR_TOKEN = "operator-token-0123456789"
CLUSTER_KEY = "5f" * 32
PEOPLE = {"alice": SigningKey(b"a" * 32), "bob": SigningKey(b"b" * 32)}
READY_TIMEOUT_S = 20.0


def public_keys() -> list[dict[str, str]]:
    """Return the trusted keys for settings files."""
    return [
        {"person": name, "public_key": bytes(key.verify_key).hex()}
        for name, key in PEOPLE.items()
    ]


def caller_token(workspace: str) -> str:
    """Return the caller token of a workspace."""
    return f"token-of-{workspace}-0123456789"


def signed_bundle(bundle: dict[str, Any]) -> dict[str, Any]:
    """Return a bundle signed by two people, ready for the log."""
    content = json.dumps(bundle)
    author = sign_bundle(content, "alice", PEOPLE["alice"])
    approver = sign_bundle(content, "bob", PEOPLE["bob"])
    signed = SignedBundle(content, author, approver)
    return {
        "content": signed.content,
        "author": {"person": "alice", "signature": signed.author.signature},
        "approver": {"person": "bob", "signature": signed.approver.signature},
    }


def call(
    method: str,
    url: str,
    body: Any = None,
    *,
    token: str = "",
    timeout_s: float = 10.0,
) -> tuple[int, Any]:
    """Make one HTTP call and return the status with the decoded answer.

    Raises
    ------
    OSError
        Where no answer came.
    """
    data = None if body is None else json.dumps(body).encode()
    headers = {"Authorization": f"Bearer {token}"} if token else {}
    req = urllib.request.Request(url, data=data, method=method, headers=headers)
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as resp:
            return resp.status, _decode(resp.read())
    except urllib.error.HTTPError as exc:
        return exc.code, _decode(exc.read())


def _decode(raw: bytes) -> Any:
    try:
        return json.loads(raw or b"null")
    except json.JSONDecodeError:
        return raw.decode()


class Process:
    """A process that this program started, and its addresses."""

    def __init__(self, name: str, args: list[str], folder: Path) -> None:
        self.name = name
        self.args = args
        self._log = (folder / f"{name}.log").open("ab")
        self._popen = subprocess.Popen(
            args, stdout=subprocess.PIPE, stderr=self._log, stdin=subprocess.DEVNULL
        )
        self._info: dict[str, Any] = {}

    @property
    def info(self) -> dict[str, Any]:
        """What it printed at its start, waiting for it if needed."""
        if not self._info:
            line = self._popen.stdout.readline()
            if not line:
                raise RuntimeError(f"{self.name} did not start; see its log")
            self._info = json.loads(line)
        return self._info

    @property
    def url(self) -> str:
        """Its HTTP address."""
        port = self.info.get("port")
        return f"http://127.0.0.1:{port}" if port else self.info["http_url"]

    @property
    def pid(self) -> int:
        """Process id."""
        return self._popen.pid

    @property
    def is_running(self) -> bool:
        """Whether it has not ended."""
        return self._popen.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal."""
        if self.is_running:
            self._popen.send_signal(number)

    def kill(self) -> None:
        """End it at once."""
        self.signal(signal.SIGKILL)
        self._popen.wait()
        self._close()

    def stop(self, timeout_s: float = 15.0) -> int:
        """Ask it to stop, and return its exit code."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGTERM)
        try:
            return self._popen.wait(timeout_s)
        except subprocess.TimeoutExpired:
            self.kill()
            return -signal.SIGKILL
        finally:
            self._close()

    def _close(self) -> None:
        self._popen.stdout.close()
        self._log.close()


class LocalCluster:
    """A whole system of processes; ends them all on exit.

    Parameters
    ----------
    workspaces : list of str
        Workspaces that get caller tokens.
    """

    def __init__(self, workspaces: list[str], *, log_retention_s: float = 3600) -> None:
        self.workspaces = workspaces
        self.log_retention_s = log_retention_s
        self.processes: dict[str, Process] = {}
        self.zones: dict[str, tuple[str, str]] = {}
        self._temp = tempfile.TemporaryDirectory(prefix="hyssoprill-")
        self.folder = Path(self._temp.name)
        self.version = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_exc_info: object) -> None:
        for process in self.processes.values():
            with suppress(ProcessLookupError):
                process.signal(signal.SIGCONT)
                process.kill()
        if os.environ.get("HYSSOPRILL_KEEP_LOGS"):
            self._temp._finalizer.detach()
        else:
            self._temp.cleanup()

    def __getitem__(self, name: str) -> Process:
        return self.processes[name]

    # Starting processes

    def start_log(self, *options: str) -> Process:
        """Start the log stand-in."""
        return self._start("log", [sys.executable, "-m", "standins.log", *options])

    def start_worker(self, number: int, zone: str, rack: str, *options: str) -> Process:
        """Start a worker stand-in."""
        self.zones[f"upstream-{number}"] = (zone, rack)
        name = f"worker-{number}"
        args = [sys.executable, "-m", "standins.worker", *options]
        return self._start(name, args)

    def start_agent(self, number: int, **more: Any) -> Process:
        """Start the agent beside a worker."""
        name = f"upstream-{number}"
        zone, rack = self.zones[name]
        settings = {
            "role": "agent",
            "name": name,
            "region": "here",
            "availability_zone": zone,
            "rack": rack,
            "cluster_key": CLUSTER_KEY,
            "operator_token": OPERATOR_TOKEN,
            "worker_url": self[f"worker-{number}"].url,
            "log_url": self["log"].url,
            "trusted_keys": public_keys(),
            "seeds": self.link_urls(),
            "logging": {"format": "text"},
            **more,
        }
        return self._start_daemon(name, settings)

    def start_upstream(self, number: int, zone: str, rack: str, *options: str) -> None:
        """Start a worker and its agent."""
        self.start_upstreams([(number, zone, rack)], *options)

    def start_upstreams(
        self, places: list[tuple[int, str, str]], *options: str
    ) -> None:
        """Start workers and their agents, many at a time."""
        for number, zone, rack in places:
            self.start_worker(number, zone, rack, *options)
        for number, _, _ in places:
            self.start_agent(number)

    def start_entry(self, name: str, **more: Any) -> Process:
        """Start an entry."""
        settings = {
            "role": "entry",
            "name": name,
            "region": "here",
            "availability_zone": "zone-a",
            "cluster_key": CLUSTER_KEY,
            "operator_token": OPERATOR_TOKEN,
            "log_url": self["log"].url,
            "trusted_keys": public_keys(),
            "callers": [
                {"workspace": one, "token": caller_token(one)}
                for one in self.workspaces
            ],
            "seeds": self.link_urls(),
            "log_retention_s": self.log_retention_s,
            "logging": {"format": "text"},
            **more,
        }
        return self._start_daemon(name, settings)

    def link_urls(self) -> list[str]:
        """Return the link addresses of the running entries."""
        return [process.info["link_url"] for process in self.entries()]

    def entries(self) -> list[Process]:
        """Return the running entries."""
        return [
            process
            for name, process in self.processes.items()
            if name.startswith("entry") and process.is_running
        ]

    def _start_daemon(self, name: str, settings: dict[str, Any]) -> Process:
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return self._start(name, [sys.executable, "-m", "hyssoprill.daemon", str(path)])

    def _start(self, name: str, args: list[str]) -> Process:
        process = Process(name, args, self.folder)
        self.processes[name] = process
        return process

    # Using the system

    def operator(self, path: str, entry: Process | None = None) -> Any:
        """Return what an operator's call answers."""
        entry = entry or self.entries()[0]
        url = f"{entry.url}/v1/operator/{path}"
        status, body = call("GET", url, token=OPERATOR_TOKEN)
        if status != 200:
            raise RuntimeError(f"{path}: {status} {body}")
        return body

    def request(
        self, workspace: str, entry: Process | None = None, **body: Any
    ) -> dict[str, Any]:
        """Send a request and return the answer."""
        entry = entry or self.entries()[0]
        timeout_s = body.pop("timeout_s", 60.0)
        _, answer = call(
            "POST",
            f"{entry.url}/v1/requests",
            {"workspace": workspace, **body},
            token=caller_token(workspace),
            timeout_s=timeout_s,
        )
        return answer

    def submit(self, workspace: str, entry: Process | None = None, **body: Any) -> str:
        """Send a long job and return its id."""
        entry = entry or self.entries()[0]
        status, answer = call(
            "POST",
            f"{entry.url}/v1/jobs",
            {"workspace": workspace, **body},
            token=caller_token(workspace),
        )
        if status != 202:
            raise RuntimeError(f"job not accepted: {status} {answer}")
        return answer["id"]

    def job(self, workspace: str, job_id: str, *, wait_s: float = 0) -> dict[str, Any]:
        """Return the state of a job."""
        entry = self.entries()[0]
        _, answer = call(
            "GET",
            f"{entry.url}/v1/jobs/{job_id}?wait_s={wait_s}",
            token=caller_token(workspace),
            timeout_s=wait_s + 10,
        )
        return answer

    def cancel(self, workspace: str, job_id: str) -> None:
        """Cancel a request or job."""
        url = f"{self.entries()[0].url}/v1/jobs/{job_id}"
        call("DELETE", url, token=caller_token(workspace))

    def healthy_entry(self) -> Process:
        """Return an entry to which the balancer would send a request."""
        give_up_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < give_up_s:
            for entry in self.entries():
                with suppress(OSError):
                    if call("GET", f"{entry.url}/health", timeout_s=1)[0] == 200:
                        return entry
            time.sleep(0.05)
        raise TimeoutError("no entry is healthy")

    def roll(self, **content: Any) -> str:
        """Publish the next bundle version; return its record id."""
        self.version += 1
        bundle = {"version": self.version, "parent": self.version - 1, **content}
        return self.publish(signed_bundle(bundle))

    def publish(self, signed: dict[str, Any]) -> str:
        """Append a signed bundle to the log."""
        record = {"id": secrets.token_hex(8), "stream": "bundle", "body": signed}
        status, answer = call(
            "POST", f"{self['log'].url}/v1/append", {"records": [record]}
        )
        if status != 200:
            raise RuntimeError(f"log refused: {answer}")
        return record["id"]

    def wait_for_version(self, version: int, timeout_s: float = 20.0) -> float:
        """Wait until a bundle is in force everywhere; return the seconds it took."""
        return wait_until(lambda: self._is_in_force(version), timeout_s)

    def wait_ready(self, upstreams: int, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until the coordinator may place work on that many upstreams."""
        wait_until(lambda: self._open_upstreams() >= upstreams, timeout_s)

    def switch(self, name: str, **switches: Any) -> None:
        """Set switches of a stand-in."""
        call("POST", f"{self[name].url}/v1/switches", switches)

    def record(self, number: int) -> list[dict[str, Any]]:
        """Return a worker's own record of what it did."""
        return call("GET", f"{self[f'worker-{number}'].url}/v1/record")[1]["record"]

    def records(self) -> dict[str, list[dict[str, Any]]]:
        """Return the records of all running workers by upstream."""
        found = {}
        for name in self.zones:
            number = int(name.rpartition("-")[2])
            if self[f"worker-{number}"].is_running:
                found[name] = self.record(number)
        return found

    def coordinator(self) -> Process:
        """Return the entry that coordinates."""
        return self[self.operator("status")["coordinator"]]

    def _is_in_force(self, version: int) -> bool:
        processes = self.operator("status")["processes"]
        return all(
            one["bundle_version"] >= version for one in processes if one["silent_s"] < 5
        )

    def _open_upstreams(self) -> int:
        rows = self.operator("upstreams")
        return sum(not row["closed"] for row in rows)


def wait_until(condition: Any, timeout_s: float) -> float:
    """Wait until a condition holds; return the seconds it took.

    Raises
    ------
    TimeoutError
        Where it does not hold in time.
    """
    began = time.monotonic()
    while True:
        try:
            if condition():
                return time.monotonic() - began
        except (OSError, RuntimeError):
            pass
        if time.monotonic() - began > timeout_s:
            raise TimeoutError("the condition did not come to hold")
        time.sleep(0.05)


__all__ = [
    "LocalCluster",
    "Process",
    "call",
    "caller_token",
    "public_keys",
    "signed_bundle",
    "wait_until",
]
