"""Starts a small deployment on loopback addresses, and records what it does.

The programs are started with the commands and the settings templates of the deploy
file; each machine has a loopback address of its own. Store and workers are stand-ins.
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
from pathlib import Path
from typing import TYPE_CHECKING, Any, Self

if TYPE_CHECKING:
    from collections.abc import Callable

HERE = Path(__file__).resolve().parent
ROOT = HERE.parent.parent
KEY = "key-of-warehouse"
HOST = "jobs.example"
PREFIX = "/quotes/"
FRONT, READY, CONTROL, APP, STORE, LINK = 8521, 8523, 8526, 8080, 8524, 7000
ZONES = ("zone-1", "zone-2", "zone-3")
CLIENT_DELAY_S = 0.006
"""Time of a client between an answer and the arrival of its next call: 3 ms each way,
as on the sheets in SYSTEM."""
MAX_RUN_S = 110
BROKEN, HELD, NOT_RUN = 1, 0, 2

BOUNDS = {
    "contact_ms": 3000,
    "grace_s": 6,
    "revoke_ms": 5000,
    "config_apply_ms": 2000,
    "evacuate_ms": 5000,
    "max_hold_ms": 6000,
    "stop_ms": 400,
    "cancel_ms": 3000,
    "visible_ms": 3000,
    "status_s": 120,
    "checkpoint_s": 2,
    "restore_ms": 250,
    "reclaim_ms": 2900,
}
"""The bounds of the small deployments, as far as the templates and the cases use them;
from SYSTEM."""


class CannotRunError(Exception):
    """The case could not be run; this says nothing of the rule."""


def has_trouble() -> bool:
    """Return whether the case runs with its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def job_id(number: int) -> str:
    """Return the id of a job."""
    return f"{number:016x}"


def task_of(number: int) -> str:
    """Return the name of the only task of a job with one step of one task."""
    return f"{job_id(number)}.0.0.0"


class Forwarder:
    """Forwards connections to an address, and drops all bytes while it is cut."""

    def __init__(self, address: str, target: str) -> None:
        self._target = target
        self._is_cut = False
        self._open: set[socket.socket] = set()
        host, _, port = address.rpartition(":")
        self._listener = socket.create_server((host, int(port)))
        threading.Thread(target=self._accept, daemon=True).start()

    def set_cut(self, *, is_cut: bool) -> None:
        """Cut, or heal the cut; connections that lost bytes stay silent for good."""
        self._is_cut = is_cut

    def close(self) -> None:
        """Close all connections."""
        self._is_cut = True
        self._listener.close()
        for sock in list(self._open):
            sock.close()

    def _accept(self) -> None:
        while True:
            try:
                near, _peer = self._listener.accept()
            except OSError:
                return
            self._open.add(near)
            threading.Thread(target=self._connect, args=(near,), daemon=True).start()

    def _connect(self, near: socket.socket) -> None:
        while self._is_cut:
            time.sleep(0.02)
        host, _, port = self._target.rpartition(":")
        try:
            far = socket.create_connection((host, int(port)), timeout=3.0)
            far.settimeout(None)
        except OSError:
            near.close()
            return
        self._open.add(far)
        for source, sink in ((near, far), (far, near)):
            args = (source, sink)
            threading.Thread(target=self._pump, args=args, daemon=True).start()

    def _pump(self, source: socket.socket, sink: socket.socket) -> None:
        is_silent = False
        try:
            while chunk := source.recv(65536):
                is_silent |= self._is_cut
                if not is_silent:
                    sink.sendall(chunk)
        except OSError:
            pass
        for sock in (source, sink):
            if not is_silent:
                sock.close()
            self._open.discard(sock)


