"""Tests of what happens to runs when the capacity of their upstream shrinks.

Load pattern: upstreams that do not guard their capacity shrink and grow while starts
are retried, for example because the upstream is unhealthy or does not answer.
"""

from __future__ import annotations

import asyncio

import pytest

from hyssoprill.coordination.planner import stopping
from hyssoprill.protocol.job import ZERO_AMOUNTS, ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport

FOUR = ResourceAmounts(4, 32_000, 131_072)
EIGHT = ResourceAmounts(8, 64_000, 262_144)
JOBS = ("00000000000000a1", "00000000000000a2")
TASKS = tuple(f"{job}.0.0.0" for job in JOBS)


@pytest.fixture
def listing_delay_s(monkeypatch) -> float:
    """Shorten the time within which a started run is listed."""
    monkeypatch.setattr(stopping, "MAX_LISTING_DELAY_S", 0.2)
    return 0.2


async def start_agents(harness, make_agent, *names: str):
    entry = harness.entry("entry-1")
    await harness.wait_until(lambda: entry.election.term)
    agents = [make_agent(entry, name) for name in names]
    for agent in agents:
        agent.report()
    return entry, agents


async def order_two_jobs(harness, entry) -> None:
    """Order two runs that fill an upstream together."""
    for job in JOBS:
        await harness.submit(job, Step(need=FOUR, estimate_ms=9000))
    await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)


def shrink(agent, capacity: ResourceAmounts, *running: str) -> None:
    """Report a capacity, and runs that the upstream has started."""
    agent.running = [RunReport(task, 1, "", 10) for task in running]
    agent.capacity = capacity
    agent.report()


def orders_of(agent):
    return agent.entry.orders(agent.vm)[agent.key]


def test_run_yet_to_start_is_withdrawn_when_capacity_has_shrunk(
    run_scenario, make_agent, listing_delay_s
):
    async def scenario(harness):
        entry, (agent,) = await start_agents(harness, make_agent, "vm-1")
        await order_two_jobs(harness, entry)
        shrink(agent, FOUR, TASKS[0])
        await harness.wait_until(lambda: orders_of(agent).stopping == [(TASKS[1], 1)])
        assert set(entry.ordered_runs()) == {TASKS[0]}

    run_scenario(scenario)


def test_withdrawn_run_is_planned_again_when_capacity_grows(
    run_scenario, make_agent, listing_delay_s
):
    async def scenario(harness):
        entry, (agent,) = await start_agents(harness, make_agent, "vm-1")
        await order_two_jobs(harness, entry)
        shrink(agent, ZERO_AMOUNTS, TASKS[0])
        await harness.wait_until(lambda: orders_of(agent).stopping == [(TASKS[1], 1)])
        agent.closed = [(TASKS[1], 1)]
        agent.report()
        await asyncio.sleep(0.3)
        assert entry.ordered_runs() == {TASKS[0]: (agent.key, 1)}
        agent.capacity = EIGHT
        agent.report()
        await harness.wait_until(
            lambda: entry.ordered_runs().get(TASKS[1]) == (agent.key, 2)
        )

    run_scenario(scenario)


def test_gang_is_withdrawn_whole_when_capacity_has_shrunk(
    run_scenario, make_agent, listing_delay_s
):
    async def scenario(harness):
        names = ("vm-1", "vm-2")
        entry, (waiting, shrunk) = await start_agents(harness, make_agent, *names)
        gang = Step(count=2, need=EIGHT, gang=True, estimate_ms=9000)
        await harness.submit(JOBS[0], gang)
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
        tasks = {key: task for task, (key, _run) in entry.ordered_runs().items()}
        shrink(waiting, EIGHT, tasks[waiting.key])
        shrink(shrunk, FOUR)
        await harness.wait_until(lambda: not entry.ordered_runs())
        assert orders_of(waiting).stopping == [(tasks[waiting.key], 1)]
        assert orders_of(shrunk).stopping == [(tasks[shrunk.key], 1)]

    run_scenario(scenario)


def test_new_planner_withdraws_runs_when_capacity_shrank_before_its_term(
    run_scenario, make_agent, listing_delay_s
):
    async def scenario(harness):
        entry, (agent,) = await start_agents(harness, make_agent, "vm-1")
        await order_two_jobs(harness, entry)
        await entry.stop()
        second = harness.entry("entry-2")
        await harness.wait_until(lambda: second.election.term)
        heir = make_agent(second, "vm-1")
        shrink(heir, FOUR, TASKS[0])
        await harness.wait_until(lambda: second.orders("vm-1"))
        assert orders_of(heir).stopping == [(TASKS[1], 1)]
        assert set(second.ordered_runs()) == {TASKS[0]}

    run_scenario(scenario)


def test_listed_runs_go_on_when_capacity_has_shrunk(
    run_scenario, make_agent, listing_delay_s
):
    async def scenario(harness):
        entry, (agent,) = await start_agents(harness, make_agent, "vm-1")
        await order_two_jobs(harness, entry)
        await asyncio.sleep(listing_delay_s)
        shrink(agent, ZERO_AMOUNTS, *TASKS)
        await asyncio.sleep(0.4)
        assert set(entry.ordered_runs()) == set(TASKS)
        assert orders_of(agent).stopping == []

    run_scenario(scenario)


def test_run_yet_to_start_stays_ordered_when_the_rest_still_fits(
    run_scenario, make_agent, listing_delay_s
):
    async def scenario(harness):
        entry, (agent,) = await start_agents(harness, make_agent, "vm-1")
        await harness.submit(JOBS[0], Step(need=FOUR, estimate_ms=9000))
        await harness.wait_until(entry.ordered_runs)
        await asyncio.sleep(listing_delay_s)
        shrink(agent, FOUR)
        await asyncio.sleep(0.4)
        assert set(entry.ordered_runs()) == {TASKS[0]}

    run_scenario(scenario)


def test_recent_run_is_not_withdrawn_when_it_may_have_started(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(stopping, "MAX_LISTING_DELAY_S", 60.0)

    async def scenario(harness):
        entry, (agent,) = await start_agents(harness, make_agent, "vm-1")
        await order_two_jobs(harness, entry)
        shrink(agent, FOUR, TASKS[0])
        await asyncio.sleep(0.4)
        assert set(entry.ordered_runs()) == set(TASKS)

    run_scenario(scenario)


def test_runs_are_not_withdrawn_when_their_agent_has_no_listing_yet(
    run_scenario, make_agent, listing_delay_s
):
    async def scenario(harness):
        entry, (agent,) = await start_agents(harness, make_agent, "vm-1")
        await order_two_jobs(harness, entry)
        await asyncio.sleep(listing_delay_s)
        agent.accepting = False
        shrink(agent, FOUR)
        await asyncio.sleep(0.4)
        assert set(entry.ordered_runs()) == set(TASKS)

    run_scenario(scenario)
