"""Stand-in of a worker on a side machine, as PROTOCOL, "Running tasks", tells it.

The `spec` of a task is JSON: `work_s`, how long it works until it ends `done`;
`crash_after_s`, after which it crashes the worker; and `failing_runs`, up to which the
task with index 0 ends `failed` by its own fault, after `fails_after_s`. A worker that
has crashed is back after `BACK_S` as a new lifetime with another id. `gang` is the
number of tasks that work only together; workers tell each other of them by files in a
folder of the case. `lasts` is set for a task that works until it is stopped.

`POST /switches` sets `shed_s`: for so long the worker is unhealthy and answers starts
with 503, without doing anything; and `late_hold_s`: the next renewal that extends the
lease gets no answer and is carried out so much later, its time counted from then.

It writes a line for each start, end and crash to the record of the case.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from pathlib import Path
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPRequest
from tornado.web import Application, RequestHandler

BACK_S = 3.0
TICK_S = 0.02
STOP_S = 0.1
MAX_HOLD_MS = 6000
BEAT_S = 1.5
GANG_WAIT_S = 3.0
STARTUP_S = 0.5
MAX_LISTED_ENDS = 500


class Run:
    """One run of a task."""

    def __init__(self, task: str, number: int, spec: str, saved: str) -> None:
        work = json.loads(spec or "{}")
        self.saved = saved
        is_first = task.endswith(".0")
        fails = is_first and number <= int(work.get("failing_runs", 0))
        self.fails_after_s = work.get("fails_after_s", 0.1) if fails else float("inf")
        self.work_s = float(work.get("work_s", 1.0))
        self.crash_after_s = float(work.get("crash_after_s", 0.0))
        self.lasts = bool(work.get("lasts"))
        self.members = int(work.get("gang", 0))
        self.started = time.monotonic()
        self.began = float("inf") if self.members else self.started
        self.stop_at = float("inf")
        step, _, self.index = task.rpartition(".")
        self.gang = f"{step}.run{number}"

    @property
    def done_s(self) -> float:
        """Seconds of work done."""
        return max(time.monotonic() - self.began, 0.0)

    @property
    def percent(self) -> int:
        """How much of the work is done; 100 for a task that lasts and is at work."""
        whole_s = STARTUP_S if self.lasts else self.work_s
        return min(int(100 * self.done_s / whole_s), 100)

    def watch_gang(self, folder: Path) -> str:
        """Begin once all members are there; return how the run ends, or ''."""
        if not self.members:
            return ""
        over = folder / f"{self.gang}.over"
        if over.exists():
            return over.read_text() or "broken"
        (folder / f"{self.gang}.member{self.index}").touch()
        if self.began == float("inf"):
            if len(list(folder.glob(f"{self.gang}.member*"))) == self.members:
                self.began = time.monotonic()
            elif time.monotonic() - self.started > GANG_WAIT_S:
                return "alone"
        return ""

    def leave_gang(self, folder: Path, how: str) -> None:
        """Tell the other members that the run is over for them too."""
        if self.members:
            over = folder / f"{self.gang}.over"
            if not over.exists():
                over.write_text("done" if how == "done" else "broken")


class Worker:
    """One lifetime of the worker."""

    def __init__(self, cfg: dict[str, Any]) -> None:
        self.cfg = cfg
        self.born = time.time_ns() // 1_000_000
        self.id = f"i-{cfg['name']}-{self.born % 10_000_000}"
        self.began = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running: dict[tuple[str, int], Run] = {}
        self.last_run: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.count = 0
        self.shed_until = 0.0
        self.late_hold_s = 0.0
        self.acked = 0
        self.holds_lease = False
        self.news = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """The worker's own clock."""
        return int((time.monotonic() - self.began) * 1000) + 1000

    def record(self, what: str, **fields: Any) -> None:
        """Write a line to the record of the case."""
        line = {"at": round(time.time(), 3), "who": self.cfg["name"], "what": what}
        raw = json.dumps({**line, "lifetime": self.id, **fields}) + "\n"
        with open(self.cfg["record"], "a") as record:
            record.write(raw)

    def takes(self, body: dict[str, Any]) -> bool:
        """Take in the token and the lease of a call; return False for an old token."""
        token = body.get("fencing_token", 0)
        if token < self.token:
            return False
        self.token = token
        asked = min(body.get("deadline_ms", 0), self.clock_ms + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, asked)
        return True

    def acknowledge(self, upto: int) -> None:
        """Forget the ends up to a number."""
        for number, task, run, how, _saved in self.ended:
            if number <= upto:
                self.record("acked", task=task, run=run, how=how)
        self.ended = [row for row in self.ended if row[0] > upto]

    async def hold_late(self, body: dict[str, Any], delay_s: float) -> None:
        """Carry a renewal out late; its time counts from its arrival."""
        length_ms = body["deadline_ms"] - self.clock_ms
        await asyncio.sleep(delay_s)
        self.record("late renewal", sent_s_ago=delay_s, length_ms=length_ms)
        if self.takes({**body, "deadline_ms": self.clock_ms + length_ms}):
            self.acknowledge(body.get("acked_upto", 0))

    def watch_lease(self) -> None:
        """Record when the lease lapses and when there is one again."""
        holds_lease = self.clock_ms <= self.lease_ms
        if holds_lease != self.holds_lease:
            self.holds_lease = holds_lease
            self.record("lease" if holds_lease else "lapse")

    def start(self, body: dict[str, Any]) -> str:
        """Start a run; return the reason of a refusal, or ''."""
        task, run = body["task"], body["run"]
        if (task, run) in self.running:
            return ""
        if run <= self.last_run.get(task, 0):
            return "old"
        if self.lease_ms <= self.clock_ms:
            return "late"
        self.running[task, run] = Run(task, run, body["spec"], body.get("saved", ""))
        self.record("start", task=task, run=run, token=self.token)
        return ""

    def stop(self, task: str, run: int) -> None:
        """Stop a run, or see to it that it never starts."""
        known = self.running.get((task, run))
        if known is not None:
            known.stop_at = min(known.stop_at, time.monotonic() + STOP_S)
        else:
            self.last_run[task] = max(self.last_run.get(task, 0), run)

    def end(self, key: tuple[str, int], how: str) -> None:
        """End a run and list the end."""
        task, run = key
        self.running.pop(key).leave_gang(Path(self.cfg["gangs"]), how)
        self.last_run[task] = max(self.last_run.get(task, 0), run)
        self.count += 1
        self.ended.append([self.count, task, run, how, ""])
        self.record("end", task=task, run=run, how=how)
        self.news.set()
        self.news = asyncio.Event()

    async def work(self) -> None:
        """Let runs end, lapse and crash the worker."""
        while True:
            await asyncio.sleep(TICK_S)
            self.watch_lease()
            for key, run in list(self.running.items()):
                if run.crash_after_s and run.done_s >= run.crash_after_s:
                    self.record("crash", task=key[0], run=key[1])
                    self.crash()
                how = run.watch_gang(Path(self.cfg["gangs"]))
                if how:
                    self.end(key, how)
                elif run.done_s >= run.fails_after_s:
                    self.end(key, "failed")
                elif self.clock_ms > self.lease_ms:
                    self.end(key, "lapsed")
                elif time.monotonic() >= run.stop_at:
                    self.end(key, "stopped")
                elif run.done_s >= run.work_s and not run.lasts:
                    self.end(key, "done")

    def crash(self) -> None:
        """End this lifetime without notice; the next begins after `BACK_S`."""
        os.execv(sys.executable, [sys.executable, sys.argv[0], sys.argv[1], "back"])

    def lists(self) -> dict[str, Any]:
        """Return what runs and what has ended."""
        running = [
            [task, run, one.saved, one.percent, 0]
            for (task, run), one in self.running.items()
        ]
        return {
            "clock_ms": self.clock_ms,
            "born": self.born,
            "running": running,
            "ended": self.ended[:MAX_LISTED_ENDS],
        }

    async def beat(self) -> None:
        """Check in with the agent of this machine."""
        client, seq = AsyncHTTPClient(), 0
        while True:
            seq += 1
            body = {
                "service": "service-a",
                "address": self.cfg["app"],
                "zone": self.cfg["zone"],
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "cold_left_ms": 0,
                "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 8},
                "labels": ["a", self.cfg["rack"]],
                "clock_ms": self.clock_ms,
                "born": self.born,
                "seq": seq,
            }
            url = f"http://{self.cfg['control']}/instances/{self.id}"
            raw = json.dumps(body)
            headers = {"Content-Type": "application/json"}
            request = HTTPRequest(
                url, "PUT", headers, raw, connect_timeout=1.0, request_timeout=1.0
            )
            pause_s = BEAT_S
            try:
                await client.fetch(request)
            except Exception:  # noqa: BLE001 - the next beat tries again
                pause_s = 0.3
            await asyncio.sleep(pause_s)


