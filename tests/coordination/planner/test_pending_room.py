from __future__ import annotations

import asyncio

import msgspec

from hyssoprill.clock import unix_ms
from hyssoprill.ports.store import Record
from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.state.job_table import JOB_PREFIX

WHOLE = ResourceAmounts(8, 64_000, 262_144)
VICTIM, FIRST, SECOND = "00000000000000a1", "00000000000000a2", "00000000000000a3"


async def submit(harness, job_id: str, priority: int, estimate_ms: int) -> None:
    step = Step(need=WHOLE, estimate_ms=estimate_ms, checkpoints=True)
    job = Job(job_id, "q", "g", "w", priority, 2, 3.0, 1000, unix_ms(), "", (step,))
    record = Record(JOB_PREFIX + job_id, msgspec.json.encode(job))
    await harness.store.append("jobs", [record])


def test_room_made_for_a_step_goes_to_no_other_of_its_priority(
    run_scenario, make_agent
):
    # The first step is late, and ranked below the second, once its room is free.
    async def scenario(harness):
        entry = harness.entry("entry-1")
        await harness.wait_until(lambda: entry.election.term)
        agent = make_agent(entry, "vm-1")
        agent.report()
        await submit(harness, VICTIM, 2, 20_000)
        await harness.wait_until(entry.ordered_runs)
        await submit(harness, FIRST, 1, 100)
        await harness.wait_until(lambda: entry.orders("vm-1")[agent.key].stopping)
        await asyncio.sleep(1.4)
        await submit(harness, SECOND, 1, 20_000)
        await asyncio.sleep(0.1)
        agent.end(f"{VICTIM}.0.0.0", 1, "stopped")
        await harness.wait_until(entry.ordered_runs)
        assert set(entry.ordered_runs()) == {f"{FIRST}.0.0.0"}

    run_scenario(scenario)
