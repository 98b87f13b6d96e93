"""Tests of appending to the store through another entry."""

from __future__ import annotations

import asyncio
import time

import pytest
from standins.job_store import MemoryStore

from hyssoprill.coordination.entry_watcher import EntryWatcher
from hyssoprill.coordination.intake import relay
from hyssoprill.coordination.intake.relay import AppendRelay
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
    """An entry with its own relay, links and store."""

    def __init__(self, name: str) -> None:
        self.store = MemoryStore()
        self.replica = FakeReplica()
        self.name = name
        self.members = EntryWatcher(self.store, lambda _name: None)
        codec = FrameCodec(KEY, name, "1")
        self.hub = LinkHub(codec, self._receive, Metrics("entry", name))
        self.url = self.hub.listen("127.0.0.1", 0)
        self.relay = AppendRelay(name, self.hub, self.members, self.store, self.replica)
        self.is_silent = False

    async def _receive(self, envelope) -> None:
        if isinstance(envelope.body, RelayAppend):
            result = await self.relay.handle_request(envelope.body)
            if not self.is_silent:
                await self.hub.send(envelope.sender, result)
        else:
            self.relay.handle_result(envelope.body)


def run_scenario(scenario) -> None:
    async def main() -> None:
        near, far = RelayEntry("near"), RelayEntry("far")
        near.members.update("far", far.url)
        near.members.update("near", near.url)
        try:
            await scenario(near, far)
        finally:
            for entry in (near, far):
                await cancel_all(entry.hub._tasks)
                await entry.hub.__aexit__()

    asyncio.run(main())


def test_append_through_a_peer_returns_its_offset():
    async def scenario(near, far):
        far.store.topic("jobs").append(RECORDS, None, None)
        assert await near.relay.append(RECORDS) == 1
        assert far.store.topic("jobs").end == 2

    run_scenario(scenario)


def test_peer_that_cannot_reach_the_store_refuses_at_once():
    async def scenario(near, far):
        far.replica.store_unreachable_s = 1.0
        began = time.monotonic()
        with pytest.raises(StoreRefusedError):
            await near.relay.append(RECORDS)
        assert time.monotonic() - began < 0.4
        assert far.store.topic("jobs").end == 0

    run_scenario(scenario)


def test_append_is_in_doubt_when_the_peer_does_not_answer():
    async def scenario(near, far):
        far.is_silent = True
        with pytest.raises(StoreInDoubtError):
            await near.relay.append(RECORDS)

    run_scenario(scenario)


def test_append_is_refused_without_peers():
    async def scenario(near, _far):
        near.members.update("far", "")
        with pytest.raises(StoreRefusedError):
            await near.relay.append(RECORDS)

    run_scenario(scenario)


def test_append_is_refused_at_once_when_all_peers_failed_recently():
    async def scenario(near, far):
        far.is_silent = True
        with pytest.raises(StoreInDoubtError):
            await near.relay.append(RECORDS)
        began = time.monotonic()
        with pytest.raises(StoreRefusedError):
            await near.relay.append(RECORDS)
        assert time.monotonic() - began < 0.1

    run_scenario(scenario)


def test_failed_peer_is_asked_again_after_the_backoff(monkeypatch):
    monkeypatch.setattr(relay, "FAILED_PEER_BACKOFF_S", 0.1)

    async def scenario(near, far):
        far.replica.store_unreachable_s = 1.0
        with pytest.raises(StoreRefusedError):
            await near.relay.append(RECORDS)
        far.replica.store_unreachable_s = 0.0
        await asyncio.sleep(0.15)
        assert await near.relay.append(RECORDS) == 0

    run_scenario(scenario)


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

    run_scenario(scenario)
