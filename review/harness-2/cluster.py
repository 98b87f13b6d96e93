"""A small deployment of real processes for the cases, with their record.

The processes are those of the deploy file (`platform/run.py`), the project's stand-in
of the store, and the worker of this folder. The bounds are those of the small sites.
"""

from __future__ import annotations

import json
import os
import signal
import sys
import time
import traceback
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, Any

from standins.job_cluster import PREFIX, JobCluster, config, free_port, request

if TYPE_CHECKING:
    from collections.abc import Callable

HERE = Path(__file__).resolve().parent
BOUNDS = {
    "key_revocation_ms": 5000,
    "stop_grace_s": 6.0,
    "reclaim_ms": 2900,
    "state_kept_s": 120,
    "evacuation_ms": 5000,
    "config_apply_ms": 2000,
}
MAX_HOLD_MS = 6000
MAX_ATTEMPTS = 4
TIME_LIMIT_S = 110
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Deployment(JobCluster):
    """Entries, VMs with an agent and a worker each, and a store."""

    def __init__(self) -> None:
        super().__init__()
        self.proxies: dict[str, int] = {}

    def start_store(self) -> None:
        """Start the store with a first config."""
        command = [str(HERE / "store.py"), "--port", str(self.store_port)]
        self._start("store", command)
        self.wait_until(lambda: self.switch_store() is not None)
        route = {**config()["routes"][0], "max_attempts": MAX_ATTEMPTS}
        self.put("config", config(routes=[route]))

    def start_entry(self, name: str, *, store_port: int | None = None) -> None:
        """Start an entry; it reaches the store at `store_port` if that is given."""
        self.fronts[name] = free_port()
        self.ready_ports[name] = free_port()
        fields = {
            "role": "job-entry",
            "link_port": free_port(),
            "callers_address": f"127.0.0.1:{self.fronts[name]}",
            "readiness_address": f"127.0.0.1:{self.ready_ports[name]}",
            "bounds": BOUNDS,
        }
        if store_port is not None:
            fields["store"] = {"address": f"127.0.0.1:{store_port}"}
        self._start_role(name, fields)

    def start_vm(
        self, name: str, rack: str = "r1", *labels: str, may_hold: bool = False
    ) -> None:
        """Start a worker and its agent, with a proxy between them if `may_hold`."""
        worker, control = free_port(), free_port()
        self.workers[name] = worker
        self.controls[name] = control
        self._start_role(
            name,
            {
                "role": "job-agent",
                "check_in_address": f"127.0.0.1:{control}",
                "max_lease_ms": MAX_HOLD_MS,
            },
        )
        command = [str(HERE / "worker.py"), "--port", str(worker)]
        command += ["--control", f"127.0.0.1:{control}"]
        command += ["--labels", ",".join(["a", rack, *labels])]
        if may_hold:
            proxy = self.proxies[name] = free_port()
            pass_on = ["--port", str(proxy), "--target", str(worker)]
            self._start(f"proxy of {name}", [str(HERE / "late.py"), *pass_on])
            command += ["--shown-port", str(proxy), "--worker-id", f"i-{name}"]
        self._start(f"worker of {name}", command)

    def hold_orders(self, name: str, held_s: float, calls: int) -> None:
        """Have the proxy before a worker hold back its next orders."""
        body = json.dumps({"held_s": held_s, "held_calls": calls}).encode()
        request(self.proxies[name], "POST", "/held", body)

    def start_again(self, name: str) -> None:
        """Start a killed process with the command that it had."""
        env = {}
        if self.settings_path(name).exists():
            env["HYSSOPRILL_SETTINGS"] = str(self.settings_path(name))
        self._start(name, self._commands[name], **env)

    def kill(self, name: str) -> None:
        """Kill a process for good."""
        self._processes[name].kill()
        self._processes[name].wait()

    def running(self) -> dict[str, list[str]]:
        """Return the tasks that run on each worker."""
        return {vm: self.switch_worker(vm)["running"] for vm in self.workers}

    def all_starts(self) -> list[tuple[str, int, str]]:
        """Return task, run and VM of all starts, in no order."""
        return [(*row, vm) for vm in self.workers for row in self.starts(vm)]

    def waiting(self, entry: str, prefix: str = PREFIX) -> Any:
        """Return how many jobs of a queue an entry says to be waiting."""
        status, body = self.call(entry, "GET", prefix)
        return body["waiting"] if status == 200 else f"status {status}"


class Record:
    """Writes what was sent, answered and run to a file, with the time of each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Seconds since the case began."""
        return time.monotonic() - self._began_s

    def __call__(self, text: str) -> None:
        """Write a line."""
        line = f"{self.now_s:8.3f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


def job_id(number: int) -> str:
    """Return the id of a job as clients write it."""
    return f"{number:016x}"


def has_trouble() -> bool:
    """Return whether the disruption is to be made."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(case: Callable[[Deployment, Record], bool], folder: Path) -> None:
    """Run a case, and exit with 1 if the rule was broken, 0 if it held.

    It exits with 2 if the case could not run. `case` returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    signal.signal(signal.SIGALRM, _time_out)
    signal.signal(signal.SIGTERM, _time_out)
    signal.alarm(TIME_LIMIT_S)
    record(f"trouble: {has_trouble()}")
    code = NOT_RUN
    try:
        with Deployment() as deployment:
            try:
                code = HELD if case(deployment, record) else BROKEN
            finally:
                _keep_logs(deployment, folder)
    except Exception:  # noqa: BLE001 - whatever it is, the case could not run
        record(traceback.format_exc())
    record({HELD: "held", BROKEN: "BROKEN", NOT_RUN: "could not run"}[code])
    sys.exit(code)


def _time_out(*_args: object) -> None:
    raise TimeoutError("the case was ended from outside, or took too long")


def _keep_logs(deployment: Deployment, folder: Path) -> None:
    """Copy the processes' logs where `KEEP_LOGS` names a folder."""
    target = os.environ.get("KEEP_LOGS")
    if not target:
        return
    for path in Path(deployment._folder.name).glob("*.log"):
        with suppress(OSError):
            text = path.read_text()
            (Path(target) / f"{folder.name}-{path.name}").write_text(text)


def summary(record: Record, deployment: Deployment) -> None:
    """Write all that the workers have recorded."""
    for vm in deployment.workers:
        with suppress(OSError):
            for kind, task, run, extra, _at in deployment.switch_worker(vm)["record"]:
                record(f"worker of {vm}: {kind} {task} run {run} {json.dumps(extra)}")


__all__ = ["Deployment", "Record", "has_trouble", "job_id", "run_case", "summary"]
