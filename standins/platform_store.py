"""Stand-in of the platform's log store over HTTP, on the in-memory one."""

from __future__ import annotations

import asyncio
import base64
import json
import struct

import click
from tornado.web import Application, RequestHandler

from hyssoprill.errors import (
    StoreFencedError,
    StoreHistoryLostError,
    StoreMovedError,
    StoreRejectedError,
)
from hyssoprill.ports.store import Record, Writer

from .job_store import LogTopic


class StoreState:
    """Topics by name, and the switches for faults.

    Switches: `down` refuses calls, `slow_s` delays them, `lost_answers` closes so many
    connections of appends instead of answering.
    """

    def __init__(self) -> None:
        self.topics: dict[str, LogTopic] = {}
        self.news = asyncio.Event()
        self.switches: dict[str, float] = {"down": 0, "slow_s": 0, "lost_answers": 0}
        self.calls: dict[str, int] = {}

    def topic(self, name: str) -> LogTopic:
        """Return a topic, created on first use."""
        return self.topics.setdefault(name, LogTopic())

    def wake(self) -> None:
        """Wake the reads that wait."""
        self.news.set()
        self.news = asyncio.Event()


class _Handler(RequestHandler):
    def initialize(self, state: StoreState) -> None:
        self.state = state

    async def prepare(self) -> None:
        path = self.request.path
        if path == "/switches":
            return
        self.state.calls[path] = self.state.calls.get(path, 0) + 1
        await asyncio.sleep(self.state.switches["slow_s"])
        if self.state.switches["down"]:
            self.set_status(503)
            self.finish()

    def topic(self) -> LogTopic:
        return self.state.topic(self.get_query_argument("topic"))


class _Append(_Handler):
    def post(self) -> None:
        at = self.get_query_argument("at", None)
        writer = None
        if self.get_query_argument("producer", None):
            writer = Writer(
                int(self.get_query_argument("epoch")),
                int(self.get_query_argument("seq")),
            )
        topic = self.topic()
        try:
            offset = topic.append(
                _unpack(self.request.body), None if at is None else int(at), writer
            )
        except StoreRejectedError as exc:
            self.set_status(400)
            self.finish({"error": exc.message})
            return
        except StoreMovedError:
            self.set_status(412)
            self.finish({"end": topic.end})
            return
        except StoreFencedError as exc:
            self.set_status(409)
            self.finish({"reason": exc.message})
            return
        self.state.wake()
        if self.state.switches["lost_answers"] > 0:
            self.state.switches["lost_answers"] -= 1
            self.request.connection.stream.close()
            return
        self.finish({"offset": offset, "end": topic.end})


class _Read(_Handler):
    async def get(self) -> None:
        offset = int(self.get_query_argument("from"))
        wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
        topic = self.topic()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while topic.end <= offset and (left := deadline - loop.time()) > 0:
            try:
                await asyncio.wait_for(self.state.news.wait(), left)
            except TimeoutError:
                break
        try:
            page = topic.read(offset)
        except StoreHistoryLostError:
            self.set_status(410)
            self.finish({"first": topic.end})
            return
        body = struct.pack(">QQ", topic.end, 0)
        body += b"".join(_pack(one.key, one.value) for one in page.records)
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(body)


class _Newest(_Handler):
    def get(self) -> None:
        page = self.topic().newest_page()
        items = [
            {
                "key": one.key,
                "value": base64.b64encode(one.value).decode(),
                "offset": one.offset,
            }
            for one in page.records
        ]
        self.finish({"items": items, "more_pages": False, "end": page.end_offset})


class _Switches(_Handler):
    def post(self) -> None:
        body = json.loads(self.request.body)
        for name in body.pop("forget", ()):
            self.state.topic(name).forget()
        self.state.switches.update(body)
        self.finish({"calls": self.state.calls})


def _pack(key: str, value: bytes) -> bytes:
    raw = key.encode(errors="surrogateescape")
    return struct.pack(">IB", 1 + len(raw) + len(value), len(raw)) + raw + value


def _unpack(body: bytes) -> list[Record]:
    records = []
    position = 0
    while position < len(body):
        size, key_size = struct.unpack_from(">IB", body, position)
        start = position + 5
        key = body[start : start + key_size].decode(errors="surrogateescape")
        records.append(Record(key, body[start + key_size : position + 4 + size]))
        position += 4 + size
    return records


async def _serve(port: int) -> None:
    args = {"state": StoreState()}
    app = Application(
        [
            ("/log-append", _Append, args),
            ("/log-read", _Read, args),
            ("/log-newest", _Newest, args),
            ("/switches", _Switches, args),
        ]
    )
    app.listen(port, "127.0.0.1")
    print(json.dumps({"port": port}), flush=True)
    await asyncio.Event().wait()


@click.command()
@click.option("--port", type=int, required=True)
def main(port: int) -> None:
    """Serve the store until ended."""
    asyncio.run(_serve(port))


if __name__ == "__main__":
    main()
