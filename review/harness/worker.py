"""Stand-in of a platform's worker, by PROTOCOL, "Running tasks".

It runs tasks by their number, token and lease, checks in with the agent of its VM, and
writes what it does to standard output as JSON lines. A task's `spec` is JSON:

work_s
    How long the task works until it is done.
lasting, startup_s
    The task runs until it is stopped, and is at work after `startup_s`.
fail_runs, fail_after_s
    Runs up to this number end as failed after this time.
crash_after_s
    The worker crashes this long after it has started the task.

Lines on standard input set switches: `{"reset": true}` closes the connection of each
call, which is not carried out, and `{"shed": true}` answers starts with 503. With
`{"drain": true}` the worker drains and then leaves.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import time
from contextlib import suppress
from dataclasses import dataclass
from typing import Any

from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest
from tornado.web import Application, RequestHandler

MAX_HOLD_MS = 6000
STOP_S = 0.1
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
"""From the ack that the worker drains until it leaves, at least."""
TICK_S = 0.02
MAX_LISTED_ENDS = 500


@dataclass
class Run:
    """One run of a task."""

    task: str
    number: int
    spec: dict[str, Any]
    began_s: float
    stops_s: float = float("inf")

    def percent(self, now_s: float) -> int:
        """Return the progress; a lasting task stays at 100 while it is at work."""
        whole_s = self.spec.get("work_s", 1.0)
        if self.spec.get("lasting"):
            whole_s = self.spec.get("startup_s", 0.3)
        return min(int(100 * (now_s - self.began_s) / whole_s), 100)

    def outcome(self, now_s: float) -> str:
        """Return how the run ends by itself now, or ''."""
        ran_s = now_s - self.began_s
        if self.number <= self.spec.get("fail_runs", 0):
            return "failed" if ran_s >= self.spec["fail_after_s"] else ""
        if self.spec.get("lasting"):
            return ""
        return "done" if ran_s >= self.spec.get("work_s", 1.0) else ""


class Worker:
    """State of one lifetime."""

    def __init__(self, worker_id: str) -> None:
        self.id = worker_id
        self.born = time.time_ns() // 1_000_000
        self._began_s = time.monotonic()
        self.token = 0
        self.lease_ms = 0
        self.running: dict[str, Run] = {}
        self.closed: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.end_count = 0
        self.news = asyncio.Event()
        self.switches: dict[str, Any] = {"reset": False, "shed": False, "drain": False}
        self.switched = asyncio.Event()

    @property
    def clock_ms(self) -> int:
        """The worker's own steady clock, which starts anew with each lifetime."""
        return int((time.monotonic() - self._began_s) * 1000)

    def extend(self, body: dict[str, Any]) -> None:
        """Extend the lease, by `MAX_HOLD_MS` at most, and never shorten it."""
        wanted = min(body.get("deadline_ms", 0), self.clock_ms + MAX_HOLD_MS)
        self.lease_ms = max(self.lease_ms, wanted)

    def start(self, body: dict[str, Any]) -> str:
        """Start a run; return the reason where it is rejected, or ''."""
        task, number = body["task"], body["run"]
        known = self.running.get(task)
        if known is not None and known.number == number:
            return ""
        if number <= self.closed.get(task, 0):
            return "old"
        if self.lease_ms <= self.clock_ms:
            return "late"
        spec = json.loads(body["spec"])
        self.running[task] = Run(task, number, spec, time.monotonic())
        tell("start", task=task, run=number)
        if "crash_after_s" in spec:
            loop = asyncio.get_running_loop()
            loop.call_later(spec["crash_after_s"], crash, task)
        return ""

    def stop(self, task: str, number: int) -> None:
        """Stop a run, or make sure that it never starts."""
        run = self.running.get(task)
        if run is not None and run.number == number:
            run.stops_s = min(run.stops_s, time.monotonic() + STOP_S)
        else:
            self.closed[task] = max(self.closed.get(task, 0), number)

    def end(self, run: Run, how: str) -> None:
        """End a run and list it."""
        self.end_count += 1
        del self.running[run.task]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.ended.append([self.end_count, run.task, run.number, how, ""])
        tell("end", task=run.task, run=run.number, how=how)
        self.news.set()
        self.news = asyncio.Event()

    def acknowledge(self, upto: int) -> None:
        """Forget the ends up to a number."""
        for number, task, run, how, _saved in self.ended:
            if number <= upto:
                tell("taken note of", task=task, run=run, how=how)
        self.ended = [row for row in self.ended if row[0] > upto]

    def lists(self) -> dict[str, Any]:
        """Return both lists; what is empty is left out."""
        now_s = time.monotonic()
        body: dict[str, Any] = {"clock_ms": self.clock_ms, "born": self.born}
        if self.running:
            body["running"] = [
                [run.task, run.number, "", run.percent(now_s), 0]
                for run in self.running.values()
            ]
        if self.ended:
            body["ended"] = self.ended[:MAX_LISTED_ENDS]
        return body

    async def work(self) -> None:
        """End the runs that are done, stopped or without a lease."""
        while True:
            await asyncio.sleep(TICK_S)
            now_s = time.monotonic()
            for run in list(self.running.values()):
                if self.clock_ms > self.lease_ms:
                    self.end(run, "lapsed")
                elif now_s >= run.stops_s:
                    self.end(run, "stopped")
                elif run.outcome(now_s):
                    self.end(run, run.outcome(now_s))


