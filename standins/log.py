"""Stand-in of the platform's append-only log."""

from __future__ import annotations

import asyncio
import json
import time

import click
from tornado.web import Application, RequestHandler


class LogState:
    """Records in memory, and the switches for faults."""

    def __init__(self, appends_per_s: int) -> None:
        self.records: list[dict] = []
        self.first = 0
        self.appends_per_s = appends_per_s
        self.calls: list[float] = []
        self.changed = asyncio.Event()
        self.switches = {"outage": False, "slow_s": 0.0, "lose_answers": 0, "keep": 0}

    def append(self, records: list[dict]) -> list[int]:
        """Store records and return their offsets."""
        offsets = []
        for record in records:
            offset = self.first + len(self.records)
            self.records.append({"offset": offset, **record})
            offsets.append(offset)
        keep = self.switches["keep"]
        if keep and len(self.records) > keep:
            self.first += len(self.records) - keep
            self.records = self.records[-keep:]
        self.changed.set()
        self.changed = asyncio.Event()
        return offsets

    def is_over_rate(self) -> bool:
        """Count one call and tell whether there were too many in a second."""
        now = time.monotonic()
        self.calls = [at for at in self.calls if at > now - 1.0] + [now]
        return len(self.calls) > self.appends_per_s


class _Handler(RequestHandler):
    def initialize(self, state: LogState) -> None:
        self.state = state

    async def prepare(self) -> None:
        if self.request.path == "/v1/switches":
            return
        await asyncio.sleep(self.state.switches["slow_s"])
        if self.state.switches["outage"]:
            self.set_status(503)
            self.finish({"error": "outage"})


class _Append(_Handler):
    def post(self) -> None:
        if self.state.is_over_rate():
            self.set_status(429)
            self.finish({"error": "too many appends"})
            return
        offsets = self.state.append(json.loads(self.request.body)["records"])
        if self.state.switches["lose_answers"] > 0:
            self.state.switches["lose_answers"] -= 1
            self.request.connection.stream.close()
            return
        self.finish({"offsets": offsets})


class _Read(_Handler):
    async def get(self) -> None:
        state = self.state
        start = int(self.get_argument("from"))
        if start >= state.first + len(state.records):
            wait_s = float(self.get_argument("wait_s"))
            try:
                await asyncio.wait_for(state.changed.wait(), wait_s)
            except TimeoutError:
                pass
        begin = max(start - state.first, 0)
        end = begin + int(self.get_argument("max"))
        if state.switches["outage"]:
            self.set_status(503)
            self.finish({"error": "outage"})
            return
        self.finish(
            {
                "first": state.first,
                "next": state.first + len(state.records),
                "records": state.records[begin:end],
            }
        )


class _Switches(_Handler):
    def post(self) -> None:
        self.state.switches.update(json.loads(self.request.body))
        self.finish(self.state.switches)


async def _serve(port: int, appends_per_s: int) -> None:
    args = {"state": LogState(appends_per_s)}
    app = Application(
        [
            ("/v1/append", _Append, args),
            ("/v1/read", _Read, args),
            ("/v1/switches", _Switches, args),
        ]
    )
    server = app.listen(port, "127.0.0.1")
    sockets = server._sockets.values()
    print(json.dumps({"port": next(iter(sockets)).getsockname()[1]}), flush=True)
    await asyncio.Event().wait()


@click.command()
@click.option("--port", default=0)
@click.option("--appends-per-s", default=300)
def main(port: int, appends_per_s: int) -> None:
    """Serve the log until ended; prints its port as JSON."""
    asyncio.run(_serve(port, appends_per_s))


if __name__ == "__main__":
    main()
