"""Starts a small deployment as separate processes and records what they do.

The programs are started with the commands and templates of the deploy file. Each VM has
a loopback address of its own, so that all use the same ports, as in a deployment.
"""

from __future__ import annotations

import http.client
import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

if TYPE_CHECKING:
    from collections.abc import Callable

ROOT = Path(__file__).resolve().parents[2]
HOST = "jobs.example"
PREFIX = "/lohu930/"
KEY = "key-of-warehouse"
SERVICE = "huvo11a"
READY_TIMEOUT_S = 25.0
TIME_LIMIT_S = 110
"""A case that runs for longer could not run; 120 s are allowed."""
RESTART_S = 2.0
"""A worker that has crashed, or left, is back after this long."""
BOUNDS = {
    "contact_ms": 3000,
    "ack_ms": 4000,
    "drain_ms": 2000,
    "grace_s": 6,
    "config_apply_ms": 2000,
    "revoke_ms": 5000,
    "evacuate_ms": 5000,
    "max_hold_ms": 6000,
    "stop_ms": 400,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "finish_s": 14,
    "status_s": 120,
    "reclaim_ms": 2900,
    "notice_ms": 4500,
}
"""Bounds of the site mtx-hcm, from SYSTEM.md."""
_PLACEHOLDER = re.compile(r"\{\{([a-z_0-9.]+)(\|json)?\}\}")


