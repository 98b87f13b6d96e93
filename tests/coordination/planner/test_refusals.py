"""Tests of when a step is tried again after its starts were refused."""

from __future__ import annotations

import asyncio

import pytest
from msgspec.structs import replace

from hyssoprill.clock import boottime_s
from hyssoprill.protocol.job import ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport

NAME = "00000000000000a1"
TASK = f"{NAME}.0.0.0"
STEP = Step(need=ResourceAmounts(1, 1000, 1000), estimate_ms=9000)
MAX_DELAY_S = 1.0
"""Covers a round, and the shortest back-off but not the fourth."""


async def order_run(harness, make_agent, step: Step = STEP):
    entry = harness.entry("entry-1")
    await harness.wait_until(lambda: entry.election.term)
    agent = make_agent(entry, "vm-1")
    agent.report()
    await harness.submit(NAME, step)
    await harness.wait_until(lambda: entry.ordered_runs().get(TASK))
    return agent


async def refuse_runs(harness, agent, runs, why: str) -> None:
    """Refuse each of the runs and wait until the next one is ordered."""
    for run in runs:
        agent.refused = [(TASK, run, why)]
        agent.report()
        await harness.wait_until(
            lambda run=run: agent.entry.ordered_runs().get(TASK) == (agent.key, run + 1)
        )


@pytest.mark.parametrize("why", ["order expired", "the grant ended"])
def test_start_that_was_not_called_for_in_time_costs_no_back_off(
    run_scenario, make_agent, why
):
    async def scenario(harness):
        agent = await order_run(harness, make_agent)
        async with asyncio.timeout(2 * MAX_DELAY_S):
            await refuse_runs(harness, agent, range(1, 6), why)

    run_scenario(scenario)


def test_refusals_are_forgotten_once_a_later_run_is_listed(run_scenario, make_agent):
    async def scenario(harness):
        agent = await order_run(harness, make_agent)
        await refuse_runs(harness, agent, range(1, 5), "room")
        agent.refused, agent.running = [], [RunReport(TASK, 5, "", 10)]
        agent.report()
        await asyncio.sleep(0.1)
        agent.running = []
        agent.end(TASK, 5, "stopped")
        await harness.wait_until(
            lambda: agent.entry.ordered_runs().get(TASK) == (agent.key, 6)
        )
        async with asyncio.timeout(MAX_DELAY_S):
            await refuse_runs(harness, agent, [6], "room")

    run_scenario(scenario)


def test_refusals_are_kept_while_only_an_earlier_run_is_listed(
    run_scenario, make_agent
):
    async def scenario(harness):
        agent = await order_run(harness, make_agent, replace(STEP, count=2))
        agent.running = [RunReport(f"{NAME}.0.0.1", 1, "", 10)]
        began_s = boottime_s()
        await refuse_runs(harness, agent, range(1, 5), "room")
        assert boottime_s() - began_s > MAX_DELAY_S

    run_scenario(scenario)


def test_refusals_of_a_gang_are_kept_while_only_other_members_are_listed(
    run_scenario, make_agent
):
    async def scenario(harness):
        agent = await order_run(harness, make_agent, replace(STEP, count=2, gang=True))
        other = f"{NAME}.0.0.1"
        began_s = boottime_s()
        for run in range(1, 6):
            agent.refused, agent.running = [], [RunReport(other, run, "", 10)]
            agent.report()
            await asyncio.sleep(0.05)
            agent.refused, agent.running = [(TASK, run, "room")], []
            agent.closed = [(other, run)]
            agent.report()
            while agent.entry.ordered_runs().get(TASK) != (agent.key, run + 1):
                agent.heartbeat()
                await asyncio.sleep(0.02)
        assert boottime_s() - began_s > 3 * MAX_DELAY_S

    run_scenario(scenario)
