"""Stand-in of the platform's worker: runs tasks by number, token and lease.

A task's `spec` is JSON: how long it works, and how it ends, or which tasks crash the
worker that starts them. Everything that was started is kept in a record that tests
read.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from contextlib import suppress
from dataclasses import dataclass, field
from typing import Any

import click
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.web import Application, RequestHandler

STOP_S = 0.1
CHECK_IN_S = 0.3
TICK_S = 0.02
CRASH_DELAY_S = 0.01
RESTART_S = 0.5


@dataclass
class Run:
    """One run of a task."""

    task: str
    number: int
    work_s: float
    outcome: str
    saved: str
    done_s: float = 0.0
    stop_at: float = float("inf")


@dataclass
class WorkerState:
    """What one lifetime of the worker knows.

    Switches: `late_s` carries starts out so much later, without an answer; `frozen`
    lets no task progress; `draining` is said in check-ins.
    """

    id: str
    born: int = field(default_factory=lambda: time.time_ns() // 1_000_000)
    running: dict[str, Run] = field(default_factory=dict)
    ended: list[list[Any]] = field(default_factory=list)
    last_run: dict[str, int] = field(default_factory=dict)
    token: int = 0
    number: int = 0
    lease_ms: int = 0
    record: list[list[Any]] = field(default_factory=list)
    news: asyncio.Event = field(default_factory=asyncio.Event)
    switches: dict[str, Any] = field(
        default_factory=lambda: {"late_s": 0, "frozen": False, "draining": False}
    )

    @property
    def clock_ms(self) -> int:
        """The worker's own clock."""
        return int(time.monotonic() * 1000)

    def accept_token(self, body: dict[str, Any]) -> bool:
        """Take in a call's token; return False where it is an old one."""
        token = body.get("fencing_token", 0)
        if token < self.token:
            return False
        self.token = token
        return True

    def extend(self, body: dict[str, Any]) -> None:
        """Extend the lease, never shorten it."""
        self.lease_ms = max(self.lease_ms, body.get("deadline_ms", 0))

    def start(self, body: dict[str, Any]) -> str:
        """Start a run; return why not, or ''."""
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return ""
        if number <= self.last_run.get(task, 0):
            return "old"
        if self.lease_ms <= self.clock_ms:
            return "late"
        work = json.loads(body["spec"] or "{}")
        self.last_run[task] = number
        self.record.append(["start", task, number, body["spec"], time.time()])
        self.running[task] = Run(
            task,
            number,
            work.get("work_s", 0.2),
            work.get("outcome", "done"),
            body.get("saved", ""),
        )
        return ""

    def stop(self, task: str, number: int) -> None:
        """Stop a run, or make sure that it never starts."""
        run = self.running.get(task)
        if run is not None and run.number == number:
            run.stop_at = min(run.stop_at, time.monotonic() + STOP_S)
        elif run is None:
            self.last_run[task] = max(self.last_run.get(task, 0), number)

    def end(self, run: Run, how: str) -> None:
        """End a run and list it."""
        self.number += 1
        del self.running[run.task]
        saved = f"{run.done_s:.2f}" if how == "stopped" else ""
        self.ended.append([self.number, run.task, run.number, how, saved])
        self.record.append(["end", run.task, run.number, how, time.time()])
        self.news.set()
        self.news = asyncio.Event()

    def lists(self) -> dict[str, Any]:
        """Return both lists; what is empty is left out."""
        body: dict[str, Any] = {"clock_ms": self.clock_ms, "born": self.born}
        if self.running:
            body["running"] = [
                [run.task, run.number, run.saved, int(100 * run.done_s / run.work_s), 0]
                for run in self.running.values()
            ]
        if self.ended:
            body["ended"] = self.ended
        return body

    async def work(self) -> None:
        """Let tasks progress, end and lapse."""
        while True:
            await asyncio.sleep(TICK_S)
            lapsed = self.clock_ms > self.lease_ms
            for run in list(self.running.values()):
                if not self.switches["frozen"]:
                    run.done_s += TICK_S
                if lapsed:
                    self.end(run, "lapsed")
                elif time.monotonic() >= run.stop_at:
                    self.end(run, "stopped")
                elif run.done_s >= run.work_s:
                    self.end(run, run.outcome)


