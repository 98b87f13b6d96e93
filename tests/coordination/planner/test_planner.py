from __future__ import annotations

import asyncio

import pytest

from hyssoprill.clock import unix_ms
from hyssoprill.coordination.planner import fleet, planner
from hyssoprill.protocol.job import ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport, VmOrders
from hyssoprill.state.job_table import DONE

ONE = ResourceAmounts(1, 1000, 1000)
WHOLE = ResourceAmounts(8, 64_000, 262_144)
NAME = "00000000000000a1"


def status(entry, job_id: str = NAME) -> str:
    job_state = entry.replica.job_table.jobs.get(job_id)
    return job_state.status if job_state is not None else ""


def ordered(entry, task: str):
    return entry.ordered_runs().get(task)


async def start_planner(harness, make_agent, *names: str):
    entry = harness.entry("entry-1")
    await harness.wait_until(lambda: entry.election.term)
    agents = [make_agent(entry, name) for name in names]
    for agent in agents:
        agent.report()
    return entry, agents


def test_run_is_stored_before_it_is_ordered(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME)
        await harness.wait_until(entry.ordered_runs)
        stored = harness.store.topic("jobs").newest[f"step/{NAME}.0.0"]
        assert agent.key.encode() in stored.value

    run_scenario(scenario)


def test_completed_run_completes_the_job_and_is_acknowledged(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME)
        await harness.wait_until(entry.ordered_runs)
        agent.end(f"{NAME}.0.0.0", 1, "done")
        await harness.wait_until(lambda: status(entry) == "completed")
        await harness.wait_until(
            lambda: entry.orders("vm-1")[agent.key].stored_upto == 1
        )

    run_scenario(scenario)


def test_end_of_a_run_is_not_acknowledged_before_it_is_stored(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME)
        await harness.wait_until(entry.ordered_runs)
        harness.store.down = True
        agent.end(f"{NAME}.0.0.0", 1, "done")
        await asyncio.sleep(0.3)
        assert entry.orders("vm-1")[agent.key].stored_upto == 0
        harness.store.down = False
        await harness.wait_until(
            lambda: entry.orders("vm-1")[agent.key].stored_upto == 1
        )

    run_scenario(scenario)


def test_orders_tell_when_their_starts_were_decided_also_from_a_later_planner(
    run_scenario, make_agent
):
    async def scenario(harness):
        before_ms = unix_ms()
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME)
        await harness.wait_until(entry.ordered_runs)
        (run,) = entry.orders("vm-1")[agent.key].runs
        assert before_ms <= run.decided_ms <= unix_ms()
        await entry.stop()
        successor = harness.entry("entry-2")
        await harness.wait_until(lambda: successor.election.term, 15.0)
        agent.entry = successor
        agent.report()
        await harness.wait_until(successor.ordered_runs)
        assert successor.orders("vm-1")[agent.key].runs == [run]
        newest = [one for _, one in successor.sent if isinstance(one, VmOrders)][-1]
        assert newest.sent_ms >= run.decided_ms
        assert newest.validity_s == 7.0

    run_scenario(scenario)


def test_job_fails_after_max_attempts_and_is_not_started_again(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, max_attempts=2)
        task = f"{NAME}.0.0.0"
        for run in (1, 2):
            await harness.wait_until(
                lambda run=run: entry.ordered_runs().get(task, "")[1:] == (run,)
            )
            agent.end(task, run, "failed")
        await harness.wait_until(lambda: status(entry) == "failed")
        await asyncio.sleep(0.1)
        assert entry.ordered_runs() == {}

    run_scenario(scenario)


def test_failed_run_of_a_gang_counts_once(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(count=3, need=ONE, gang=True), max_attempts=2)
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 3)
        for index in range(3):
            agent.end(f"{NAME}.0.0.{index}", 1, "failed" if index < 2 else "broken")
        await harness.wait_until(
            lambda: {run for _key, run in entry.ordered_runs().values()} == {2}
        )
        assert status(entry) == "running"

    run_scenario(scenario)


