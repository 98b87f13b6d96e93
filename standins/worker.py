"""Stand-in of the platform's worker, with its own record of what it did."""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
import time
from dataclasses import dataclass, field
from typing import Any

import click
from tornado.web import Application, RequestHandler

CHECKPOINT_S = 0.1
USAGE_LAG_S = 0.5
ENDED_TASKS_KEPT = 2000


@dataclass
class Task:
    """A task that was started."""

    id: str
    meta: Any
    work: dict
    resume_s: float
    lease_until: float
    started: float = field(default_factory=time.monotonic)
    state: str = "running"
    body: str | None = None
    progress_s: float = 0.0
    speed: float = 1.0
    over: asyncio.Event = field(default_factory=asyncio.Event)

    def done_s(self) -> float:
        """Seconds of work done so far."""
        return self.resume_s + (time.monotonic() - self.started) * self.speed

    def report(self) -> dict:
        """Return the task as callers see it; usage lags behind."""
        digest = hashlib.sha256((self.body or "").encode()).hexdigest()
        return {
            "id": self.id,
            "state": self.state,
            "meta": self.meta,
            "progress_s": self.progress_s,
            "usage": max(0.0, self.done_s() - USAGE_LAG_S),
            "body": self.body,
            "sha256": digest if self.body is not None else "",
        }


class WorkerState:
    """Tasks, session, record and switches of one worker."""

    def __init__(self, capacity: dict) -> None:
        self.capacity = capacity
        self.tasks: dict[str, Task] = {}
        self.fence = 0
        self.began = time.monotonic()
        self.session_until = 0.0
        self.session_ttl_s = 1.0
        self.accepting = True
        self.record: list[dict] = []
        self.switches: dict[str, Any] = {
            "fail_everything": False,
            "run_factor": 1.0,
            "refuse_starts": False,
            "lose_start_answers": 0,
            "cross_answers": 0,
            "cut_answers": 0,
            "slow_answers_s": 0.0,
        }

    def note(self, event: str, task: Task | None = None, **more: Any) -> None:
        """Add a line to the record."""
        line = {"at": time.monotonic(), "event": event, **more}
        if task is not None:
            line |= {"task": task.id, "meta": task.meta}
        self.record.append(line)

    def end(self, task: Task, state: str) -> None:
        """End a running task."""
        if task.state != "running":
            return
        task.state = state
        task.over.set()
        self.note("end", task, state=state)
        ended = [key for key, one in self.tasks.items() if one.state != "running"]
        for key in ended[:-ENDED_TASKS_KEPT]:
            del self.tasks[key]

    def refusal(self, body: dict) -> str | None:
        """Return why a start is refused, or None."""
        if body["fence"] != self.fence:
            return "stale fence"
        if time.monotonic() > self.session_until:
            return "session expired"
        if not self.accepting or self.switches["refuse_starts"]:
            return "not accepting"
        running = [task for task in self.tasks.values() if task.state == "running"]
        if len(running) >= self.capacity["slots"]:
            return "no slot"
        used = sum(task.meta["accelerators"] for task in running)
        if used + body["meta"]["accelerators"] > self.capacity["accelerators"]:
            return "no accelerator"
        return None

    async def run(self, task: Task) -> None:
        """Run a task to its end."""
        run_s = float(task.work.get("run_s", 0.01)) * self.switches["run_factor"]
        if self.switches["fail_everything"] or task.work.get("fail"):
            await asyncio.sleep(0.02)
            self.end(task, "failed")
            return
        while task.state == "running" and task.done_s() < run_s:
            left = max(run_s - task.done_s(), 0.001)
            await asyncio.sleep(min(left, 0.05))
        if task.state == "running":
            task.body = json.dumps({"echo": task.work.get("echo"), "task": task.id})
            self.end(task, "done")

    async def watch_leases(self) -> None:
        """End tasks of which the lease was not renewed."""
        while True:
            now = time.monotonic()
            for task in list(self.tasks.values()):
                if task.state == "running" and now > task.lease_until:
                    self.end(task, "lapsed")
            await asyncio.sleep(0.05)


class _Handler(RequestHandler):
    def initialize(self, state: WorkerState) -> None:
        self.state = state

    def json(self) -> dict:
        return json.loads(self.request.body)

    def refuse(self, reason: str) -> None:
        self.set_status(409)
        self.finish({"error": reason})


class _Session(_Handler):
    def post(self) -> None:
        state, body = self.state, self.json()
        state.fence += 1
        state.session_ttl_s = body["ttl_s"]
        state.session_until = time.monotonic() + body["ttl_s"]
        state.note("session", holder=body["holder"], fence=state.fence)
        reports = [task.report() for task in state.tasks.values()]
        uptime_s = time.monotonic() - state.began
        self.finish(
            {
                "fence": state.fence,
                **state.capacity,
                "uptime_s": uptime_s,
                "tasks": reports,
            }
        )


