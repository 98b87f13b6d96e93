"""Tests of the messages that an entry sends."""

from __future__ import annotations

import asyncio

from standins.job_store import MemoryStore

from hyssoprill.coordination.intake.service import DurableJobService
from hyssoprill.job_settings import JobBounds
from hyssoprill.protocol.message import Message
from hyssoprill.protocol.upstream_messages import Grant, Referral, VmOrders
from hyssoprill.transport.metrics import Metrics


class BlockedHub:
    """Link hub that sends nothing before it is opened."""

    def __init__(self) -> None:
        self.is_open = asyncio.Event()
        self.sent: list[Message] = []

    async def send(self, _peer: str, message: Message) -> bool:
        await self.is_open.wait()
        self.sent.append(message)
        return True


def test_outdated_grants_and_orders_are_not_sent_when_a_link_is_slow():
    """Each was sent in turn, and agents got orders that were seconds old."""
    grants = [Grant(1, float(n), n) for n in range(300)]
    orders = [VmOrders(1, n, float(n), []) for n in range(300)]
    referral = Referral(1, "", "")

    async def body() -> list[Message]:
        service = DurableJobService(
            "entry-1",
            "127.0.0.1",
            0,
            "5f" * 32,
            MemoryStore(),
            None,
            Metrics("entry", "entry-1"),
            bounds=JobBounds(700, 2.0),
        )
        service._hub = BlockedHub()
        service._send("vm-1", Referral(0, "entry-1", ""))
        await asyncio.sleep(0)
        service._send("vm-1", referral)
        for grant, order in zip(grants, orders, strict=True):
            service._send("vm-1", grant)
            service._send("vm-1", order)
        service._hub.is_open.set()
        await asyncio.sleep(0.05)
        await service._tasks.close()
        return service._hub.sent

    sent = asyncio.run(body())
    assert sent == [Referral(0, "entry-1", ""), referral, grants[-1], orders[-1]]
