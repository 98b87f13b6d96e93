"""Tests of which jobs are told to have begun, and which to wait."""

from __future__ import annotations

import asyncio

import pytest

from hyssoprill.coordination.planner import beginnings, fleet
from hyssoprill.protocol.job import ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport
from hyssoprill.state.step_state import NOT_BEGUN, OPEN, TaskState

NAME = "00000000000000a1"
TASK = f"{NAME}.0.0.0"
GANG = Step(count=2, need=ResourceAmounts(1, 1000, 1000), gang=True)


async def order_job(harness, make_agent, *steps: Step):
    """Order the first run of a job; return its entry, its state and its agent."""
    entry = harness.entry("entry-1")
    await harness.wait_until(lambda: entry.election.term)
    agent = make_agent(entry, "vm-1")
    agent.report()
    await harness.submit(NAME, *steps)
    await harness.wait_until(lambda: TASK in entry.ordered_runs())
    return entry, entry.replica.job_table.jobs[NAME], agent


async def refuse(harness, entry, agent, run: int) -> None:
    """Refuse a run of a task and wait until the next is ordered."""
    agent.refused = [(TASK, run, "status 503")]
    agent.report()
    await harness.wait_until(
        lambda: entry.ordered_runs().get(TASK) == (agent.key, run + 1)
    )


async def keep_reporting(agent, condition, timeout_s: float = 8.0) -> None:
    async with asyncio.timeout(timeout_s):
        while not condition():
            agent.report()
            await asyncio.sleep(0.1)


def test_job_waits_when_its_starts_were_refused(run_scenario, make_agent):
    # Guards against a planned start that counts as one that was carried out.
    async def scenario(harness):
        entry, job, agent = await order_job(harness, make_agent)
        assert job.status == "running"
        for run in (1, 2):
            await refuse(harness, entry, agent, run)
            assert job.has_open_runs
            assert job.status == "queued"
        agent.refused = [(TASK, 3, "status 503")]
        agent.report()
        await harness.wait_until(lambda: not job.has_open_runs)
        assert job.status == "queued"

    run_scenario(scenario)


def test_job_has_begun_once_its_run_is_listed_after_a_refusal(run_scenario, make_agent):
    async def scenario(harness):
        entry, job, agent = await order_job(harness, make_agent)
        await refuse(harness, entry, agent, 1)
        agent.refused, agent.running = [], [RunReport(TASK, 2, "", 10)]
        await keep_reporting(agent, lambda: job.status == "running")
        # It stays so when a later start is refused.
        agent.running = []
        agent.end(TASK, 2, "stopped")
        await harness.wait_until(
            lambda: entry.ordered_runs().get(TASK) == (agent.key, 3)
        )
        await refuse(harness, entry, agent, 3)
        assert job.status == "running"

    run_scenario(scenario)


@pytest.mark.parametrize("is_silent", [False, True])
def test_job_waits_when_its_start_is_not_listed_in_time(
    run_scenario, make_agent, monkeypatch, is_silent
):
    monkeypatch.setattr(beginnings, "LISTED_WITHIN_S", 0.5)

    async def scenario(harness):
        _entry, job, agent = await order_job(harness, make_agent)
        if not is_silent:
            await keep_reporting(agent, lambda: job.status == "queued")
        await harness.wait_until(lambda: job.status == "queued")
        assert job.has_open_runs
        agent.running = [RunReport(TASK, 1, "", 10)]
        await keep_reporting(agent, lambda: job.status == "running")

    run_scenario(scenario)


def test_job_that_is_listed_takes_no_further_record(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(beginnings, "LISTED_WITHIN_S", 0.5)

    async def scenario(harness):
        _entry, job, agent = await order_job(harness, make_agent)
        agent.running = [RunReport(TASK, 1, "", 10)]
        key = f"step/{NAME}.0.0"
        before = harness.store.topic("jobs").newest[key].offset
        for _ in range(25):
            agent.report()
            await asyncio.sleep(0.1)
        assert harness.store.topic("jobs").newest[key].offset == before
        assert job.status == "running"

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("is_listed", "status"), [(True, "running"), (False, "queued")]
)
def test_lapsed_run_has_begun_only_if_it_was_listed(
    run_scenario, make_agent, monkeypatch, is_listed, status
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 1.0)

    async def scenario(harness):
        _entry, job, agent = await order_job(harness, make_agent)
        agent.running = [RunReport(TASK, 1, "", 10)] if is_listed else []
        agent.report()
        agent.accepting = False
        agent.report()
        await harness.wait_until(lambda: not job.has_open_runs)
        assert job.status == status

    run_scenario(scenario)


def test_gang_has_begun_once_a_member_has(run_scenario, make_agent):
    async def scenario(harness):
        _entry, job, agent = await order_job(harness, make_agent, GANG)
        agent.accepting = False
        agent.refused = [(TASK, 1, "status 503")]
        agent.end(f"{NAME}.0.0.1", 1, "alone")
        await harness.wait_until(lambda: not job.has_open_runs)
        assert [task.has_begun for task in job.step_state(0, 0).tasks] == [False, True]
        assert job.status == "running"

    run_scenario(scenario)


def test_task_that_is_done_has_begun_whatever_became_of_its_newest_start():
    task = TaskState(OPEN, 2, "vm|a:1|1|i", done_run=1, beginning=NOT_BEGUN)
    assert task.has_begun


def test_next_planner_leaves_what_it_cannot_know_of_runs_it_has_not_started(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(beginnings, "LISTED_WITHIN_S", 0.5)

    async def scenario(harness):
        entry, _job, agent = await order_job(harness, make_agent)
        agent.running = [RunReport(TASK, 1, "", 10)]
        agent.report()
        await entry.stop()
        other = harness.entry("entry-2")
        await harness.wait_until(lambda: other.election.term)
        await asyncio.sleep(1.5)
        assert other.replica.job_table.jobs[NAME].status == "running"

    run_scenario(scenario)
