from __future__ import annotations

import pytest

from hyssoprill.coordination.planner import closing
from hyssoprill.coordination.planner.crashes import (
    UpstreamCrash,
    crashes_upstreams,
    find_crashes,
    record_crash,
)
from hyssoprill.protocol.job import ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport, UpstreamReport
from hyssoprill.state.job_table import OpenRun, StepKey, TaskState

ONE = ResourceAmounts(1, 1000, 1000)
A, B = "00000000000000a1", "00000000000000b1"
TASK_A, TASK_B = f"{A}.0.0.0", f"{B}.0.0.0"
OPEN_RUNS = {
    task: OpenRun(StepKey(job, 0, 0), 0, 3) for job, task in ((A, TASK_A), (B, TASK_B))
}


def last_report(
    *unlisted: tuple[str, int, bool], crashed: bool = True
) -> UpstreamReport:
    key = "vm-1|10.0.0.1:80|100|i-1"
    return UpstreamReport(key, "g", "z", False, crashed=crashed, unlisted=[*unlisted])


def crash_on(*crashes: tuple[str, bool]) -> TaskState:
    state = TaskState()
    for run, (vm, alone) in enumerate(crashes, start=1):
        state = TaskState(
            run=run,
            crashed_vms=state.crashed_vms,
            lone_crashes=state.lone_crashes,
            last_crashed_run=state.last_crashed_run,
        )
        state = record_crash(state, UpstreamCrash(vm, alone))
    return state


@pytest.mark.parametrize(
    ("unlisted", "suspects", "alone"),
    [
        ([(TASK_A, 3, True), (TASK_B, 3, True)], {TASK_A, TASK_B}, False),
        ([(TASK_A, 3, True), (TASK_B, 2, True)], {TASK_A}, False),
        ([(TASK_A, 3, True)], {TASK_A}, True),
        ([(TASK_A, 3, False)], {TASK_A}, False),
    ],
)
def test_only_open_runs_that_were_not_listed_are_suspects(unlisted, suspects, alone):
    found = find_crashes(last_report(*unlisted), OPEN_RUNS)
    assert found == dict.fromkeys(suspects, UpstreamCrash("vm-1", alone))


def test_announced_end_of_an_upstream_makes_no_task_a_suspect():
    assert not find_crashes(last_report((TASK_A, 3, True), crashed=False), OPEN_RUNS)


@pytest.mark.parametrize(
    ("crashes", "given_up"),
    [
        ([("vm-1", True)], False),
        ([("vm-1", True), ("vm-2", True)], True),
        ([("vm-1", False), ("vm-2", True)], True),
        ([("vm-1", False), ("vm-2", False), ("vm-3", False)], False),
        ([("vm-1", True), ("vm-1", True)], False),
        ([("vm-1", True), ("vm-1", True), ("vm-1", True)], True),
    ],
)
def test_task_is_given_up_after_crashes_on_two_vms_one_of_them_alone(crashes, given_up):
    assert crashes_upstreams(crash_on(*crashes)) == given_up


def test_crash_of_several_upstreams_under_one_run_of_a_gang_counts_once():
    state = record_crash(TaskState(run=1), UpstreamCrash("vm-1", True))
    assert record_crash(state, UpstreamCrash("vm-2", True)) == state


async def start_planner(harness, make_agent, *names: str):
    entry = harness.entry("entry-1")
    await harness.wait_until(lambda: entry.election.term)
    agents = {name: make_agent(entry, name) for name in names}
    for agent in agents.values():
        agent.report()
    return entry, agents


async def crash_under(harness, entry, agents, task: str, *others: str) -> str:
    """Crash the upstream that has last been ordered to start a task; return its VM."""
    key, run = await harness.wait_until(lambda: entry.ordered_runs().get(task))
    unlisted = [(other, entry.ordered_runs()[other][1], True) for other in others]
    agent = agents[key.partition("|")[0]]
    assert agent.key == key
    agent.crash((task, run, True), *unlisted)
    await harness.wait_until(lambda: entry.ordered_runs().get(task) != (key, run))
    return agent.vm


