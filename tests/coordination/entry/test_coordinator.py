from __future__ import annotations

import asyncio
import time
from types import SimpleNamespace

from hyssoprill.coordination.entry.coordinator import WARM_UP_S, Coordinator
from hyssoprill.protocol.bundle import Bundle
from hyssoprill.tasks import cancel_all
from hyssoprill.transport.metrics import Metrics

STEP_S = 0.05
OBSERVED_S = 1.0


def test_steps_leave_time_for_messages_when_each_takes_long():
    # Heartbeats and placement requests share the process with scheduling steps.
    computed_s = 0.0

    def compute_slowly(_now_s: float) -> list[object]:
        nonlocal computed_s
        time.sleep(STEP_S)
        computed_s += STEP_S
        return []

    async def send(_name: str, _message: object) -> bool:
        return True

    async def scenario() -> float:
        coordinator = Coordinator(
            SimpleNamespace(agents={}), send, lambda: "", Metrics("entry", "entry-1")
        )
        coordinator.set_active(True, Bundle(version=1, parent=0), 1)
        coordinator._active_since_s -= WARM_UP_S
        coordinator.scheduler.step = compute_slowly
        steps = asyncio.ensure_future(coordinator.run())
        began_s = time.monotonic()
        while time.monotonic() - began_s < OBSERVED_S:
            coordinator.wake.set()
            await asyncio.sleep(0.005)
        await cancel_all([steps])
        return computed_s / (time.monotonic() - began_s)

    assert asyncio.run(scenario()) < 0.5