class Lab:
    """A deployment of entries and side machines, with a store.

    Parameters
    ----------
    folder : Path
        Folder of the case; `record.txt` is written there.
    entries, sides : int
        Number of machines of each class.
    """

    def __init__(self, folder: Path, *, entries: int, sides: int) -> None:
        self.record_path = folder / "record.txt"
        self.record_path.write_text("")
        self._processes: list[subprocess.Popen[bytes]] = []
        self._temporary = tempfile.TemporaryDirectory()
        self._folder = Path(self._temporary.name)
        self._gangs = self._folder / "gangs"
        self._gangs.mkdir()
        self._net = _free_net()
        self.store = f"{self._net}.1:{STORE}"
        self.store_of_cuttable = f"{self._net}.3:{STORE}"
        self._forwarders: list[Forwarder] = []
        self.entries = {f"edge-{n}": f"{self._net}.{10 + n}" for n in range(entries)}
        self.sides = {f"side-{n}": f"{self._net}.{50 + n}" for n in range(sides)}

    def __enter__(self) -> Self:
        return self

    def __exit__(self, *_exc_info: object) -> None:
        for forwarder in self._forwarders:
            forwarder.close()
        for process in self._processes:
            process.kill()
        for process in self._processes:
            process.wait()
        self._temporary.cleanup()

    # Processes

    def start(
        self, config: dict[str, Any] | None = None, *, cuttable: str = ""
    ) -> None:
        """Start everything and wait until all of it serves.

        Parameters
        ----------
        cuttable : str
            Name of a side machine that `cut` can cut off from entries and store.
        """
        store = [sys.executable, str(HERE / "store.py"), self.store]
        if cuttable:
            store += self._start_forwarders()
        self._spawn("store", store)
        self.wait_for("the store", lambda: self.switch(self.store) is not None)
        self.put("config", config or make_config())
        roles = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]
        entries = list(self.entries)
        # The links of a machine that can be cut off lead through forwarders only if it
        # has found the planner by itself, and not by what another entry told it.
        first = entries[:1] if cuttable else entries
        self._start_entries(roles["job-entry"], first)
        for number, (name, ip) in enumerate(self.sides.items()):
            zone = ZONES[number % len(ZONES)]
            seen = self.store_of_cuttable if name == cuttable else self.store
            self._start_role(roles["job-agent"], name, ip, "side", zone, seen)
            cfg = {
                "name": name.replace("side", "worker"),
                "app": f"{ip}:{APP}",
                "control": f"{ip}:{CONTROL}",
                "zone": zone,
                "rack": f"r{number // 3}",
                "record": str(self.record_path),
                "gangs": str(self._gangs),
            }
            command = [sys.executable, str(HERE / "worker.py"), json.dumps(cfg)]
            self._spawn(cfg["name"], command)
        for name, ip in self.sides.items():
            address = f"{ip}:{APP}"
            self.wait_for(name, lambda address=address: self.switch(address))
        self._serve_first_job()
        self._start_entries(roles["job-entry"], [n for n in entries if n not in first])

    def _start_entries(self, role: dict[str, Any], names: list[str]) -> None:
        for name in names:
            zone = ZONES[list(self.entries).index(name) % len(ZONES)]
            ip = self.entries[name]
            self._start_role(role, name, ip, "edge", zone, self.store)
        for name in names:
            ip = self.entries[name]
            self.wait_for(name, lambda ip=ip: self._is_ready(ip))

    def _start_forwarders(self) -> list[str]:
        """Start forwarders to entries and store; return arguments of the store."""
        replaced = []
        for ip in self.entries.values():
            seen = f"{self._net}.{int(ip.rpartition('.')[2]) + 10}"
            self._forwarders.append(Forwarder(f"{seen}:{LINK}", f"{ip}:{LINK}"))
            replaced.append(f"{ip}={seen}")
        behind = f"{self._net}.2:{STORE}"
        self._forwarders.append(Forwarder(self.store_of_cuttable, behind))
        return [behind, *replaced]

    def cut(self, *, is_cut: bool) -> None:
        """Cut the machine off, or heal the cut."""
        for forwarder in self._forwarders:
            forwarder.set_cut(is_cut=is_cut)

    def _serve_first_job(self) -> None:
        """Wait until a job has run on all machines, so that each takes work."""
        step = {"count": len(self.sides), "gpu": 8, "checkpoint": True}
        step |= {"estimate_ms": 1500, "anti_affinity": 1}
        entry = next(iter(self.entries))
        job = "f" * 16

        def is_accepted() -> bool:
            return self.submit(entry, job, [step], work_s=1.5) == 200

        self.wait_for("the first job", is_accepted)
        is_done = lambda: self.state(entry, job)[1] == "completed"  # noqa: E731
        self.wait_for("the end of the first job", is_done)
        self.wait_for("all workers", lambda: len(self.starters()) == len(self.sides))
        time.sleep(1.0)

    def starters(self) -> set[str]:
        """Return the workers that have started something."""
        return {line["who"] for line in self.lines("start")}

    def _start_role(
        self,
        role: dict[str, Any],
        name: str,
        ip: str,
        klass: str,
        zone: str,
        store: str,
    ) -> None:
        fields = {
            "node": name,
            "machine_class": klass,
            "ip": ip,
            "zone": zone,
            "port_range": [LINK, LINK + 15],
            "zones": dict.fromkeys(ZONES, "region-1"),
            "listen": {
                "front": f"{ip}:{FRONT}",
                "ready": f"{ip}:{READY}",
                "control": f"{ip}:{CONTROL}",
            },
            "bounds": BOUNDS,
            "platform": {"address": store, "record_bytes": 262144},
        }
        path = self._folder / f"{name}.json"
        path.write_text(_fill((ROOT / role["template"]).read_text(), fields))
        command = role["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        self._spawn(name, command, HYSSOPRILL_SETTINGS=str(path))

    def _spawn(self, name: str, command: list[str], **env: str) -> None:
        deps = str(ROOT / "target/deps")
        with open(self._folder / f"{name}.log", "ab") as log:
            process = subprocess.Popen(
                command,
                cwd=ROOT,
                env={**os.environ, "PYTHONPATH": deps, **env},
                stdout=log,
                stderr=log,
            )
        self._processes.append(process)

    def log_lines(self, name: str, event: str) -> list[dict[str, Any]]:
        """Return the lines of an event in the log of a process."""
        lines = (self._folder / f"{name}.log").read_text(errors="replace").splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        return [line for line in found if line.get("event") == event]

    # Calls

    def submit(
        self,
        entry: str,
        job: str,
        steps: list[Any],
        *,
        prefix: str = PREFIX,
        key: str = KEY,
        **work: Any,
    ) -> int:
        """Hand a job in as a client; return the status, 0 for no answer."""
        body = {"spec": json.dumps(work), "steps": steps}
        return self.call(entry, "POST", prefix + job, body, key=key)[0]

    def cancel(self, entry: str, job: str) -> int:
        """Cancel a job as a client; return the status, 0 for no answer."""
        return self.call(entry, "DELETE", PREFIX + job)[0]

    def state(self, entry: str, job: str) -> tuple[int, str]:
        """Return the status and the state that an entry tells of a job."""
        status, body = self.call(entry, "GET", PREFIX + job)
        return status, body.get("state", "") if isinstance(body, dict) else ""

    def waiting(self, entry: str) -> int | None:
        """Return how many jobs wait, as an entry tells, or None."""
        status, body = self.call(entry, "GET", PREFIX)
        return body["waiting"] if status == 200 else None

    def call(
        self, entry: str, method: str, path: str, body: Any = None, *, key: str = KEY
    ) -> tuple[int, Any]:
        """Call an entry as a client; the call and its answer are recorded."""
        raw = b"" if body is None else json.dumps(body).encode()
        headers = {"Host": HOST, "Key": key, "Content-Type": "application/json"}
        began = time.time()
        address = f"{self.entries[entry]}:{FRONT}"
        status, answer = _request(address, method, path, raw, headers, timeout_s=3.0)
        took_ms = round((time.time() - began) * 1000)
        self.record(
            "client",
            "call",
            entry=entry,
            call=f"{method} {path}",
            status=status,
            answer=answer,
            took_ms=took_ms,
        )
        return status, answer

    def put(self, key: str, value: Any) -> None:
        """Write a record as the operator."""
        raw_key, raw = key.encode(), json.dumps(value).encode()
        size = 1 + len(raw_key) + len(raw)
        data = size.to_bytes(4, "big") + bytes([len(raw_key)]) + raw_key + raw
        path = "/log-append?topic=keyed.op&part=0"
        if _request(self.store, "POST", path, data)[0] != 200:
            raise CannotRunError("the store took no config")

    def switch(self, address: str, **switches: Any) -> Any:
        """Set switches of a stand-in; return what it answers, None if it does not."""
        raw = json.dumps(switches).encode()
        status, body = _request(address, "POST", "/switches", raw)
        return body if status == 200 else None

    def running(self) -> set[tuple[str, int, str]]:
        """Return task, run and machine of all that the workers run now."""
        found = set()
        for name, ip in self.sides.items():
            rows = (self.switch(f"{ip}:{APP}") or {}).get("running", [])
            found |= {(task, run, name) for task, run in rows}
        return found

    def _is_ready(self, ip: str) -> bool:
        return _request(f"{ip}:{READY}", "GET", "/ready", b"")[0] == 200

    def wait_for(
        self, what: str, condition: Callable[[], Any], timeout_s: float = 25.0
    ) -> Any:
        """Wait until a condition holds; the case cannot run where it does not."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            found = condition()
            if found:
                return found
            time.sleep(0.05)
        raise CannotRunError(f"gave up waiting for {what}")

    # The record

    def record(self, who: str, what: str, **fields: Any) -> None:
        """Write a line to the record of the case."""
        line = {"at": round(time.time(), 3), "who": who, "what": what, **fields}
        with open(self.record_path, "a") as record:
            record.write(json.dumps(line) + "\n")

    def lines(self, what: str) -> list[dict[str, Any]]:
        """Return the recorded lines of a kind, the oldest first."""
        lines = map(json.loads, self.record_path.read_text().splitlines())
        return sorted(
            (one for one in lines if one["what"] == what), key=lambda one: one["at"]
        )


def make_config(**route_fields: Any) -> dict[str, Any]:
    """Return an operator's config with one queue, one service and one tenant."""
    route = {
        "name": "quotes",
        "host": HOST,
        "path_prefix": PREFIX,
        "service": "service-a",
        "priority": 1,
        "max_attempts": 4,
        "stretch": 3.0,
        "target_latency_ms": 1000,
        **route_fields,
    }
    return {
        "version": 1,
        "routes": [route],
        "services": [{"name": "service-a", "enforces_capacity": False}],
        "tenants": [{"name": "warehouse", "api_keys": [KEY], "guaranteed": {"gpu": 8}}],
        "limits": {"max_body_bytes": 262144},
    }


def run_case(case: Callable[[], bool]) -> None:
    """Run a case, which returns whether the rule held, and exit accordingly."""
    watchdog = threading.Timer(MAX_RUN_S, os.kill, (os.getpid(), signal.SIGINT))
    watchdog.daemon = True
    watchdog.start()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        code = HELD if case() else BROKEN
    except (CannotRunError, KeyboardInterrupt) as exc:
        print(f"could not run: {exc}")
        code = NOT_RUN
    except Exception as exc:  # noqa: BLE001 - a fault of the case breaks no rule
        print(f"could not run: {exc!r}")
        code = NOT_RUN
    sys.exit(code)


def _request(
    address: str,
    method: str,
    path: str,
    data: bytes,
    headers: dict[str, str] | None = None,
    *,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Make a call; return status and decoded body, and 0 where it got no answer."""
    host, _, port = address.rpartition(":")
    conn = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        conn.request(method, path, data, headers or {})
        resp = conn.getresponse()
        raw = resp.read()
        return resp.status, json.loads(raw) if raw else None
    except (OSError, http.client.HTTPException, ValueError):
        return 0, None
    finally:
        conn.close()


def _free_net() -> str:
    """Return the first three bytes of loopback addresses that nobody listens on."""
    for _ in range(50):
        net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
        try:
            for port in (STORE, FRONT, CONTROL, APP):
                for last in (1, 10, 50):
                    with socket.socket() as sock:
                        sock.bind((f"{net}.{last}", port))
        except OSError:
            continue
        return net
    raise CannotRunError("no loopback addresses are free")


_SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
_FIELD = re.compile(r"\{\{([\w.]+)(\|json)?\}\}")


def _fill(template: str, fields: dict[str, Any]) -> str:
    """Fill a settings template in, as DEPLOY tells it."""

    def find(name: str) -> Any:
        value: Any = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    def section(match: re.Match[str]) -> str:
        keys = list(find(match[1]))
        return "".join(
            match[2]
            .replace("{{@}}", str(key))
            .replace("{{,}}", "," if key != keys[-1] else "")
            for key in keys
        )

    def field(match: re.Match[str]) -> str:
        value = find(match[1])
        return json.dumps(value) if match[2] else str(value)

    return _FIELD.sub(field, _SECTION.sub(section, template))
