"""Tests of the entries' speeds."""

from __future__ import annotations

import asyncio

import pytest
from standins.job_store import MemoryStore

from hyssoprill.coordination.entry_watcher import EntryWatcher
from hyssoprill.coordination.planner.fitness import (
    MAX_RELATIVE_SPEED,
    EntrySpeeds,
    SpeedMeter,
)
from hyssoprill.ports.store import Record
from hyssoprill.tasks import cancel_all

ODD_SPEEDS = [
    *(b"0", b"-1", b"1e300", b"1e400", b"NaN", b"true", b'"5"', b"\xff\xfe"),
    b"[" * 100_000,
    b"9" * 100_000,
]


def make_speeds(own: float, **peers: str) -> EntrySpeeds:
    speeds = EntrySpeeds("entry-1")
    speeds.own = own
    for name, text in peers.items():
        speeds.update(name, text)
    return speeds


@pytest.mark.parametrize("value", ODD_SPEEDS, ids=range(len(ODD_SPEEDS)))
def test_speed_that_cannot_be_one_is_ignored_and_the_others_hold(value):
    async def main() -> None:
        store, speeds = MemoryStore(), make_speeds(100.0)
        watcher = EntryWatcher(store, lambda _name: None, speeds.update)
        await store.append("members", [Record("speed/a", value)])
        await store.append("members", [Record("speed/b", b"500.0")])
        task = asyncio.ensure_future(watcher.run())
        async with asyncio.timeout(2.0):
            while speeds.faster_peer is None:
                await asyncio.sleep(0.01)
        await cancel_all([task])
        assert speeds.faster_peer == ("b", 500.0)
        assert watcher.link_urls == {}

    asyncio.run(main())


def test_claim_is_delayed_only_when_another_entry_is_clearly_faster():
    assert make_speeds(100.0).claim_delay_s("") == 0
    assert make_speeds(100.0, b="100").claim_delay_s("") == 0
    assert make_speeds(MAX_RELATIVE_SPEED * 100, b="100").claim_delay_s("") == 0
    assert make_speeds(0.0, b="100").claim_delay_s("") == 0
    assert make_speeds(69.0, b="100", c="1").claim_delay_s("") > 0


def test_claim_is_not_left_to_the_entry_that_had_the_term():
    speeds = make_speeds(10.0, b="100", c="11")
    assert speeds.claim_delay_s("b") == 0
    assert speeds.claim_delay_s("c") > 0


def test_record_of_an_earlier_process_or_a_removed_entry_does_not_count():
    speeds = make_speeds(10.0, **{"entry-1": "100"})
    assert speeds.faster_peer is None
    speeds.update("b", "100")
    speeds.update("b", "")
    assert speeds.faster_peer is None


def test_speed_is_published_once_when_it_does_not_change(monkeypatch):
    module = "hyssoprill.coordination.planner.fitness"
    monkeypatch.setattr(f"{module}.SAMPLE_INTERVAL_S", 0.01)

    async def main() -> None:
        store, speeds = MemoryStore(), EntrySpeeds("entry-1")
        clock_s = 0.0

        def take_1_ms() -> float:
            nonlocal clock_s
            clock_s += 0.001
            return clock_s

        monkeypatch.setattr(f"{module}.boottime_s", take_1_ms)
        meter = SpeedMeter("entry-1", store, speeds, lambda: False)
        task = asyncio.ensure_future(meter.run())
        await asyncio.sleep(0.3)
        await cancel_all([task])
        assert speeds.own == pytest.approx(1000)
        topic = store.topic("members")
        assert topic.end == 1
        assert float(topic.newest["speed/entry-1"].value) == pytest.approx(1000)

    asyncio.run(main())