class _Handler(RequestHandler):
    def initialize(self, worker: Worker) -> None:
        self.worker = worker

    def prepare(self) -> None:
        if self.worker.switches["reset"]:
            self.detach().close()
            return
        expected = self.request.headers.get("Expect-Instance")
        if expected is not None and expected != self.worker.id:
            self.set_status(421)
            self.finish()
            return
        self.call = json.loads(self.request.body)
        token = self.call.get("fencing_token", 0)
        if token < self.worker.token:
            self.reject("fence")
            return
        self.worker.token = token

    def reject(self, reason: str) -> None:
        self.set_status(409)
        self.finish({"clock_ms": self.worker.clock_ms, "reason": reason})

    def accept(self) -> None:
        self.finish({"clock_ms": self.worker.clock_ms})


class _Start(_Handler):
    def post(self) -> None:
        if self.worker.switches["shed"]:
            tell("rejected", task=self.call["task"], run=self.call["run"], status=503)
            self.set_status(503)
            self.finish()
            return
        self.worker.extend(self.call)
        reason = self.worker.start(self.call)
        if reason:
            self.reject(reason)
        else:
            self.accept()


class _Stop(_Handler):
    def post(self) -> None:
        self.worker.stop(self.call["task"], self.call["run"])
        self.accept()


class _Hold(_Handler):
    async def post(self) -> None:
        worker = self.worker
        worker.extend(self.call)
        worker.acknowledge(self.call.get("acked_upto", 0))
        wait_s = self.call.get("wait_ms", 0) / 1000
        if not worker.ended and wait_s:
            with suppress(TimeoutError):
                await asyncio.wait_for(worker.news.wait(), wait_s)
        self.finish(worker.lists())


def tell(event: str, **fields: Any) -> None:
    """Write one line on what has happened."""
    print(json.dumps({"event": event, **fields}), flush=True)


def crash(task: str) -> None:
    """End this lifetime without notice."""
    tell("crash", task=task)
    os._exit(1)


async def check_in(worker: Worker, control: str, body: dict[str, Any]) -> None:
    """Check in with the agent, again and again, until the worker leaves."""
    client = AsyncHTTPClient()
    url = f"http://{control}/instances/{worker.id}"
    leaves_s = float("inf")
    for number in range(1, sys.maxsize):
        body |= {"seq": number, "born": worker.born, "clock_ms": worker.clock_ms}
        if worker.switches["drain"]:
            left_s = min(max(leaves_s - time.monotonic(), 0.0), DRAIN_S)
            body |= {"state": "draining", "remaining_ms": int(left_s * 1000)}
        request = HTTPRequest(url, "PUT", body=json.dumps(body), request_timeout=1.0)
        acked = False
        with suppress(OSError, HTTPClientError):
            answer = await client.fetch(request, raise_error=False)
            acked = answer.code == 200
        if acked and body["state"] == "draining":
            leaves_s = min(leaves_s, time.monotonic() + DRAIN_S + 0.3)
        if time.monotonic() > leaves_s:
            break
        worker.switched.clear()
        with suppress(TimeoutError):
            delay_s = HEARTBEAT_S if acked else 0.2
            delay_s = min(delay_s, max(leaves_s - time.monotonic(), 0.0) + 0.01)
            await asyncio.wait_for(worker.switched.wait(), delay_s)
    with suppress(OSError, HTTPClientError):
        await client.fetch(HTTPRequest(url, "DELETE"), raise_error=False)
    tell("left", id=worker.id)
    os._exit(0)


async def read_switches(worker: Worker) -> None:
    """Apply the lines of standard input."""
    loop = asyncio.get_running_loop()
    while line := await loop.run_in_executor(None, sys.stdin.readline):
        worker.switches.update(json.loads(line))
        worker.switched.set()


async def serve(args: argparse.Namespace) -> None:
    """Serve until ended."""
    worker = Worker(args.id)
    services = {"worker": worker}
    app = Application(
        [
            ("/run-start", _Start, services),
            ("/run-stop", _Stop, services),
            ("/hold", _Hold, services),
        ],
        log_function=lambda _handler: None,
    )
    host, _, port = args.listen.rpartition(":")
    app.listen(int(port), host)
    body = {
        "service": args.service,
        "address": args.address or args.listen,
        "zone": args.zone,
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "capacity": {"cpu": 64000, "mem_mb": 262144, "gpu": 8},
        "labels": ["a", args.rack],
    }
    tell("up", id=worker.id, born=worker.born)
    await asyncio.gather(
        worker.work(), check_in(worker, args.control, body), read_switches(worker)
    )


def main() -> None:
    """Parse the command line and serve."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--id", required=True)
    parser.add_argument("--listen", required=True)
    parser.add_argument("--address", default="", help="advertised, if it differs")
    parser.add_argument("--control", required=True)
    parser.add_argument("--service", required=True)
    parser.add_argument("--zone", required=True)
    parser.add_argument("--rack", required=True)
    asyncio.run(serve(parser.parse_args()))


if __name__ == "__main__":
    main()