def test_remaining_tasks_of_a_broken_gang_are_stopped_before_a_new_run(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(count=2, need=ONE, gang=True))
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
        agent.end(f"{NAME}.0.0.0", 1, "stopped", "half")
        stopping = (f"{NAME}.0.0.1", 1)
        await harness.wait_until(
            lambda: stopping in entry.orders("vm-1")[agent.key].stopping
        )
        assert entry.ordered_runs() == {}
        agent.closed = [stopping]
        agent.report()
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
        saved = {run.checkpoint for run in entry.orders("vm-1")[agent.key].runs}
        assert saved == {"half"}

    run_scenario(scenario)


def test_rest_of_a_gang_is_withdrawn_before_the_end_of_a_member_is_stored(
    run_scenario, make_agent
):
    async def scenario(harness):
        vms = ("vm-1", "vm-2")
        entry, (agent, other) = await start_planner(harness, make_agent, *vms)
        await harness.submit(NAME, Step(count=2, need=WHOLE, gang=True))
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
        runs = {key: (task, run) for task, (key, run) in entry.ordered_runs().items()}
        harness.store.down = True
        agent.refused = [(*runs[agent.key], "order expired")]
        agent.report()
        await harness.wait_until(
            lambda: entry.orders(other.vm)[other.key].stopping == [runs[other.key]], 0.5
        )
        assert entry.ordered_runs() == {runs[agent.key][0]: (agent.key, 1)}

    run_scenario(scenario)


def test_cancelled_job_is_stopped(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME)
        await harness.wait_until(entry.ordered_runs)
        await harness.cancel(NAME)
        await harness.wait_until(lambda: entry.orders("vm-1")[agent.key].stopping)
        assert status(entry) == "cancelled"

    run_scenario(scenario)


def test_capacity_of_a_stopping_run_is_not_reused_before_its_end(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(need=WHOLE))
        await harness.wait_until(entry.ordered_runs)
        await harness.cancel(NAME)
        await harness.submit("00000000000000a2", Step(need=WHOLE))
        await asyncio.sleep(0.3)
        assert entry.ordered_runs() == {}
        agent.closed = [(f"{NAME}.0.0.0", 1)]
        agent.report()
        await harness.wait_until(entry.ordered_runs)

    run_scenario(scenario)


def test_step_waits_for_the_step_it_depends_on(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(need=ONE), Step(need=ONE, after=(0,)))
        await harness.wait_until(entry.ordered_runs)
        assert set(entry.ordered_runs()) == {f"{NAME}.0.0.0"}
        agent.end(f"{NAME}.0.0.0", 1, "done")
        await harness.wait_until(lambda: set(entry.ordered_runs()) == {f"{NAME}.0.1.0"})

    run_scenario(scenario)


def test_runs_of_a_silent_vm_are_kept_until_its_leases_lapse(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 3.0)

    async def scenario(harness):
        entry, (agent, other) = await start_planner(harness, make_agent, "vm-1", "vm-2")
        await harness.submit(NAME)
        first = (await harness.wait_until(entry.ordered_runs))[f"{NAME}.0.0.0"][0]
        silent, alive = (agent, other) if first == agent.key else (other, agent)
        assert silent.key == first
        began = asyncio.get_running_loop().time()
        while asyncio.get_running_loop().time() - began < 2.0:
            alive.heartbeat()
            await asyncio.sleep(0.1)
            assert entry.orders(alive.vm)[alive.key].runs == []
        while not entry.orders(alive.vm)[alive.key].runs:
            alive.heartbeat()
            await asyncio.sleep(0.1)
        assert entry.orders(alive.vm)[alive.key].runs[0].run == 2

    run_scenario(scenario)


