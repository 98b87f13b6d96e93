from __future__ import annotations

import asyncio
import time

import pytest
from standins.job_store import MemoryStore

from hyssoprill.coordination.entry_watcher import EntryWatcher
from hyssoprill.coordination.intake import relay
from hyssoprill.coordination.intake.relay import Relay
from hyssoprill.errors import StoreInDoubtError, StoreRefusedError
from hyssoprill.ports.store import Record
from hyssoprill.protocol.upstream_messages import RelayAppend
from hyssoprill.tasks import cancel_all
from hyssoprill.transport.frame import FrameCodec
from hyssoprill.transport.link import LinkHub
from hyssoprill.transport.metrics import Metrics

KEY = "5f" * 32
RECORDS = [Record("job/1", b"{}")]


class FakeReplica:
    store_unreachable_s = 0.0


class RelayEntry:
    """An entry with a relay, a link and a store of its own."""

    def __init__(self, name: str) -> None:
        self.store = MemoryStore()
        self.replica = FakeReplica()
        self.name = name
        self.members = EntryWatcher(self.store, lambda _name: None)
        codec = FrameCodec(KEY, name, "1")
        self.hub = LinkHub(codec, self._receive, Metrics("entry", name))
        self.url = self.hub.listen("127.0.0.1", 0)
        self.relay = Relay(name, self.hub, self.members, self.store, self.replica)
        self.silent = False

    async def _receive(self, envelope) -> None:
        if isinstance(envelope.body, RelayAppend):
            result = await self.relay.append_for(envelope.body)
            if not self.silent:
                await self.hub.send(envelope.sender, result)
        else:
            self.relay.answered(envelope.body)


def play(scenario) -> None:
    async def body() -> None:
        near, far = RelayEntry("near"), RelayEntry("far")
        near.members.update("far", far.url)
        near.members.update("near", near.url)
        try:
            await scenario(near, far)
        finally:
            for entry in (near, far):
                await cancel_all(entry.hub._tasks)
                await entry.hub.__aexit__()

    asyncio.run(body())


def test_peer_appends_and_tells_the_offset():
    async def scenario(near, far):
        far.store.topic("jobs").append(RECORDS, None, None)
        assert await near.relay.append(RECORDS) == 1
        assert far.store.topic("jobs").end == 2

    play(scenario)


def test_peer_that_cannot_reach_the_store_refuses_at_once():
    async def scenario(near, far):
        far.replica.store_unreachable_s = 1.0
        began = time.monotonic()
        with pytest.raises(StoreRefusedError):
            await near.relay.append(RECORDS)
        assert time.monotonic() - began < 0.4
        assert far.store.topic("jobs").end == 0

    play(scenario)


def test_peer_that_does_not_answer_leaves_the_append_in_doubt():
    async def scenario(near, far):
        far.silent = True
        with pytest.raises(StoreInDoubtError):
            await near.relay.append(RECORDS)

    play(scenario)


def test_entry_without_peers_refuses():
    async def scenario(near, _far):
        near.members.update("far", "")
        with pytest.raises(StoreRefusedError):
            await near.relay.append(RECORDS)

    play(scenario)


def test_caller_is_answered_at_once_when_no_peer_was_of_help_lately():
    async def scenario(near, far):
        far.silent = True
        with pytest.raises(StoreInDoubtError):
            await near.relay.append(RECORDS)
        began = time.monotonic()
        with pytest.raises(StoreRefusedError):
            await near.relay.append(RECORDS)
        assert time.monotonic() - began < 0.1

    play(scenario)


def test_peer_that_failed_is_asked_again_after_a_pause(monkeypatch):
    monkeypatch.setattr(relay, "PEER_PAUSE_S", 0.1)

    async def scenario(near, far):
        far.replica.store_unreachable_s = 1.0
        with pytest.raises(StoreRefusedError):
            await near.relay.append(RECORDS)
        far.replica.store_unreachable_s = 0.0
        await asyncio.sleep(0.15)
        assert await near.relay.append(RECORDS) == 0

    play(scenario)


def test_third_peer_is_asked_when_two_refuse():
    async def scenario(near, far):
        others = [RelayEntry("second"), RelayEntry("third")]
        far.replica.store_unreachable_s = others[0].replica.store_unreachable_s = 1.0
        for one in others:
            near.members.update(one.name, one.url)
        try:
            assert await near.relay.append(RECORDS) == 0
            assert others[1].store.topic("jobs").end == 1
        finally:
            for one in others:
                await cancel_all(one.hub._tasks)
                await one.hub.__aexit__()

    play(scenario)