class _Renew(_Handler):
    def post(self) -> None:
        state, body = self.state, self.json()
        now = time.monotonic()
        if body["fence"] != state.fence or now > state.session_until:
            return self.refuse("session is over")
        state.session_until = now + state.session_ttl_s
        reports = []
        for key in body["tasks"]:
            task = state.tasks.get(key)
            if task is None:
                reports.append({"id": key, "state": "unknown"})
                continue
            if task.state == "running":
                task.lease_until = now + body["lease_s"]
            reports.append({**task.report(), "body": None})
        return self.finish({"accepting": state.accepting, "tasks": reports})


class _Tasks(_Handler):
    async def post(self) -> None:
        state, body = self.state, self.json()
        task = state.tasks.get(body["id"])
        if task is None:
            reason = state.refusal(body)
            if reason:
                state.note("refused", task=body["id"], reason=reason)
                return self.refuse(reason)
            work = body["work"]
            task = Task(
                body["id"],
                body["meta"],
                work.get("work") or {},
                float(work.get("resume_s", 0.0)),
                time.monotonic() + body["lease_s"],
            )
            state.tasks[task.id] = task
            state.note("start", task)
            asyncio.ensure_future(state.run(task))
        if state.switches["lose_start_answers"] > 0:
            state.switches["lose_start_answers"] -= 1
            return self.request.connection.stream.close()
        return self.finish({})


class _Task(_Handler):
    async def get(self, key: str) -> None:
        state = self.state
        task = state.tasks.get(key)
        if task is None:
            self.finish({"id": key, "state": "unknown"})
            return
        try:
            await asyncio.wait_for(task.over.wait(), float(self.get_argument("wait_s")))
        except TimeoutError:
            pass
        await asyncio.sleep(state.switches["slow_answers_s"])
        report = task.report()
        if task.state == "done":
            report = self._spoil(report)
        self.finish(report)

    def _spoil(self, report: dict) -> dict:
        """Cross or cut an answer where a switch says so."""
        switches = self.state.switches
        others = [
            t for t in self.state.tasks.values() if t.body and t.id != report["id"]
        ]
        if switches["cross_answers"] > 0 and others:
            switches["cross_answers"] -= 1
            return others[-1].report()
        if switches["cut_answers"] > 0:
            switches["cut_answers"] -= 1
            return {**report, "body": report["body"][:-3]}
        return report


class _Stop(_Handler):
    async def post(self, key: str) -> None:
        state, body = self.state, self.json()
        task = state.tasks.get(key)
        if body["fence"] != state.fence:
            return self.refuse("stale fence")
        if task is None:
            return self.finish({"id": key, "state": "unknown"})
        if body["grace_s"] >= CHECKPOINT_S and task.state == "running":
            state.note("checkpoint", task)
            await asyncio.sleep(CHECKPOINT_S)
            task.progress_s = task.done_s()
        state.end(task, "stopped")
        return self.finish(task.report())


class _Throttle(_Handler):
    def post(self, key: str) -> None:
        task = self.state.tasks[key]
        task.resume_s, task.started = task.done_s(), time.monotonic()
        task.speed = self.json()["speed"]
        self.finish({})


class _Switches(_Handler):
    def post(self) -> None:
        body = self.json()
        if "accepting" in body:
            self.state.accepting = body.pop("accepting")
            self.state.note("accepting", value=self.state.accepting)
        freeze_s = body.pop("freeze_s", 0.0)
        self.state.switches.update(body)
        self.finish({})
        asyncio.get_running_loop().call_later(0.05, time.sleep, freeze_s)


class _Record(_Handler):
    def get(self) -> None:
        self.finish({"now": time.monotonic(), "record": self.state.record})


async def _serve(port: int, capacity: dict) -> None:
    state = WorkerState(capacity)
    args = {"state": state}
    app = Application(
        [
            ("/v1/session", _Session, args),
            ("/v1/renew", _Renew, args),
            ("/v1/tasks", _Tasks, args),
            ("/v1/tasks/(.+)/stop", _Stop, args),
            ("/v1/tasks/(.+)/throttle", _Throttle, args),
            ("/v1/tasks/(.+)", _Task, args),
            ("/v1/switches", _Switches, args),
            ("/v1/record", _Record, args),
        ]
    )
    server = app.listen(port, "127.0.0.1")
    sockets = server._sockets.values()
    print(json.dumps({"port": next(iter(sockets)).getsockname()[1]}), flush=True)
    stopping = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopping.set)
    watcher = asyncio.ensure_future(state.watch_leases())
    await stopping.wait()
    state.accepting = False
    state.note("accepting", value=False)
    while any(task.state == "running" for task in state.tasks.values()):
        await asyncio.sleep(0.05)
    await asyncio.sleep(0.5)
    watcher.cancel()


@click.command()
@click.option("--port", default=0)
@click.option("--slots", default=8)
@click.option("--accelerators", default=8)
@click.option("--cores", default=64)
@click.option("--memory-gb", default=256)
def main(port: int, **capacity: int) -> None:
    """Serve a worker until SIGTERM; prints its port as JSON."""
    asyncio.run(_serve(port, capacity))


if __name__ == "__main__":
    main()