def test_runs_of_a_replaced_upstream_are_restarted_at_once(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME)
        await harness.wait_until(entry.ordered_runs)
        agent.ended_keys = [agent.key]
        agent.key = agent.key.replace("|100|", "|200|")
        agent.report()
        await harness.wait_until(
            lambda: entry.ordered_runs().get(f"{NAME}.0.0.0") == (agent.key, 2)
        )

    run_scenario(scenario)


def test_unsettled_run_is_not_started_elsewhere_when_its_upstream_restarts(
    run_scenario, make_agent
):
    async def scenario(harness):
        agents = ("vm-1", "vm-2")
        entry, (agent, other) = await start_planner(harness, make_agent, *agents)
        await harness.submit(NAME, Step(count=2, need=WHOLE))
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
        task = next(
            task for task, (key, _) in entry.ordered_runs().items() if key == agent.key
        )
        agent.restart(unsettled=[(task, 1)])
        other.end(f"{NAME}.0.0.{1 - int(task[-1])}", 1, "done")
        for _report in range(3):
            await asyncio.sleep(0.1)
            agent.report()
            other.report()
            assert task not in entry.ordered_runs()
        agent.last_reports = []
        agent.report()
        await harness.wait_until(lambda: ordered(entry, task))
        assert ordered(entry, task)[1] == 2

    run_scenario(scenario)


def test_settled_runs_are_restarted_at_once_beside_an_unsettled_one(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(count=2, need=ONE))
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
        agent.restart(unsettled=[(f"{NAME}.0.0.0", 1)])
        restarted = {f"{NAME}.0.0.1": (agent.key, 2)}
        await harness.wait_until(lambda: entry.ordered_runs("vm-1") == restarted)
        await asyncio.sleep(0.3)
        assert entry.ordered_runs("vm-1") == restarted

    run_scenario(scenario)


def test_run_that_a_restarted_upstream_has_executed_late_is_not_repeated(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME)
        task = f"{NAME}.0.0.0"
        await harness.wait_until(entry.ordered_runs)
        agent.accepting = False
        agent.restart(unsettled=[(task, 1)])
        await asyncio.sleep(0.1)
        agent.last_reports = []
        agent.accepting = True
        agent.end(task, 1, "done")
        job = entry.replica.job_table.jobs[NAME]
        await harness.wait_until(lambda: job.status == "completed")
        await asyncio.sleep(0.3)
        assert task not in entry.ordered_runs()

    run_scenario(scenario)


def test_run_that_ended_as_its_upstream_left_is_not_repeated(run_scenario, make_agent):
    async def scenario(harness):
        agents = ("vm-1", "vm-2")
        entry, (agent, other) = await start_planner(harness, make_agent, *agents)
        await harness.submit(NAME)
        task = f"{NAME}.0.0.0"
        key, run = (await harness.wait_until(entry.ordered_runs))[task]
        leaving = agent if key == agent.key else other
        leaving.end(task, run, "done")
        leaving.leave()
        job = entry.replica.job_table.jobs[NAME]
        await harness.wait_until(lambda: job.status == "completed")
        await asyncio.sleep(0.3)
        assert task not in entry.ordered_runs()

    run_scenario(scenario)


def test_run_resumes_from_the_last_listing_of_an_upstream_that_left(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(need=ONE, checkpoints=True))
        await harness.wait_until(entry.ordered_runs)
        agent.running = [RunReport(f"{NAME}.0.0.0", 1, "late", 50)]
        agent.leave()
        second = make_agent(entry, "vm-2")
        second.report()
        await harness.wait_until(lambda: entry.ordered_runs("vm-2"))
        assert entry.orders("vm-2")[second.key].runs[0].checkpoint == "late"

    run_scenario(scenario)


