from __future__ import annotations

import asyncio
import gc

from hyssoprill.protocol.upstream_messages import RelayResult
from hyssoprill.tasks import cancel_all
from hyssoprill.transport.frame import FrameCodec
from hyssoprill.transport.link import LinkHub
from hyssoprill.transport.metrics import Metrics

KEY = "5f" * 32


def hub(name: str) -> LinkHub:
    async def ignore(_envelope) -> None:
        pass

    return LinkHub(FrameCodec(KEY, name, "1"), ignore, Metrics("entry", name))


def unhandled_errors(scenario) -> list[str]:
    """Run a scenario; return the errors passed to the loop's exception handler."""
    found: list[str] = []

    async def body() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _loop, what: found.append(what["message"]))
        await scenario()
        await asyncio.sleep(0.05)
        gc.collect()
        await asyncio.sleep(0)

    asyncio.run(body())
    return found


def test_link_leaves_no_exception_unretrieved_when_it_is_closed():
    async def scenario():
        async with hub("far") as far, hub("near") as near:
            url = far.listen("127.0.0.1", 0)
            for _ in range(20):
                near.dial("far", url)
                await asyncio.sleep(0.01)
                await near.send("far", RelayResult("token", "stored", 0))
                near.hang_up("far")

    assert unhandled_errors(scenario) == []


def test_link_leaves_no_exception_unretrieved_when_its_task_is_cancelled():
    async def scenario():
        async with hub("far") as far, hub("near") as near:
            url = far.listen("127.0.0.1", 0)
            for _ in range(20):
                near.dial("far", url)
                await asyncio.sleep(0.01)
                near.hang_up("far")
                await cancel_all(near._tasks)

    assert unhandled_errors(scenario) == []


def test_link_leaves_no_exception_unretrieved_when_its_peer_is_silent(monkeypatch):
    monkeypatch.setattr("hyssoprill.transport.link.SILENCE_TIMEOUT_S", 0.01)

    async def scenario():
        async with hub("far") as far, hub("near") as near:
            near.dial("far", far.listen("127.0.0.1", 0))
            await asyncio.sleep(0.6)

    assert unhandled_errors(scenario) == []


def test_link_whose_address_cannot_be_dialled_leaves_the_others_and_its_name_usable():
    """The link's task ended with an exception that nothing retrieved."""

    async def scenario():
        async with hub("far") as far, hub("near") as near:
            for url in ("x", "tcp://127.0.0.1", ""):
                near.dial("far", url)
                await asyncio.sleep(0.3)
            near.dial("far", far.listen("127.0.0.1", 0))
            async with asyncio.timeout(2.0):
                while not await near.send("far", RelayResult("token", "stored", 0)):
                    await asyncio.sleep(0.01)

    assert unhandled_errors(scenario) == []
