"""Tests of the client of the store against answers that cannot all be read."""

from __future__ import annotations

import asyncio
import struct

import pytest
from tornado.web import RequestHandler

from hyssoprill.errors import StoreInDoubtError, StoreRejectedError
from hyssoprill.ports.store import Record
from hyssoprill.transport.http_server import HttpListener

DEEP = "[" * 100_000 + "]" * 100_000
GOOD_ITEM = '{"key":"a","value":"e30=","offset":3}'
ODD_ITEMS = [
    '{"key":"b","value":"!","offset":1}',
    '{"key":"b","value":7}',
    '{"key":7}',
    '{"value":"e30="}',
    '{"key":"b","offset":1e400}',
    '{"key":"b","offset":' + "9" * 400 + "}",
    "[" * 500 + "]" * 500,
    "null",
]
ODD_ANSWERS = [
    b"[]",
    DEEP.encode(),
    b'{"items":' + DEEP.encode() + b"}",
    b'{"items":7,"offset":1e400}',
    b'{"end":-1,"offset":-1}',
    b"\xff",
]


class Canned(RequestHandler):
    def initialize(self, bodies: list[bytes], status: int = 200) -> None:
        self.bodies = bodies
        self.set_status(status)

    def get(self) -> None:
        self.finish(self.bodies.pop(0))

    post = get


def run_scenario(scenario, *bodies: bytes, status: int = 200) -> None:
    """Run a coroutine function with a client that gets these bodies as answers."""
    from adapter.store import LogStore

    async def main() -> None:
        listener = HttpListener("127.0.0.1", 0)
        routes = [(r"/.*", Canned, {"bodies": list(bodies), "status": status})]
        listener.serve(routes, body_limit_bytes=65_536)
        store = LogStore(listener.url.removeprefix("http://"))
        await scenario(store)
        store.close()
        await listener.close()

    asyncio.run(main())


def packed(content: bytes) -> bytes:
    return struct.pack(">I", len(content)) + content


def page(*contents: bytes) -> bytes:
    return struct.pack(">QQ", 100, 0) + b"".join(packed(one) for one in contents)


@pytest.mark.parametrize("item", ODD_ITEMS, ids=range(len(ODD_ITEMS)))
def test_item_that_cannot_be_read_is_left_out_and_the_others_hold(item):
    """All readers of the topic ended with an exception, or read nothing more."""

    async def scenario(store):
        found = await store.read_latest("jobs")
        assert [(one.key, one.value, one.offset) for one in found.records] == [
            ("a", b"{}", 3)
        ] * 2
        assert (found.next_offset, found.end_offset) == (9, 10)

    first = f'{{"items":[{GOOD_ITEM},{item}],"more_pages":true,"end":9}}'
    second = f'{{"items":[{item},{GOOD_ITEM}],"more_pages":true,"end":10}}'
    run_scenario(scenario, first.encode(), second.encode())


@pytest.mark.parametrize("body", ODD_ANSWERS, ids=range(len(ODD_ANSWERS)))
def test_answer_of_the_store_that_cannot_be_read_counts_as_none(body):
    async def scenario(store):
        with pytest.raises(StoreInDoubtError):
            await store.read_latest("jobs")
        with pytest.raises(StoreInDoubtError):
            await store.append("jobs", [Record("a", b"")])

    run_scenario(scenario, body, body)


@pytest.mark.parametrize("content", [b"", b"\x05ab", b"\xff"])
def test_record_without_a_key_is_left_out_and_the_others_hold(content):
    """The parts of the next record were read as its key and value."""

    async def scenario(store):
        found = await store.read("jobs", 7, wait_s=0.0)
        assert [(one.offset, one.key, one.value) for one in found.records] == [
            (7, "a", b"x"),
            (9, "b", b"y"),
        ]
        assert (found.next_offset, found.end_offset) == (10, 100)

    run_scenario(scenario, page(b"\x01ax", content, b"\x01by"))


@pytest.mark.parametrize("body", [b"", page(b"\x01ax")[:-1], page(b"\x01ax")[:18]])
def test_page_that_ends_within_a_record_counts_as_none(body):
    async def scenario(store):
        with pytest.raises(StoreInDoubtError):
            await store.read("jobs", 7, wait_s=0.0)

    run_scenario(scenario, body)


def test_item_whose_key_is_no_text_does_not_hide_the_others():
    async def scenario(store):
        found = await store.read_latest("jobs")
        assert [one.key for one in found.records] == [
            "\ufffd",
            "\ufffda",
            "\U0001f600",
            "a",
        ]

    items = '{"key":"\\ud800"},{"key":"\\udcffa"},{"key":"\\ud83d\\ude00"},{"key":"a"}'
    run_scenario(scenario, f'{{"items":[{items}],"end":9}}'.encode())


def test_record_that_is_cut_off_after_others_is_left_to_the_next_read():
    async def scenario(store):
        found = await store.read("jobs", 7, wait_s=0.0)
        assert [one.key for one in found.records] == ["a"]
        assert found.next_offset == 8

    run_scenario(scenario, page(b"\x01ax", b"\x01by")[:-1])


@pytest.mark.parametrize("status", [400, 413])
def test_append_that_the_store_answers_as_invalid_is_certainly_not_stored(status):
    # Guards against repeats without an end of an append that is never taken.
    async def scenario(store):
        with pytest.raises(StoreRejectedError, match=str(status)):
            await store.append("jobs", [Record("a", b"b")])

    run_scenario(scenario, b"{}", status=status)
