"""Tests of the list of entries against records that another writer has left."""

from __future__ import annotations

import asyncio

import pytest
from standins.job_store import MemoryStore

from hyssoprill.coordination.entry_watcher import EntryWatcher
from hyssoprill.ports.store import Record
from hyssoprill.tasks import cancel_all

GOOD = "tcp://127.0.0.1:9001"
ODD_URLS = [
    b"tcp://127.0.0.1:99999999",
    b"tcp://127.0.0.1:65536",
    b"tcp://127.0.0.1:0",
    b"tcp://127.0.0.1",
    b"tcp://127.0.0.1:9001\n",
    b"tcp://a\x00b:1",
    b"tcp://a..b:1",
    b"inproc://other",
    b"\xff\xfe",
    b"[" * 100_000,
    b"tcp://" + b"a" * 3000 + b":1",
]


@pytest.mark.parametrize("url", ODD_URLS, ids=range(len(ODD_URLS)))
def test_address_that_cannot_be_one_names_no_entry_and_the_others_hold(url):
    """An agent dialled it, which ended the task of the link, or reached another."""

    async def main() -> None:
        store = MemoryStore()
        changed: list[str] = []
        watcher = EntryWatcher(store, changed.append)
        await store.append("members", [Record("entry-0", url)])
        task = asyncio.ensure_future(watcher.run())
        await asyncio.sleep(0.02)
        await store.append("members", [Record("entry-1", url), Record("", b"x")])
        await store.append("members", [Record("entry-2", GOOD.encode())])
        async with asyncio.timeout(2.0):
            while "entry-2" not in watcher.link_urls:
                await asyncio.sleep(0.01)
        await cancel_all([task])
        assert watcher.link_urls == {"entry-2": GOOD}
        assert changed == ["entry-2"]

    asyncio.run(main())


def test_address_that_cannot_be_one_does_not_replace_the_known_one():
    watcher = EntryWatcher(MemoryStore(), lambda _name: None)
    watcher.update("entry-1", GOOD)
    watcher.update("entry-1", "tcp://127.0.0.1:99999999")
    assert watcher.link_urls == {"entry-1": GOOD}