def status(entry, job_id: str) -> str:
    return entry.replica.job_table.jobs[job_id].status


def test_task_under_which_two_upstreams_crash_is_not_started_again(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, agents = await start_planner(harness, make_agent, "vm-1", "vm-2", "vm-3")
        await harness.submit(A, max_attempts=9)
        vms = {await crash_under(harness, entry, agents, TASK_A) for _ in range(2)}
        assert len(vms) == 2
        await harness.wait_until(lambda: status(entry, A) == "failed")
        assert TASK_A not in entry.ordered_runs()

    run_scenario(scenario)


def test_count_of_crashes_survives_a_change_of_planner(run_scenario, make_agent):
    async def scenario(harness):
        entry, agents = await start_planner(harness, make_agent, "vm-1", "vm-2")
        await harness.submit(A, max_attempts=9)
        await crash_under(harness, entry, agents, TASK_A)
        key, run = await harness.wait_until(lambda: entry.ordered_runs().get(TASK_A))
        await entry.stop()
        second = harness.entry("entry-2")
        await harness.wait_until(lambda: second.election.term)
        for agent in agents.values():
            agent.entry = second
            agent.report()
        agents[key.partition("|")[0]].crash((TASK_A, run, True))
        await harness.wait_until(lambda: status(second, A) == "failed")

    run_scenario(scenario)


def test_innocent_task_is_told_from_one_that_crashed_their_upstream(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, agents = await start_planner(harness, make_agent, "vm-1", "vm-2")
        await harness.submit(A, max_attempts=9)
        await harness.submit(B, max_attempts=9)
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
        await crash_under(harness, entry, agents, TASK_A, TASK_B)
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
        orders = entry.ordered_runs()
        assert orders[TASK_A][0] != orders[TASK_B][0]
        key, run = orders[TASK_B]
        agents[key.partition("|")[0]].running = [RunReport(TASK_B, run, "", 1)]
        agents[key.partition("|")[0]].report()
        await crash_under(harness, entry, agents, TASK_A)
        while status(entry, A) != "failed":
            await crash_under(harness, entry, agents, TASK_A)
        assert status(entry, B) == "running"

    run_scenario(scenario)


def test_run_that_was_stopped_clears_its_task(run_scenario, make_agent):
    async def scenario(harness):
        entry, agents = await start_planner(harness, make_agent, "vm-1", "vm-2")
        await harness.submit(A, Step(need=ONE), max_attempts=9)
        await crash_under(harness, entry, agents, TASK_A)
        key, run = await harness.wait_until(lambda: entry.ordered_runs().get(TASK_A))
        agents[key.partition("|")[0]].end(TASK_A, run, "stopped")
        await harness.wait_until(
            lambda: entry.ordered_runs().get(TASK_A, ("", 0))[1] > run
        )
        await crash_under(harness, entry, agents, TASK_A)
        assert status(entry, A) == "running"

    run_scenario(scenario)


@pytest.mark.parametrize("gang", [False, True])
def test_run_that_has_worked_clears_its_task(
    run_scenario, make_agent, monkeypatch, gang
):
    monkeypatch.setattr(closing, "CHECKPOINT_INTERVAL_S", 0.0)

    async def scenario(harness):
        entry, agents = await start_planner(harness, make_agent, "vm-1", "vm-2", "vm-3")
        await harness.submit(A, Step(need=ONE, gang=gang), max_attempts=9)
        await crash_under(harness, entry, agents, TASK_A)
        key, run = await harness.wait_until(lambda: entry.ordered_runs().get(TASK_A))
        agent = agents[key.partition("|")[0]]
        agent.running = [RunReport(TASK_A, run, "", 60)]
        agent.report()
        steps = entry.replica.job_table.jobs[A].steps
        await harness.wait_until(lambda: not steps[0, 0].tasks[0].crashed_vms)
        await crash_under(harness, entry, agents, TASK_A)
        assert status(entry, A) == "running"

    run_scenario(scenario)