class Handler(RequestHandler):
    """Base of the handlers."""

    def initialize(self, worker: Worker) -> None:
        """Keep the worker."""
        self.worker = worker

    def prepare(self) -> None:
        """Refuse a call that means another lifetime."""
        wanted = self.request.headers.get("Expect-Instance")
        if wanted is not None and wanted != self.worker.id:
            self.set_status(421)
            self.finish({"clock_ms": self.worker.clock_ms})

    def taken(self) -> dict[str, Any] | None:
        """Return the body of a call, or refuse it because of its token."""
        body = json.loads(self.request.body)
        if self.worker.takes(body):
            return body
        self.refuse("fence")
        return None

    def refuse(self, reason: str) -> None:
        """Answer that nothing was done, and why."""
        self.set_status(409)
        self.finish({"clock_ms": self.worker.clock_ms, "reason": reason})


class Start(Handler):
    """Starts a run."""

    def post(self) -> None:
        """Answer the call."""
        if time.monotonic() < self.worker.shed_until:
            self.worker.record("shed", task=json.loads(self.request.body)["task"])
            self.set_status(503)
            self.finish({"clock_ms": self.worker.clock_ms})
            return
        body = self.taken()
        if body is None:
            return
        reason = self.worker.start(body)
        if reason:
            self.refuse(reason)
        else:
            self.finish({"clock_ms": self.worker.clock_ms})


