"""Stand-in of the platform's store: keyed topics with one partition, over HTTP.

Each topic keeps all records and the newest one of each key. Appends to a partition are
done one at a time and take `APPEND_S`. `POST /switches` sets the troubles:

`answer_s`
    Answers are held back for so long; what was asked is done at once.
`late`
    Appends of these seconds to come are not answered, and done later: a list of the
    share, the shortest and the longest delay in seconds, and for how long.

With a second address, the store also serves one machine there, whose links to the
entries then lead through forwarders: in the records that it reads, host parts of the
addresses of entries are replaced as the further arguments say (OLD=NEW).
"""

from __future__ import annotations

import asyncio
import base64
import json
import random
import struct
import sys
import time
from typing import Any

from tornado.web import Application, RequestHandler

APPEND_S = 0.004
MAX_PAGE = 500


class Topic:
    """Records of one topic, with what fences its producers off."""

    def __init__(self) -> None:
        self.records: list[tuple[bytes, bytes]] = []
        self.newest: dict[bytes, tuple[int, bytes]] = {}
        self.epoch = -1
        self.sequence = 0
        self.answers: dict[int, int] = {}
        self.lock = asyncio.Lock()

    def append(
        self, rows: list[tuple[bytes, bytes]], at: str | None, writer: Any
    ) -> tuple[int, dict[str, Any]]:
        """Append rows and return the status and the body of the answer."""
        if at is not None and int(at) != len(self.records):
            return 412, {"end": len(self.records)}
        if writer is not None:
            epoch, sequence = writer
            if epoch < self.epoch:
                return 409, {"reason": "fenced"}
            if epoch > self.epoch:
                self.epoch, self.sequence = epoch, sequence - 1
                self.answers.clear()
            if sequence in self.answers:
                offset = self.answers[sequence]
                return 200, {"offset": offset, "end": len(self.records)}
            if sequence != self.sequence + 1:
                return 409, {"reason": "seq", "expected": self.sequence + 1}
            self.sequence = sequence
            self.answers[sequence] = len(self.records)
            for old in sorted(self.answers)[:-5]:
                del self.answers[old]
        first = len(self.records)
        for key, value in rows:
            if value:
                self.newest[key] = (len(self.records), value)
            else:
                self.newest.pop(key, None)
            self.records.append((key, value))
        return 200, {"offset": first, "end": len(self.records)}


class Store:
    """All topics and the troubles that are switched on."""

    def __init__(self) -> None:
        self.topics: dict[str, Topic] = {}
        self.news = asyncio.Event()
        self.answer_s = 0.0
        self.late = (0.0, 0.0, 0.0)
        self.late_until = 0.0
        self.background: set[asyncio.Task[None]] = set()

    def topic(self, name: str) -> Topic:
        """Return a topic, which is created on first use."""
        return self.topics.setdefault(name, Topic())

    def wake(self) -> None:
        """Wake the reads that wait."""
        self.news.set()
        self.news = asyncio.Event()


class Handler(RequestHandler):
    """Base of the handlers; holds answers back while the store is slow."""

    def initialize(self, store: Store, hosts: dict[bytes, bytes]) -> None:
        """Keep the store, and the hosts to replace in what is read."""
        self.store = store
        self.hosts = hosts

    def seen(self, value: bytes) -> bytes:
        """Return a value as the calling machine sees it."""
        for old, new in self.hosts.items():
            value = value.replace(b"//" + old + b":", b"//" + new + b":")
        return value

    async def answer(self, status: int, body: bytes | dict[str, Any]) -> None:
        """Send an answer."""
        await asyncio.sleep(self.store.answer_s)
        self.set_status(status)
        self.finish(body)

    def named_topic(self) -> Topic:
        """Return the topic that the call names."""
        return self.store.topic(self.get_query_argument("topic"))


