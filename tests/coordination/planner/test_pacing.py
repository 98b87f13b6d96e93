from __future__ import annotations

import asyncio
import time

from hyssoprill.coordination.policy.dispatch.model import Plan

ROUND_S = 0.05
OBSERVED_S = 1.5


class SlowPolicy:
    """Decides nothing and computes for long."""

    def __init__(self) -> None:
        self.computed_s = 0.0

    def __call__(self, *_inputs: object, **_bounds: object) -> Plan:
        began_s = time.monotonic()
        while time.monotonic() - began_s < ROUND_S:
            pass
        self.computed_s += time.monotonic() - began_s
        return Plan()


def test_rounds_leave_time_for_messages_when_each_takes_long(run_scenario, make_agent):
    # Messages and renewals of the term share the process with rounds.
    async def scenario(harness):
        policy = SlowPolicy()
        entry = harness.entry("entry-1", policy=policy)
        await harness.wait_until(lambda: entry.election.term)
        agent = make_agent(entry, "vm-1")
        await harness.submit("00000000000000a1")
        agent.report()
        await harness.wait_until(lambda: policy.computed_s)
        began_s, computed_s = time.monotonic(), policy.computed_s
        while time.monotonic() - began_s < OBSERVED_S:
            entry.planner.request_round()
            await asyncio.sleep(0.005)
        share = (policy.computed_s - computed_s) / (time.monotonic() - began_s)
        assert share < 0.5

    run_scenario(scenario)
