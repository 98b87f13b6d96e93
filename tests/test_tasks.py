"""Tests of ending background tasks."""

from __future__ import annotations

import asyncio

from hyssoprill.tasks import cancel_all


def test_task_ends_when_it_swallows_a_cancellation() -> None:
    """Guards against an entry hanging at shutdown as a task lost a cancellation."""

    async def stubborn() -> None:
        try:
            await asyncio.sleep(60)
        except asyncio.CancelledError:
            await asyncio.sleep(60)

    async def run() -> bool:
        task = asyncio.ensure_future(stubborn())
        await asyncio.sleep(0)
        await cancel_all([task])
        return task.done()

    assert asyncio.run(run())
