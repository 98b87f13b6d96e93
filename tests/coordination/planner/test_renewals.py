"""Tests of starts that are confirmed while their upstreams have not listed them."""

from __future__ import annotations

import asyncio
import time
from dataclasses import replace

import pytest

from hyssoprill.clock import boottime_s, unix_ms
from hyssoprill.coordination.planner import orders
from hyssoprill.coordination.planner.election import PlannerElection
from hyssoprill.job_settings import JobBounds
from hyssoprill.protocol.job import ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport, VmOrders

NAME = "00000000000000a1"
TASK = f"{NAME}.0.0.0"
ONE = ResourceAmounts(1, 1000, 1000)
WHOLE = ResourceAmounts(8, 64_000, 262_144)
VALIDITY_S = 1.0
BOUNDS = JobBounds(
    key_revocation_ms=5000, stop_grace_s=6.0, evacuation_ms=5000, config_apply_ms=4000
)


async def order_runs(harness, make_agent, step: Step, *vms: str):
    """Return the agents of VMs once all tasks of a step have been ordered there."""
    entry = harness.entry("entry-1")
    entry.planner.set_bounds(BOUNDS)
    await harness.wait_until(lambda: entry.election.term)
    agents = [make_agent(entry, vm) for vm in vms]
    for agent in agents:
        agent.report()
    await harness.submit(NAME, step)
    await harness.wait_until(lambda: len(entry.ordered_runs()) == step.count)
    return agents


async def decisions_ms(agents, duration_s: float = 2 * VALIDITY_S) -> list[int]:
    """Return when the first agent's run was decided, by each of its messages."""
    for _heartbeat in range(round(duration_s * 10)):
        for agent in agents:
            agent.heartbeat()
        await asyncio.sleep(0.1)
    return [
        message.upstreams[0].runs[0].decided_ms
        for vm, message in agents[0].entry.sent
        if vm == agents[0].vm
        and isinstance(message, VmOrders)
        and message.upstreams[0].runs
    ]


def run_one(agent) -> None:
    agent.running = [RunReport(TASK, 1, "", 10)]
    agent.report()


def stop_accepting(agent) -> None:
    agent.accepting = False
    agent.report()


def take_zone_out(agent) -> None:
    entry = agent.entry
    entry.directory = replace(entry.directory, zones_out=frozenset({"zone-a"}))


def test_start_that_is_not_listed_is_confirmed_before_it_expires(
    run_scenario, make_agent
):
    async def scenario(harness):
        agents = await order_runs(harness, make_agent, Step(need=ONE), "vm-1")
        decided_ms = await decisions_ms(agents, 3 * VALIDITY_S)
        gaps_ms = [b - a for a, b in zip(decided_ms, decided_ms[1:], strict=False)]
        assert len(gaps_ms) >= 3
        assert min(gaps_ms) >= 500 * VALIDITY_S
        assert max(gaps_ms) < 1000 * VALIDITY_S
        assert agents[0].entry.ordered_runs() == {TASK: (agents[0].key, 1)}

    run_scenario(scenario)


@pytest.mark.parametrize("change", [run_one, stop_accepting, take_zone_out])
def test_start_is_not_confirmed_where_it_would_not_be_decided_again(
    run_scenario, make_agent, change
):
    async def scenario(harness):
        agents = await order_runs(harness, make_agent, Step(need=ONE), "vm-1")
        change(agents[0])
        assert len(set(await decisions_ms(agents))) == 1

    run_scenario(scenario)


def test_start_is_not_confirmed_where_the_planner_may_not_grant(
    run_scenario, make_agent, monkeypatch
):
    async def scenario(harness):
        agents = await order_runs(harness, make_agent, Step(need=ONE), "vm-1")
        monkeypatch.setattr(PlannerElection, "may_grant", False)
        assert len(set(await decisions_ms(agents))) == 1

    run_scenario(scenario)


def test_start_is_not_confirmed_on_a_silent_vm(run_scenario, make_agent):
    async def scenario(harness):
        agents = await order_runs(harness, make_agent, Step(need=ONE), "vm-1")
        await asyncio.sleep(3 * VALIDITY_S)
        decided_ms = await decisions_ms(agents, 0.0)
        assert decided_ms[-1] - decided_ms[0] < 2000 * VALIDITY_S

    run_scenario(scenario)


def test_gang_is_not_confirmed_where_one_member_cannot_start(run_scenario, make_agent):
    async def scenario(harness):
        gang = Step(count=2, need=WHOLE, gang=True)
        agents = await order_runs(harness, make_agent, gang, "vm-1", "vm-2")
        stop_accepting(agents[1])
        assert len(set(await decisions_ms(agents))) == 1

    run_scenario(scenario)


def test_orders_tell_when_the_echoed_message_was_received(run_scenario, make_agent):
    async def scenario(harness):
        (agent,) = await order_runs(harness, make_agent, Step(need=ONE), "vm-1")
        entry = agent.entry
        await asyncio.sleep(0.3)
        agent.heartbeat((0, 0))
        assert entry.sent[-1][1].echo_age_s < 0.1
        await asyncio.sleep(0.3)
        await harness.cancel(NAME)
        await harness.wait_until(lambda: entry.orders(agent.vm)[agent.key].stopping)
        newest = [one for _, one in entry.sent if isinstance(one, VmOrders)][-1]
        assert 0.3 <= newest.echo_age_s < 0.5

    run_scenario(scenario)


def test_order_is_no_younger_for_a_freeze_of_the_planner_as_it_is_sent(
    run_scenario, make_agent, monkeypatch
):
    sent_s = []

    def freeze_after_reading() -> int:
        now_ms = unix_ms()
        sent_s.append(boottime_s())
        time.sleep(0.3)
        return now_ms

    async def scenario(harness):
        (agent,) = await order_runs(harness, make_agent, Step(need=ONE), "vm-1")
        received_s = boottime_s()
        agent.heartbeat()
        monkeypatch.setattr(orders, "unix_ms", freeze_after_reading)
        await harness.cancel(NAME)
        await harness.wait_until(
            lambda: agent.entry.orders(agent.vm)[agent.key].stopping
        )
        newest = [one for _, one in agent.entry.sent if isinstance(one, VmOrders)][-1]
        assert newest.echo_age_s <= sent_s[-1] - received_s

    run_scenario(scenario)