class Stop(Handler):
    """Stops a run."""

    def post(self) -> None:
        """Answer the call."""
        body = self.taken()
        if body is not None:
            self.worker.stop(body["task"], body["run"])
            self.finish({"clock_ms": self.worker.clock_ms})


class Hold(Handler):
    """Extends the lease and lists the runs."""

    async def post(self) -> None:
        """Answer the call."""
        worker = self.worker
        if worker.late_hold_s and "deadline_ms" in json.loads(self.request.body):
            delay_s, worker.late_hold_s = worker.late_hold_s, 0.0
            await worker.hold_late(json.loads(self.request.body), delay_s)
            return
        body = self.taken()
        if body is None:
            return
        worker.acknowledge(body.get("acked_upto", 0))
        wait_s = min(body.get("wait_ms", 0), 2000) / 1000
        if not worker.ended and wait_s:
            try:
                await asyncio.wait_for(worker.news.wait(), wait_s)
            except TimeoutError:
                pass
        self.finish(worker.lists())


class Switches(Handler):
    """Sets the troubles."""

    def post(self) -> None:
        """Answer the call."""
        body = json.loads(self.request.body or b"{}")
        self.worker.late_hold_s = body.get("late_hold_s", 0.0)
        if "shed_s" in body:
            self.worker.shed_until = time.monotonic() + body["shed_s"]
        self.finish({"running": [list(key) for key in self.worker.running]})


async def main() -> None:
    """Serve one lifetime until it crashes or is ended."""
    worker = Worker(json.loads(sys.argv[1]))
    args = {"worker": worker}
    host, _, port = worker.cfg["app"].rpartition(":")
    app = Application(
        [
            ("/run-start", Start, args),
            ("/run-stop", Stop, args),
            ("/hold", Hold, args),
            ("/switches", Switches, args),
        ],
        log_function=lambda _handler: None,
    )
    app.listen(int(port), host)
    worker.record("born")
    await asyncio.gather(worker.work(), worker.beat())


if __name__ == "__main__":
    if sys.argv[2:] == ["back"]:
        time.sleep(BACK_S)
    asyncio.run(main())
