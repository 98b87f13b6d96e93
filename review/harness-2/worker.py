"""Stand-in of a worker: the project's own, with the faults that the cases need.

Added to `standins.platform_worker`: the labels and the capacity of the worker, tasks
that crash their worker some time after their start, the outcome `failed` for all that
is started, and a worker that answers every start with 503. While the switch `lost` is
set, the worker is off: it runs, answers and says nothing.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from typing import Any

import click
from standins import platform_worker as base
from tornado.web import Application

CHECK_IN_S = 1.0
STATUS_UNHEALTHY = 503
STARTUP_S = 0.2
CHECKPOINT_S = 2.0
FULL_PERCENT = 100
RESTART_S = 2.0


class _State(base.WorkerState):
    """State in which a task that lasts is at work soon after its start."""

    lasting: set[str]
    saved_chars: dict[str, int]
    began_s: float

    @property
    def clock_ms(self) -> int:
        """The clock of this lifetime, which starts anew with it."""
        return int((time.monotonic() - self.began_s) * 1000)

    def lists(self) -> dict[str, Any]:
        """Return both lists, with 100 percent for lasting tasks."""
        body = super().lists()
        for row in body.get("running", ()):
            if row[0] in self.lasting:
                is_at_work = self.running[row[0]].done_s >= STARTUP_S
                row[3] = FULL_PERCENT if is_at_work else 0
            if row[0] in self.saved_chars:
                row[2] = self._saved(row[0])
        return body

    def _saved(self, task: str) -> str:
        """Return the newest checkpoint of a running task, '' before the first."""
        count = int(self.running[task].done_s / CHECKPOINT_S)
        text = f"{task}/{count}/"
        return text.ljust(self.saved_chars[task], "0") if count else ""


class _Start(base._Start):
    async def post(self) -> None:
        body, state = self.body(), self.state
        state.record.append(["call", body["task"], body["run"], "", time.time()])
        if state.switches.get("busy"):
            self.set_status(STATUS_UNHEALTHY)
            self.finish({"clock_ms": state.clock_ms})
            return
        await super().post()

    def _carry_out(self, body: dict[str, Any]) -> str:
        state = self.state
        before = state.running.get(body["task"])
        reason = super()._carry_out(body)
        run = state.running.get(body["task"])
        if reason or run is None or run is before:
            return reason
        if state.switches.get("fail_all"):
            run.work_s, run.outcome = base.TICK_S, "failed"
        line = {"started": body["task"], "run": run.number, "started_at": time.time()}
        print(json.dumps(line), flush=True)
        work = json.loads(body["spec"] or "{}")
        if work.get("lasting"):
            state.lasting.add(body["task"])
        if work.get("saved_chars"):
            state.saved_chars[body["task"]] = work["saved_chars"]
        crash_after_s = work.get("crash_after_s")
        if crash_after_s is not None:
            loop = asyncio.get_running_loop()
            loop.call_later(crash_after_s, _crash, body["task"], body["run"])
        return reason


def _crash(task: str, run: int) -> None:
    """End this lifetime without notice; the next one begins after `RESTART_S`."""
    line = {"crashed_under": task, "run": run, "at": time.time()}
    print(json.dumps(line), flush=True)
    arguments = list(sys.argv[1:])
    if "--delay-s" in arguments:
        del arguments[arguments.index("--delay-s") :][:2]
    command = [sys.executable, os.path.abspath(__file__), *arguments]
    os.execv(sys.executable, [*command, "--delay-s", str(RESTART_S)])


async def _serve(
    port: int, control: str, labels: list[str], worker_id: str, shown_port: int
) -> None:
    state = _State(worker_id or f"i-{port}-{time.time_ns() % 100000}")
    state.lasting, state.saved_chars = set(), {}
    state.began_s = time.monotonic()
    args = {"state": state}
    app = Application(
        [
            ("/run-start", _Start, args),
            ("/run-stop", base._Stop, args),
            ("/hold", base._Hold, args),
            ("/switches", base._Switches, args),
        ]
    )
    app.listen(port, "127.0.0.1")
    body = {
        "service": "service-a",
        "address": f"127.0.0.1:{shown_port or port}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 8},
        "labels": labels,
    }
    print(json.dumps({"port": port, "id": state.id, "born": state.born}), flush=True)
    await asyncio.gather(state.work(), base._check_in(state, control, body))


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--control", required=True, help="Address for check-ins.")
@click.option("--labels", default="a,r1", help="Labels, separated by commas.")
@click.option("--worker-id", default="", help="Its id, where it keeps one.")
@click.option("--shown-port", default=0, help="Port that it names in check-ins.")
@click.option("--delay-s", default=0.0, help="Wait before serving.")
def main(
    port: int,
    control: str,
    labels: str,
    worker_id: str,
    shown_port: int,
    delay_s: float,
) -> None:
    """Serve one worker until ended."""
    time.sleep(delay_s)
    asyncio.run(_serve(port, control, labels.split(","), worker_id, shown_port))


if __name__ == "__main__":
    base.CHECK_IN_S = CHECK_IN_S
    main()