class Append(Handler):
    """Appends records."""

    async def post(self) -> None:
        """Append the records of the call."""
        store, topic = self.store, self.named_topic()
        at = self.get_query_argument("at", None)
        writer = None
        if self.get_query_argument("producer", None) is not None:
            epoch = int(self.get_query_argument("epoch"))
            writer = (epoch, int(self.get_query_argument("seq")))
        rows = unpack(self.request.body)
        share, shortest, longest = store.late
        if time.monotonic() < store.late_until and random.random() < share:
            delay_s = random.uniform(shortest, longest)
            work = asyncio.ensure_future(self.append(topic, rows, at, writer, delay_s))
            store.background.add(work)
            self.request.connection.stream.close()
            return
        status, body = await self.append(topic, rows, at, writer)
        await self.answer(status, body)

    async def append(
        self,
        topic: Topic,
        rows: list[tuple[bytes, bytes]],
        at: str | None,
        writer: Any,
        delay_s: float = 0.0,
    ) -> tuple[int, dict[str, Any]]:
        """Append after a delay, one call at a time."""
        await asyncio.sleep(delay_s)
        async with topic.lock:
            await asyncio.sleep(APPEND_S)
            result = topic.append(rows, at, writer)
        self.store.wake()
        return result


class Read(Handler):
    """Reads records from an offset on, and waits for the first."""

    async def get(self) -> None:
        """Answer the call."""
        store, topic = self.store, self.named_topic()
        offset = int(self.get_query_argument("from"))
        left_kb = int(self.get_query_argument("max_kb", "1024"))
        deadline = (
            time.monotonic() + int(self.get_query_argument("wait_ms", "0")) / 1000
        )
        while len(topic.records) <= offset and time.monotonic() < deadline:
            try:
                await asyncio.wait_for(store.news.wait(), deadline - time.monotonic())
            except TimeoutError:
                break
        body = struct.pack(">QQ", len(topic.records), 0)
        for key, value in topic.records[offset:]:
            body += pack(key, self.seen(value))
            if len(body) > left_kb * 1024:
                break
        self.set_header("Content-Type", "application/octet-stream")
        await self.answer(200, body)


class Newest(Handler):
    """Returns the newest record of each key, in pages."""

    async def get(self) -> None:
        """Answer the call."""
        topic = self.named_topic()
        after = self.get_query_argument("after", "").encode()
        keys = [key for key in sorted(topic.newest) if not after or key > after]
        items = [
            {
                "key": key.decode(),
                "value": base64.b64encode(self.seen(topic.newest[key][1])).decode(),
                "offset": topic.newest[key][0],
            }
            for key in keys[:MAX_PAGE]
        ]
        more = len(keys) > MAX_PAGE
        body = {"items": items, "more_pages": more, "end": len(topic.records)}
        await self.answer(200, body)


class Switches(Handler):
    """Sets the troubles."""

    def post(self) -> None:
        """Set the troubles of the call."""
        body = json.loads(self.request.body or b"{}")
        self.store.answer_s = body.get("answer_s", self.store.answer_s)
        if "late" in body:
            *self.store.late, for_s = body["late"]
            self.store.late_until = time.monotonic() + for_s
        self.finish({})


def pack(key: bytes, value: bytes) -> bytes:
    """Return a record as it stands in calls and answers."""
    return struct.pack(">IB", 1 + len(key) + len(value), len(key)) + key + value


def unpack(body: bytes) -> list[tuple[bytes, bytes]]:
    """Return the keys and values of the records of a call."""
    rows, position = [], 0
    while position < len(body):
        size, key_size = struct.unpack_from(">IB", body, position)
        start = position + 5
        end = position + 4 + size
        rows.append((body[start : start + key_size], body[start + key_size : end]))
        position = end
    return rows


async def main() -> None:
    """Serve the store until ended."""
    store = Store()
    replaced = [one.encode().split(b"=") for one in sys.argv[3:]]
    for address, hosts in zip(sys.argv[1:3], ({}, dict(replaced)), strict=False):
        host, _, port = address.rpartition(":")
        args = {"store": store, "hosts": hosts}
        app = Application(
            [
                ("/log-append", Append, args),
                ("/log-read", Read, args),
                ("/log-newest", Newest, args),
                ("/switches", Switches, args),
            ],
            log_function=lambda _handler: None,
        )
        app.listen(int(port), host)
    await asyncio.Event().wait()


if __name__ == "__main__":
    asyncio.run(main())