def test_upstream_that_does_not_accept_gets_no_starts(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        agent.accepting = False
        agent.report()
        await harness.submit(NAME)
        await asyncio.sleep(0.3)
        assert entry.ordered_runs() == {}

    run_scenario(scenario)


@pytest.mark.parametrize("lost", [1, 3])
def test_lost_answers_of_the_store_start_nothing_twice(run_scenario, make_agent, lost):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        harness.store.lost_answers = lost
        await harness.submit_ignoring_doubt(NAME)
        await harness.wait_until(entry.ordered_runs)
        steps = [
            one
            for one in harness.store.topic("jobs").records
            if one.key.startswith("step/")
        ]
        assert len(steps) == 1

    run_scenario(scenario)


def test_expired_job_is_deleted_from_the_store(run_scenario, make_agent, monkeypatch):
    monkeypatch.setattr(planner, "DROP_INTERVAL_S", 0.1)

    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        entry.planner._state_kept_s = 0.2
        await harness.submit(NAME)
        await harness.submit("00000000000000a2")
        await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
        agent.end(f"{NAME}.0.0.0", 1, "done")
        await harness.wait_until(lambda: status(entry) == "completed")
        await harness.wait_until(lambda: NAME not in entry.replica.job_table.jobs)
        kept = [
            key for key, one in harness.store.topic("jobs").newest.items() if one.value
        ]
        assert not [key for key in kept if NAME in key]
        assert "job/00000000000000a2" in kept

    run_scenario(scenario)


def test_run_with_checkpoints_is_stopped_on_a_draining_upstream(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(need=ONE, checkpoints=True, estimate_ms=9000))
        await harness.wait_until(entry.ordered_runs)
        agent.accepting, agent.draining = False, True
        agent.report()
        stopping = [(f"{NAME}.0.0.0", 1)]
        await harness.wait_until(
            lambda: entry.orders("vm-1")[agent.key].stopping == stopping
        )

    run_scenario(scenario)


def test_progress_survives_planner_and_upstream_together(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(need=ONE, checkpoints=True))
        await harness.wait_until(entry.ordered_runs)
        agent.running = [RunReport(f"{NAME}.0.0.0", 1, "half", 50)]
        agent.report()
        step = f"step/{NAME}.0.0"
        await harness.wait_until(
            lambda: b"half" in harness.store.topic("jobs").newest[step].value
        )
        orders = entry.orders("vm-1")[agent.key].runs
        assert [run.checkpoint for run in orders] == [""]
        await entry.stop()
        second = harness.entry("entry-2")
        await harness.wait_until(lambda: second.election.term)
        replacement = make_agent(second, "vm-1")
        replacement.key = agent.key.replace("|100|", "|200|")
        replacement.report()
        await harness.wait_until(lambda: second.ordered_runs("vm-1"))
        assert second.orders("vm-1")[replacement.key].runs[0].checkpoint == "half"

    run_scenario(scenario)


def test_new_planner_knows_when_runs_were_started(run_scenario, make_agent):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(need=WHOLE, estimate_ms=9000))
        await harness.wait_until(entry.ordered_runs)
        await entry.stop()
        started_ms = entry.replica.job_table.jobs[NAME].steps[0, 0].tasks[0].started_ms
        second = harness.entry("entry-2")
        await harness.wait_until(lambda: second.election.term)
        task = second.replica.job_table.jobs[NAME].steps[0, 0].tasks[0]
        assert task.started_ms == started_ms > 0

    run_scenario(scenario)


def test_lapsed_run_resumes_from_its_newest_progress(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 0.5)

    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(need=ONE, checkpoints=True))
        await harness.wait_until(entry.ordered_runs)
        agent.running = [RunReport(f"{NAME}.0.0.0", 1, "half", 50)]
        agent.report()
        await asyncio.sleep(1.0)
        other = make_agent(entry, "vm-2")
        other.report()
        await harness.wait_until(lambda: f"{NAME}.0.0.0" in entry.ordered_runs("vm-2"))
        assert entry.orders("vm-2")[other.key].runs[0].checkpoint == "half"

    run_scenario(scenario)


