"""Starts store, workers, agents and entries of durable jobs as processes."""

from __future__ import annotations

import http.client
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parent.parent
CLUSTER_KEY = "6e" * 32
OPERATOR_TOKEN = "operators-of-the-stand-in"
KEY = "key-of-warehouse"
HOST = "jobs.example"
PREFIX = "/quotes/"
READY_TIMEOUT_S = 20.0
FIRST_PORT = 10_000
PORTS_OF_A_PROCESS = 2_750
PROCESSES = 8
"""Test processes that run side by side take their ports from ranges of their own."""

_reservations: list[socket.socket] = []


def free_port() -> int:
    """Return a port of the loopback address that is free now.

    It lies below those that the system gives to outgoing connections, which would
    take it before the process that it is for has bound it. Until this process ends, a
    datagram socket keeps it from test processes of other checkouts, which draw from the
    same ranges.
    """
    first = FIRST_PORT + os.getpid() % PROCESSES * PORTS_OF_A_PROCESS
    while True:
        address = "127.0.0.1", random.randrange(first, first + PORTS_OF_A_PROCESS)
        reservation = socket.socket(type=socket.SOCK_DGRAM)
        try:
            reservation.bind(address)
            with socket.socket() as sock:
                sock.bind(address)
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return address[1]


def config(version: int = 1, **fields: Any) -> dict[str, Any]:
    """Return an operator's config with one queue and one tenant."""
    route = {
        "name": "quotes",
        "host": HOST,
        "path_prefix": PREFIX,
        "service": "service-a",
        "priority": 1,
        "max_attempts": 2,
        "stretch": 3.0,
        "target_latency_ms": 1000,
    }
    tenant = {"name": "warehouse", "api_keys": [KEY], "guaranteed": {"gpu": 8}}
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "service-a"}],
        "tenants": [tenant],
        "limits": {"max_body_bytes": 100_000},
        **fields,
    }


