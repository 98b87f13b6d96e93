"""Tests of ends that are listed after their task was started again elsewhere."""

from __future__ import annotations

import asyncio

import pytest

from hyssoprill.coordination.planner import fleet
from hyssoprill.protocol.job import ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import EndReport

NAME, LATER = "00000000000000a1", "00000000000000a2"
TASK = f"{NAME}.0.0.0"
NEED = ResourceAmounts(1, 1000, 1000)


@pytest.fixture(autouse=True)
def short_leases(monkeypatch):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 0.5)


async def start_again(harness, make_agent, *steps: Step, **fields):
    """Start a job on a VM that goes silent, and again on another one."""
    entry = harness.entry("entry-1")
    await harness.wait_until(lambda: entry.election.term)
    agent, other = make_agent(entry, "vm-1"), make_agent(entry, "vm-2")
    agent.report()
    await harness.submit(NAME, *steps, **fields)
    await harness.wait_until(entry.ordered_runs)

    def is_started_again() -> bool:
        other.report()
        return TASK in entry.ordered_runs("vm-2")

    await harness.wait_until(is_started_again)
    return entry, agent, other


async def report_for(agents, duration_s: float) -> None:
    for _ in range(round(duration_s / 0.1)):
        for one in agents:
            one.report()
        await asyncio.sleep(0.1)


@pytest.mark.parametrize("how", ["done", "failed"])
def test_end_is_acknowledged_only_after_a_lapse_when_its_task_was_started_again(
    run_scenario, make_agent, how
):
    # Guards against a renewal that is carried out late and keeps a lease for longer
    # than the planner counts.
    async def scenario(harness):
        entry, agent, other = await start_again(harness, make_agent)
        agent.ended = [
            EndReport(1, f"{LATER}.0.0.0", 1, "done", ""),
            EndReport(2, TASK, 1, how, ""),
            EndReport(3, f"{LATER}.0.0.1", 1, "done", ""),
        ]
        await report_for([agent, other], 0.5)
        orders = entry.orders("vm-1")[agent.key]
        assert (orders.stored_upto, orders.must_lapse) == (1, True)
        # Nothing is started there meanwhile.
        other.accepting = False
        await harness.submit(LATER)
        await report_for([agent, other], 0.5)
        assert not entry.ordered_runs("vm-1")
        agent.lapsed_upto = 3
        agent.report()
        await harness.wait_until(
            lambda: entry.orders("vm-1")[agent.key].stored_upto == 3
        )
        assert not entry.orders("vm-1")[agent.key].must_lapse
        agent.ended = []
        agent.report()
        await harness.wait_until(lambda: f"{LATER}.0.0.0" in entry.ordered_runs("vm-1"))

    run_scenario(scenario)


def test_end_that_completes_its_task_is_withheld_by_the_next_planner_too(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, agent, other = await start_again(harness, make_agent)
        agent.end(TASK, 1, "done")
        await harness.wait_until(
            lambda: entry.replica.job_table.jobs[NAME].status == "completed"
        )
        await entry.stop()
        second = harness.entry("entry-2")
        await harness.wait_until(lambda: second.election.term)
        agent.entry = other.entry = second
        await report_for([agent, other], 1.0)
        orders = second.orders("vm-1")[agent.key]
        assert (orders.stored_upto, orders.must_lapse) == (0, True)

    run_scenario(scenario)


def test_end_is_acknowledged_at_once_when_the_lease_had_lapsed(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, agent, _other = await start_again(harness, make_agent)
        agent.lapsed_upto = 1
        agent.end(TASK, 1, "done")
        await harness.wait_until(
            lambda: entry.orders("vm-1")[agent.key].stored_upto == 1
        )
        assert not entry.orders("vm-1")[agent.key].must_lapse

    run_scenario(scenario)


def test_failure_that_was_counted_is_acknowledged_at_once(run_scenario, make_agent):
    async def scenario(harness):
        entry = harness.entry("entry-1")
        await harness.wait_until(lambda: entry.election.term)
        agent = make_agent(entry, "vm-1")
        agent.report()
        await harness.submit(NAME, max_attempts=4)
        for run in (1, 2, 3):
            await harness.wait_until(
                lambda run=run: entry.ordered_runs().get(TASK) == (agent.key, run)
            )
            agent.end(TASK, run, "failed")
        await harness.wait_until(
            lambda: entry.orders("vm-1")[agent.key].stored_upto == 3
        )
        assert not any(
            one.must_lapse
            for _vm, message in entry.sent
            for one in getattr(message, "upstreams", ())
        )

    run_scenario(scenario)


def test_end_of_a_lasting_task_is_acknowledged_at_once(run_scenario, make_agent):
    async def scenario(harness):
        step = Step(need=NEED, long_running=True)
        entry, agent, _other = await start_again(harness, make_agent, step)
        agent.end(TASK, 1, "failed")
        await harness.wait_until(
            lambda: entry.orders("vm-1")[agent.key].stored_upto == 1
        )

    run_scenario(scenario)