class Cluster:
    """A store, entries, and VMs with an agent and a worker each.

    Parameters
    ----------
    folder : Path
        Where `record.txt` is written.

    Attributes
    ----------
    keeps_ids : bool
        Whether a worker that starts again does so under the id that it had.
    """

    def __init__(self, folder: Path) -> None:
        self.keeps_ids = False
        self.events: list[dict[str, Any]] = []
        self._began_s = time.monotonic()
        self._record = open(folder / "record.txt", "w")  # noqa: SIM115
        self._lock = threading.Lock()
        self._processes: dict[str, subprocess.Popen[str]] = {}
        self._workers: dict[str, list[str]] = {}
        self._ids: dict[str, str] = {}
        self._closing = False
        self._temp = tempfile.TemporaryDirectory()
        self._deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self._network = f"127.{random.randrange(10, 250)}.{random.randrange(1, 250)}"
        self._last_vm = 0
        self._ports = dict(
            zip(
                ("front", "ready", "control", "app", "wire", "link"),
                free_ports(f"{self._network}.1", 6),
                strict=True,
            )
        )
        self.addresses: dict[str, str] = {}
        self.store = f"127.0.0.1:{free_port('127.0.0.1')}"
        self._store_for_vms = self.store

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_exc_info: object) -> None:
        with self._lock:
            self._closing = True
            processes = list(self._processes.values())
        for process in processes:
            with suppress(ProcessLookupError):
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in processes:
            process.wait()
        self._record.close()
        self._temp.cleanup()

    # The record

    @property
    def now_s(self) -> float:
        """Seconds since the beginning of the run."""
        return time.monotonic() - self._began_s

    def note(self, who: str, event: str, **fields: Any) -> dict[str, Any]:
        """Record what was sent, answered, run or found."""
        line = {"at_s": round(self.now_s, 3), "who": who, "event": event, **fields}
        with self._lock:
            self.events.append(line)
            if not self._record.closed:
                self._record.write(json.dumps(line) + "\n")
                self._record.flush()
        return line

    def find(self, event: str, **fields: Any) -> list[dict[str, Any]]:
        """Return the recorded lines of an event whose fields have these values."""
        with self._lock:
            return [
                line
                for line in self.events
                if line["event"] == event
                and all(line.get(name) == value for name, value in fields.items())
            ]

    # Processes

    def start_store(self, *, proxied: bool = False) -> None:
        """Start the platform's store, behind a proxy if asked, and write a config."""
        port = self.store.rpartition(":")[2]
        if proxied:
            self._store_for_vms = f"127.0.0.1:{free_port('127.0.0.1')}"
            args = ["review/harness/proxy.py", self._store_for_vms, self.store]
            self._spawn("proxy of store", args, {})
        self._spawn(
            "store", ["-m", "standins.platform_store", "--port", port], {}, "src"
        )
        self.wait_until(lambda: self._put_config())

    def _put_config(self) -> bool:
        self.put("config", config())
        return True

    def start_entry(self, name: str, zone: str) -> None:
        """Start an entry."""
        self._start_role(name, "job-entry", "edge", zone)

    def start_vm(self, name: str, zone: str, rack: str, *, proxied: bool) -> None:
        """Start a VM's agent and worker, the latter behind a proxy if asked."""
        self._start_role(name, "job-agent", "side", zone)
        address = self.addresses[name]
        command = ["review/harness/worker.py", "--listen", self._at(address, "app")]
        command += ["--control", self._at(address, "control"), "--service", SERVICE]
        command += ["--zone", zone, "--rack", rack]
        if proxied:
            wire, app = self._at(address, "wire"), self._at(address, "app")
            self._spawn(f"proxy of {name}", ["review/harness/proxy.py", wire, app], {})
            command += ["--address", wire]
        self._workers[name] = command
        self._start_worker(name)

    def _start_role(self, name: str, role: str, where: str, zone: str) -> None:
        address = self._new_address(name)
        spec = self._deploy["roles"][role]
        values = {
            "node": name,
            "zone": zone,
            "ip": address,
            "port_range": [self._ports["link"], self._ports["link"] + 15],
            "listen": {
                one: self._at(address, one) for one in ("front", "ready", "control")
            },
            "platform": {"address": self._store_for_vms, "record_bytes": 262144},
            "bounds": BOUNDS,
        }
        path = Path(self._temp.name) / f"{name}.json"
        path.write_text(fill_template((ROOT / spec["template"]).read_text(), values))
        program, *args = spec["run"].split(" ")
        if (program, spec["on"]) != ("python3", where):
            raise ValueError(f"the deploy file runs {role} in another way")
        self._spawn(name, args, {"HYSSOPRILL_SETTINGS": str(path)})

    def _start_worker(self, name: str) -> None:
        if not self.keeps_ids or name not in self._ids:
            self._ids[name] = f"i-{random.getrandbits(32):08x}"
        command = [*self._workers[name], "--id", self._ids[name]]
        self._spawn(f"worker of {name}", command, {})

    def _spawn(
        self, name: str, args: list[str], env: dict[str, str], *more_paths: str
    ) -> None:
        paths = ["target/deps", *more_paths]
        kept = {one: os.environ[one] for one in ("PATH", "HOME") if one in os.environ}
        with self._lock:
            if self._closing:
                return
            process = subprocess.Popen(
                [sys.executable, *args],
                cwd=ROOT,
                env={**kept, "PYTHONPATH": os.pathsep.join(paths), **env},
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=subprocess.STDOUT,
                text=True,
            )
            self._processes[name] = process
        threading.Thread(target=self._follow, args=(name, process), daemon=True).start()

    def _follow(self, name: str, process: subprocess.Popen[str]) -> None:
        """Record the lines of a process, and start a worker that has ended again."""
        assert process.stdout is not None
        for line in process.stdout:
            with suppress(ValueError):
                fields = json.loads(line)
                if isinstance(fields, dict):
                    self.note(name, str(fields.pop("event", "line")), **fields)
                    continue
            self.note(name, "printed", line=line.rstrip())
        process.wait()
        if name.startswith("worker of ") and not self._closing:
            time.sleep(RESTART_S)
            if not self._closing:
                self._start_worker(name.removeprefix("worker of "))

    def write_line(self, name: str, line: str) -> None:
        """Write a line to the standard input of a stand-in."""
        self.note(name, "switched", line=line)
        stdin = self._processes[name].stdin
        assert stdin is not None
        stdin.write(line + "\n")
        stdin.flush()

    def switch_worker(self, name: str, **switches: Any) -> None:
        """Set switches of a VM's worker."""
        self.write_line(f"worker of {name}", json.dumps(switches))

    def _new_address(self, name: str) -> str:
        self._last_vm += 1
        self.addresses[name] = f"{self._network}.{self._last_vm}"
        return self.addresses[name]

    def _at(self, address: str, port: str) -> str:
        return f"{address}:{self._ports[port]}"

    # Calls

    def put(self, key: str, value: Any) -> None:
        """Write a record as the operator; None removes it."""
        raw_key = key.encode()
        raw = b"" if value is None else json.dumps(value).encode()
        size = 1 + len(raw_key) + len(raw)
        data = size.to_bytes(4, "big") + bytes([len(raw_key)]) + raw_key + raw
        path = "/log-append?topic=keyed.op&part=0"
        status, _body = request(self.store, "POST", path, data)
        if status != 200:
            raise OSError(f"the store answered {status} to the operator")
        self.note("operator", "acknowledged", key=key)

    def switch_store(self, **switches: Any) -> None:
        """Set switches of the store."""
        self.note("store", "switched", **switches)
        request(self.store, "POST", "/switches", json.dumps(switches).encode())

    def call(
        self, entry: str, method: str, path: str, body: Any = None
    ) -> tuple[int, Any]:
        """Call an entry as a client; the status is 0 where no answer came."""
        data = b"" if body is None else json.dumps(body).encode()
        headers = {"Host": HOST, "Key": KEY, "Content-Type": "application/json"}
        front = self._at(self.addresses[entry], "front")
        sent = self.note("client", "sent", entry=entry, method=method, path=path)
        try:
            status, answer = request(
                front, method, PREFIX + path, data, headers, timeout_s=3.0
            )
        except (OSError, http.client.HTTPException) as exc:
            status, answer = 0, str(exc)
        self.note(
            "client",
            "answered",
            entry=entry,
            method=method,
            path=path,
            status=status,
            body=answer,
            sent_s=sent["at_s"],
        )
        return status, answer

    def submit(self, entry: str, job_id: str, spec: Any, *steps: dict[str, Any]) -> int:
        """Submit a job and return the status."""
        body = {"spec": json.dumps(spec), "steps": list(steps)}
        return self.call(entry, "POST", job_id, body)[0]

    def state(self, entry: str, job_id: str) -> str:
        """Return the state that an entry tells of a job, or the status."""
        status, body = self.call(entry, "GET", job_id)
        return body["state"] if status == 200 else str(status)

    # Waiting

    def wait_until(
        self, condition: Callable[[], Any], timeout_s: float = READY_TIMEOUT_S
    ) -> Any:
        """Wait until a condition holds and return its value.

        Raises
        ------
        TimeoutError
            If it does not hold in time.
        """
        end_s = time.monotonic() + timeout_s
        while time.monotonic() < end_s:
            with suppress(OSError, http.client.HTTPException):
                value = condition()
                if value:
                    return value
            time.sleep(0.02)
        raise TimeoutError("a condition did not come to hold in time")

    def wait_ready(self) -> None:
        """Wait until entries are ready and all workers are known to the planner."""
        for name, address in self.addresses.items():
            if name.startswith("edge"):
                ready = self._at(address, "ready")
                self.wait_until(
                    lambda at=ready: request(at, "GET", "/ready", b"")[0] == 200
                )
        self.wait_until(lambda: len(self.find("upstream_found")) >= len(self._workers))
        time.sleep(2.0)