async def return_with_a_closed_run(harness, make_agent, **fields):
    """Let the run of a task lapse while it works on, and its VM return."""
    entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
    await harness.submit(NAME, Step(need=WHOLE, estimate_ms=60_000, **fields))
    await harness.wait_until(entry.ordered_runs)
    open_runs = entry.replica.job_table.open_runs
    await harness.wait_until(lambda: not open_runs[agent.key])
    agent.running = [RunReport(f"{NAME}.0.0.0", 1, "", 50)]
    agent.report()
    return entry, agent


def test_task_is_not_started_again_while_its_closed_run_is_at_work(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 0.5)

    async def scenario(harness):
        entry, agent = await return_with_a_closed_run(harness, make_agent)
        other = make_agent(entry, "vm-2")
        for _ in range(4):
            agent.report()
            other.report()
            await asyncio.sleep(0.1)
        assert entry.ordered_runs() == {}
        agent.running = []
        agent.report()
        await harness.wait_until(entry.ordered_runs)

    run_scenario(scenario)


def test_closed_run_that_is_at_work_occupies_its_upstream(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 0.5)

    async def scenario(harness):
        entry, agent = await return_with_a_closed_run(harness, make_agent)
        await harness.submit(URGENT, Step(need=ONE, estimate_ms=1000))
        for _ in range(4):
            agent.report()
            await asyncio.sleep(0.1)
        assert entry.ordered_runs() == {}
        agent.running = []
        agent.report()
        await harness.wait_until(lambda: f"{URGENT}.0.0.0" in entry.ordered_runs())

    run_scenario(scenario)


def test_task_starts_elsewhere_when_the_vm_that_listed_it_is_silent(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 0.5)

    async def scenario(harness):
        entry, _agent = await return_with_a_closed_run(harness, make_agent)
        monkeypatch.setattr(fleet, "MAX_SILENCE_S", 0.3)
        other = make_agent(entry, "vm-2")
        await asyncio.sleep(0.4)
        other.report()

        def has_begun() -> bool:
            other.heartbeat()
            return bool(entry.ordered_runs("vm-2"))

        await harness.wait_until(has_begun)

    run_scenario(scenario)


async def begin_again_elsewhere(harness, make_agent, *steps: Step, **fields):
    """Let the runs on a VM lapse and begin again; return the entry and both agents."""
    entry, (silent,) = await start_planner(harness, make_agent, "vm-1")
    await harness.submit(NAME, *steps, **fields)
    first = await harness.wait_until(entry.ordered_runs)
    alive = make_agent(entry, "vm-2")
    alive.report()

    def has_begun() -> bool:
        alive.heartbeat()
        return set(entry.ordered_runs("vm-2")) == set(first)

    await harness.wait_until(has_begun)
    assert {run for _key, run in entry.ordered_runs("vm-2").values()} == {2}
    return entry, silent, alive


def stopping_on(entry, agent) -> list[tuple[str, int]]:
    orders = entry.orders(agent.vm).get(agent.key)
    return orders.stopping if orders is not None else []


def test_run_that_ended_out_of_contact_completes_its_task_after_it_was_closed(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 2.0)

    async def scenario(harness):
        steps = (Step(need=WHOLE), Step(need=WHOLE, after=(0,)))
        entry, silent, alive = await begin_again_elsewhere(harness, make_agent, *steps)
        task, following = f"{NAME}.0.0.0", f"{NAME}.0.1.0"
        # Its agent tells that the lease has lapsed out of contact.
        silent.lapsed_upto = 1
        silent.end(task, 1, "done")
        await harness.wait_until(lambda: stopping_on(entry, alive) == [(task, 2)])
        await harness.wait_until(
            lambda: entry.ordered_runs() == {following: (silent.key, 1)}
        )
        assert entry.orders("vm-1")[silent.key].stored_upto == 1
        alive.end(task, 2, "stopped")
        silent.end(following, 1, "done")
        await harness.wait_until(lambda: status(entry) == "completed")
        assert entry.ordered_runs() == {}
        assert not entry.replica.job_table.active

    run_scenario(scenario)