class JobCluster:
    """Processes by name; all end with the context."""

    def __init__(self) -> None:
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self._commands: dict[str, list[str]] = {}
        self._folder = tempfile.TemporaryDirectory()
        self.store_port = free_port()
        self.fronts: dict[str, int] = {}
        self.ready_ports: dict[str, int] = {}
        self.metrics_ports: dict[str, int] = {}
        self.workers: dict[str, int] = {}
        self.controls: dict[str, int] = {}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_exc_info: object) -> None:
        for process in self._processes.values():
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._folder.cleanup()

    # Processes

    def start_store(self) -> None:
        """Start the store with a first config."""
        command = ["-m", "standins.platform_store", "--port", str(self.store_port)]
        self._start("store", command)
        self.wait_until(lambda: self.switch_store() is not None)
        self.put("config", config())

    def start_entry(self, name: str) -> None:
        """Start an entry."""
        self.fronts[name] = free_port()
        self.ready_ports[name] = free_port()
        self._start_role(
            name,
            {
                "role": "job-entry",
                "link_port": free_port(),
                "callers_address": f"127.0.0.1:{self.fronts[name]}",
                "readiness_address": f"127.0.0.1:{self.ready_ports[name]}",
                "bounds": {"key_revocation_ms": 5000, "stop_grace_s": 3.0},
                "operator_token": OPERATOR_TOKEN,
            },
        )

    def start_vm(self, name: str, rack: str = "r1") -> None:
        """Start a worker and its agent."""
        worker, control = free_port(), free_port()
        self.workers[name] = worker
        self.controls[name] = control
        self._start_role(
            name,
            {
                "role": "job-agent",
                "check_in_address": f"127.0.0.1:{control}",
                "max_lease_ms": 6000,
            },
        )
        command = ["-m", "standins.platform_worker", "--port", str(worker)]
        command += ["--control", f"127.0.0.1:{control}", "--rack", rack]
        self._start(f"worker of {name}", command)

    def _start_role(self, name: str, fields: dict[str, Any]) -> None:
        path = Path(self._folder.name) / f"{name}.json"
        self.metrics_ports[name] = free_port()
        settings = {
            "name": name,
            "availability_zone": "zone-a",
            "cluster_key": CLUSTER_KEY,
            "address": "127.0.0.1",
            "metrics_port": self.metrics_ports[name],
            "store": {"address": f"127.0.0.1:{self.store_port}"},
            **fields,
        }
        path.write_text(json.dumps(settings))
        self._start(name, ["platform/run.py"], HYSSOPRILL_SETTINGS=str(path))

    def _start(self, name: str, command: list[str], **env: str) -> None:
        self._commands[name] = command
        log = open(Path(self._folder.name) / f"{name}.log", "ab")  # noqa: SIM115
        with log:
            self._processes[name] = subprocess.Popen(
                [sys.executable, *command],
                cwd=ROOT,
                env={**os.environ, **env},
                stdout=log,
                stderr=log,
            )

    def settings_path(self, name: str) -> Path:
        """Return the settings file of a role."""
        return Path(self._folder.name) / f"{name}.json"

    def log_lines(self, name: str) -> list[dict[str, Any]]:
        """Return the decision lines of a role."""
        lines = (Path(self._folder.name) / f"{name}.log").read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith("{")]

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a process of this cluster."""
        self._processes[name].send_signal(number)

    def wait_for_exit(self, name: str, timeout_s: float = 10.0) -> int:
        """Wait until a process has ended and return its exit code."""
        return self._processes[name].wait(timeout_s)

    def kill_and_restart(self, *names: str) -> None:
        """Kill processes at once and start them again."""
        for name in names:
            self._processes[name].kill()
        for name in names:
            self._processes[name].wait()
        for name in names:
            path = self.settings_path(name)
            self._start(name, self._commands[name], HYSSOPRILL_SETTINGS=str(path))

    # Calls

    def call(
        self,
        entry: str,
        method: str,
        path: str,
        body: Any = None,
        *,
        key: str = KEY,
        host: str = HOST,
        raw: bytes | None = None,
        timeout_s: float = 5.0,
    ) -> tuple[int, Any]:
        """Call an entry as a client and return status and decoded body."""
        data = raw if raw is not None else b""
        if body is not None:
            data = json.dumps(body).encode()
        headers = {"Host": host, "Key": key}
        port = self.fronts[entry]
        return request(port, method, path, data, headers, timeout_s=timeout_s)

    def submit(
        self, entry: str, job_id: str, *steps: dict[str, Any], **work: Any
    ) -> int:
        """Submit a job and return the status."""
        body = {"spec": json.dumps(work), "steps": list(steps) or [{"gpu": 1}]}
        return self.call(entry, "POST", PREFIX + job_id, body)[0]

    def state(self, entry: str, job_id: str) -> str:
        """Return the state that an entry tells of a job."""
        status, body = self.call(entry, "GET", PREFIX + job_id)
        return body["state"] if status == 200 else str(status)

    def put(self, key: str, value: Any) -> None:
        """Write a record as the operator."""
        self.append("keyed.op", key.encode(), json.dumps(value).encode())

    def append(self, topic: str, key: bytes, value: bytes) -> None:
        """Append a record to a topic as any writer may."""
        size = 1 + len(key) + len(value)
        data = size.to_bytes(4, "big") + bytes([len(key)]) + key + value
        path = f"/log-append?topic={topic}&part=0"
        assert request(self.store_port, "POST", path, data)[0] == 200

    def switch_store(self, **switches: Any) -> Any:
        """Set switches of the store; return its counters, None while it is not up."""
        return _switch(self.store_port, switches)

    def switch_worker(self, name: str, **switches: Any) -> Any:
        """Set switches of a worker; return its record."""
        return _switch(self.workers[name], switches)

    def starts(self, name: str) -> list[tuple[str, int]]:
        """Return the runs that a worker has started, in order."""
        record = self.switch_worker(name)["record"]
        return [(row[1], row[2]) for row in record if row[0] == "start"]

    def wait_until(
        self, condition: Callable[[], Any], timeout_s: float = READY_TIMEOUT_S
    ) -> Any:
        """Wait until a condition holds and return its value.

        Raises
        ------
        TimeoutError
            Where it does not hold in time.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            with suppress(OSError, http.client.HTTPException):
                value = condition()
                if value:
                    return value
            time.sleep(0.02)
        raise TimeoutError(f"the condition did not come to hold; {self._ended()}")

    def _ended(self) -> str:
        """Return which processes have ended, with the last line that each wrote."""
        found = []
        for name, process in self._processes.items():
            if process.poll() is not None:
                log = (Path(self._folder.name) / f"{name}.log").read_text()
                found.append(f"{name} ended: {log.strip().rpartition(chr(10))[2]}")
        return "; ".join(found) or "all processes run"

    def wait_ready(self) -> None:
        """Wait until entries are ready, agents take check-ins and workers listen."""
        for port in self.ready_ports.values():
            self.wait_until(
                lambda port=port: request(port, "GET", "/ready", b"")[0] == 200
            )
        for port in self.controls.values():
            self.wait_until(lambda port=port: request(port, "GET", "/", b"")[0] == 404)
        for name in self.workers:
            self.wait_until(lambda name=name: self.switch_worker(name) is not None)


def request(
    port: int,
    method: str,
    path: str,
    data: bytes,
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = 5.0,
) -> tuple[int, Any]:
    """Make one call and return status and decoded body."""
    conn = http.client.HTTPConnection("127.0.0.1", port, timeout=timeout_s)
    try:
        conn.request(method, path, data, headers or {})
        resp = conn.getresponse()
        raw = resp.read()
        try:
            return resp.status, json.loads(raw) if raw else None
        except ValueError:
            return resp.status, raw
    finally:
        conn.close()


def _switch(port: int, switches: dict[str, Any]) -> Any:
    return request(port, "POST", "/switches", json.dumps(switches).encode())[1]


__all__ = ["HOST", "KEY", "PREFIX", "JobCluster", "config", "request"]