class _Handler(RequestHandler):
    def initialize(self, state: WorkerState) -> None:
        self.state = state

    def prepare(self) -> None:
        wanted = self.request.headers.get("Expect-Instance")
        if wanted is not None and wanted != self.state.id:
            self.set_status(421)
            self.finish()

    def body(self) -> dict[str, Any]:
        return json.loads(self.request.body)

    def refuse(self, reason: str) -> None:
        self.set_status(409)
        self.finish({"clock_ms": self.state.clock_ms, "reason": reason})


class _Start(_Handler):
    async def post(self) -> None:
        body, state = self.body(), self.state
        if not state.accept_token(body):
            self.refuse("fence")
            return
        if state.switches["late_s"]:
            asyncio.get_running_loop().call_later(
                state.switches["late_s"], self._carry_out, body
            )
            await asyncio.sleep(state.switches["late_s"])
            return
        reason = self._carry_out(body)
        if reason:
            self.refuse(reason)
        else:
            self.finish({"clock_ms": state.clock_ms})

    def _carry_out(self, body: dict[str, Any]) -> str:
        self.state.extend(body)
        reason = self.state.start(body)
        index = int(body["task"].rpartition(".")[2])
        if not reason and index in json.loads(body["spec"] or "{}").get("crashers", ()):
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_DELAY_S, _crash, body["task"])
        return reason


class _Stop(_Handler):
    def post(self) -> None:
        body = self.body()
        if not self.state.accept_token(body):
            self.refuse("fence")
            return
        self.state.stop(body["task"], body["run"])
        self.finish({"clock_ms": self.state.clock_ms})


class _Hold(_Handler):
    async def post(self) -> None:
        body, state = self.body(), self.state
        if not state.accept_token(body):
            self.refuse("fence")
            return
        state.extend(body)
        acked = body.get("acked_upto", 0)
        state.ended = [row for row in state.ended if row[0] > acked]
        if not state.ended and body.get("wait_ms"):
            try:
                await asyncio.wait_for(state.news.wait(), body["wait_ms"] / 1000)
            except TimeoutError:
                pass
        self.finish(state.lists())


class _Switches(_Handler):
    def post(self) -> None:
        self.state.switches.update(self.body())
        self.finish({"record": self.state.record, "running": list(self.state.running)})


def _crash(task: str) -> None:
    """End this lifetime without notice; the next one begins after `RESTART_S`."""
    print(json.dumps({"crashed_under": task}), flush=True)
    command = [sys.executable, "-m", "standins.platform_worker", *sys.argv[1:]]
    os.execv(sys.executable, [*command, "--delay-s", str(RESTART_S)])


async def _check_in(state: WorkerState, control: str, body: dict[str, Any]) -> None:
    client = AsyncHTTPClient()
    number = 0
    while True:
        number += 1
        body |= {
            "seq": number,
            "born": state.born,
            "clock_ms": state.clock_ms,
            "state": "draining" if state.switches["draining"] else "ready",
        }
        url = f"http://{control}/instances/{state.id}"
        request = HTTPRequest(url, "PUT", body=json.dumps(body), request_timeout=1.0)
        with suppress(OSError, HTTPClientError):
            await client.fetch(request, raise_error=False)
        await asyncio.sleep(CHECK_IN_S)


async def _serve(port: int, control: str, rack: str) -> None:
    state = WorkerState(f"i-{port}-{time.time_ns() % 100000}")
    args = {"state": state}
    app = Application(
        [
            ("/run-start", _Start, args),
            ("/run-stop", _Stop, args),
            ("/hold", _Hold, args),
            ("/switches", _Switches, args),
        ]
    )
    app.listen(port, "127.0.0.1")
    body = {
        "service": "service-a",
        "address": f"127.0.0.1:{port}",
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "capacity": {"cpu": 8000, "mem_mb": 64000, "gpu": 8},
        "labels": ["a", rack],
    }
    print(json.dumps({"port": port}), flush=True)
    await asyncio.gather(state.work(), _check_in(state, control, body))


@click.command()
@click.option("--port", type=int, required=True)
@click.option("--control", required=True, help="Address for check-ins.")
@click.option("--rack", default="r1")
@click.option("--delay-s", default=0.0, help="Wait before serving.")
def main(port: int, control: str, rack: str, delay_s: float) -> None:
    """Serve one worker until ended."""
    time.sleep(delay_s)
    asyncio.run(_serve(port, control, rack))


if __name__ == "__main__":
    main()