def test_run_that_ended_out_of_contact_is_not_repeated_after_its_return(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 2.0)

    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(need=ONE), Step(need=ONE, after=(0,)))
        await harness.wait_until(entry.ordered_runs)
        job = entry.replica.job_table.jobs[NAME]
        await harness.wait_until(lambda: not job.has_open_runs)
        agent.end(f"{NAME}.0.0.0", 1, "done")
        await harness.wait_until(lambda: set(entry.ordered_runs()) == {f"{NAME}.0.1.0"})

    run_scenario(scenario)


def test_gang_that_ended_out_of_contact_is_done_by_one_of_its_tasks(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 2.0)

    async def scenario(harness):
        gang = Step(count=2, need=ONE, gang=True)
        entry, silent, alive = await begin_again_elsewhere(harness, make_agent, gang)
        silent.end(f"{NAME}.0.0.1", 1, "done")
        await harness.wait_until(lambda: status(entry) == "completed")
        runs = [(f"{NAME}.0.0.{index}", 2) for index in range(2)]
        await harness.wait_until(lambda: stopping_on(entry, alive) == runs)
        for task, run in runs:
            alive.end(task, run, "stopped")
        await harness.wait_until(lambda: not entry.replica.job_table.active)
        assert status(entry) == "completed"

    run_scenario(scenario)


def test_next_planner_stops_the_newer_run_of_a_task_that_is_done(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 2.0)

    async def scenario(harness):
        steps = (Step(need=ONE), Step(need=ONE, after=(0,)))
        entry, silent, alive = await begin_again_elsewhere(harness, make_agent, *steps)
        task = f"{NAME}.0.0.0"
        silent.end(task, 1, "done")
        await harness.wait_until(lambda: stopping_on(entry, alive))
        await entry.stop()
        second = harness.entry("entry-2")
        await harness.wait_until(lambda: second.election.term)
        alive.entry = second
        alive.report()
        await harness.wait_until(lambda: stopping_on(second, alive) == [(task, 2)])
        alive.end(task, 2, "failed")
        job = second.replica.job_table.jobs[NAME]
        await harness.wait_until(lambda: job.steps[0, 0].tasks[0].phase == DONE)
        assert task not in second.ordered_runs()

    run_scenario(scenario)


@pytest.mark.parametrize(
    ("step", "outcome"),
    [
        (Step(need=ONE), "failed"),
        (Step(need=ONE), "lapsed"),
        (Step(need=ONE, long_running=True), "done"),
    ],
)
def test_end_of_a_closed_run_that_completes_nothing_leaves_the_newer_run(
    run_scenario, make_agent, monkeypatch, step, outcome
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 2.0)

    async def scenario(harness):
        entry, silent, alive = await begin_again_elsewhere(
            harness, make_agent, step, max_attempts=1
        )
        task = f"{NAME}.0.0.0"
        silent.end(task, 1, outcome)
        await harness.wait_until(
            lambda: entry.orders("vm-1")[silent.key].stored_upto == 1
        )
        alive.report()
        await asyncio.sleep(0.3)
        assert ordered(entry, task) == (alive.key, 2)
        assert status(entry) == "running"


def test_task_does_not_start_elsewhere_while_its_closed_run_may_hold_a_lease(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 1.0)

    async def scenario(harness):
        entry, agent = await return_with_a_closed_run(harness, make_agent)
        granted_s = entry.planner._fleet.vms[agent.vm].last_grant_s
        monkeypatch.setattr(fleet, "MAX_SILENCE_S", 0.3)
        other = make_agent(entry, "vm-2")
        while not entry.ordered_runs("vm-2"):
            other.report()
            await asyncio.sleep(0.02)
        assert fleet.boottime_s() - granted_s >= fleet.LEASE_EXPIRY_S

    run_scenario(scenario)