def config(version: int = 4) -> dict[str, Any]:
    """Return an operator's config with one queue and one tenant."""
    return {
        "version": version,
        "routes": [
            {
                "name": "quotes",
                "host": HOST,
                "path_prefix": PREFIX,
                "service": SERVICE,
                "priority": 1,
                "max_attempts": 4,
                "stretch": 3.0,
                "target_latency_ms": 1000,
            }
        ],
        "services": [{"name": SERVICE}],
        "tenants": [{"name": "warehouse", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
        "limits": {"max_body_bytes": 262_144},
    }


def fill_template(text: str, values: dict[str, Any]) -> str:
    """Fill the placeholders of a settings template, as DEPLOY tells."""

    def value_of(match: re.Match[str]) -> str:
        found: Any = values
        for part in match[1].split("."):
            found = found[int(part)] if isinstance(found, list) else found[part]
        return json.dumps(found) if match[2] else str(found)

    return _PLACEHOLDER.sub(value_of, text)


def free_port(host: str) -> int:
    """Return a port of an address that is free now."""
    while True:
        port = random.randrange(12_000, 30_000)
        with socket.socket() as sock, suppress(OSError):
            sock.bind((host, port))
            return port


def free_ports(host: str, count: int) -> list[int]:
    """Return different ports of an address that are free now."""
    found: set[int] = set()
    while len(found) < count:
        found.add(free_port(host))
    return sorted(found)


def request(
    address: str,
    method: str,
    path: str,
    data: bytes,
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = 5.0,
) -> tuple[int, Any]:
    """Make one call and return the status and the decoded body."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(method, path, data, headers or {})
        resp = conn.getresponse()
        raw = resp.read()
        try:
            return resp.status, json.loads(raw) if raw else None
        except ValueError:
            return resp.status, raw.decode(errors="replace")
    finally:
        conn.close()


def run_case(folder: Path, case: Callable[[Cluster, bool], str]) -> int:
    """Run a case and return the exit code.

    Parameters
    ----------
    case : callable
        Gets the cluster, and whether to make trouble; returns how the rule was broken,
        or '' where it held.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    for number in (signal.SIGALRM, signal.SIGTERM, signal.SIGINT):
        signal.signal(number, _interrupt)
    signal.alarm(TIME_LIMIT_S)
    try:
        with Cluster(folder) as cluster:
            broken = case(cluster, has_trouble)
            cluster.note("case", "judged", broken=broken, trouble=has_trouble)
    except Exception as exc:  # noqa: BLE001 - any failure means that it could not run
        print(f"the case could not run: {exc!r}")
        return 2
    print(broken or "the rule held")
    return 1 if broken else 0


def _interrupt(number: int, _frame: object) -> None:
    """End the case as one that could not run, with all of its processes."""
    raise RuntimeError(f"interrupted by {signal.Signals(number).name}")


__all__ = ["BOUNDS", "Cluster", "config", "run_case"]