def test_task_is_not_started_again_after_its_closed_run_has_ended_done(
    run_scenario, make_agent, monkeypatch
):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 0.5)

    async def scenario(harness):
        entry, agent = await return_with_a_closed_run(harness, make_agent)
        await asyncio.sleep(0.1)
        assert entry.ordered_runs() == {}
        agent.running = []
        # Later runs were decided while the VM was silent; the lease has lapsed then.
        agent.lapsed_upto = 1
        agent.end(f"{NAME}.0.0.0", 1, "done")
        agent.report()
        await harness.wait_until(lambda: entry.orders("vm-1")[agent.key].stored_upto)
        await asyncio.sleep(0.3)
        assert entry.ordered_runs() == {}

    run_scenario(scenario)


def test_sizes_of_upstreams_are_stored_once_for_all_entries(run_scenario, make_agent):
    async def scenario(harness):
        entry = harness.entry("a")
        await harness.wait_until(lambda: entry.election.term)
        agent = make_agent(entry, "vm1")
        agent.report()
        await harness.wait_until(
            lambda: entry.replica.job_table.known_capacities.largest
        )
        assert entry.replica.job_table.known_capacities.largest == {"g": [WHOLE]}
        before = entry.replica.job_table.known_capacities
        make_agent(entry, "vm2").report()
        await asyncio.sleep(0.05)
        assert entry.replica.job_table.known_capacities is before

    run_scenario(scenario)


def test_orders_extend_no_lease_when_the_planner_may_not_grant(
    run_scenario, make_agent
):
    async def scenario(harness):
        entry, (agent,) = await start_planner(harness, make_agent, "vm-1")
        await harness.submit(NAME, Step(need=ONE, estimate_ms=60_000))
        await harness.wait_until(entry.ordered_runs)
        harness.store.down = True
        await harness.wait_until(lambda: not entry.election.may_grant, timeout_s=3.0)
        entry.sent.clear()
        agent.clock_s += 50.0
        agent.heartbeat(applied=(0, 0))
        agent.draining = True
        agent.key += "0"
        agent.report()
        await harness.wait_until(lambda: len(entry.sent) > 1)
        echoed_s = {message.echoed_clock_s for _vm, message in entry.sent}
        assert echoed_s == {agent.clock_s - 50.0}

    run_scenario(scenario)


LONG_RUNNING = Step(
    count=2, need=WHOLE, estimate_ms=1000, long_running=True, may_miss=1, target_ms=200
)
URGENT = "00000000000000b1"


async def start_long_running_step(harness, make_agent, step: Step):
    """Start a long-running step on two VMs, report it at work and return the entry."""
    entry, agents = await start_planner(harness, make_agent, "vm1", "vm2")
    await harness.submit(NAME, step, priority=2)
    await harness.wait_until(lambda: len(entry.ordered_runs()) == 2)
    keys = {agent.key: agent for agent in agents}
    for task, (key, run) in entry.ordered_runs().items():
        keys[key].running = [RunReport(task, run, "", 100)]
        keys[key].report()
    return entry


def stopping(entry) -> list[tuple[str, int]]:
    return [
        run
        for vm in ("vm1", "vm2")
        for one in entry.orders(vm).values()
        for run in one.stopping
    ]


def test_long_running_task_is_preempted_for_a_guaranteed_job(run_scenario, make_agent):
    async def scenario(harness):
        entry = await start_long_running_step(harness, make_agent, LONG_RUNNING)
        await harness.submit(URGENT, Step(need=WHOLE, estimate_ms=1000), priority=0)
        await harness.wait_until(lambda: stopping(entry))
        assert len(stopping(entry)) == 1

    run_scenario(scenario)


def test_preemption_of_long_running_tasks_respects_may_miss(run_scenario, make_agent):
    async def scenario(harness):
        entry = await start_long_running_step(harness, make_agent, LONG_RUNNING)
        urgent = Step(count=2, need=WHOLE, estimate_ms=1000)
        await harness.submit(URGENT, urgent, priority=0)
        await harness.submit("00000000000000b2", Step(need=WHOLE), priority=0)
        await asyncio.sleep(0.8)
        assert len(stopping(entry)) <= 1

    run_scenario(scenario)
