from __future__ import annotations

import asyncio

import pytest

from hyssoprill.coordination.planner import fleet, planner
from hyssoprill.protocol.job import ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport

ONE = ResourceAmounts(1, 1000, 1000)
WHOLE = ResourceAmounts(8, 64_000, 262_144)
NAME = "00000000000000a1"


def status(entry, job_id: str = NAME) -> str:
    known = entry.replica.ledger.jobs.get(job_id)
    return known.status if known is not None else ""


def ordered(entry, task: str):
    return entry.ordered_runs().get(task)


async def planning(world, make_vm, *names: str):
    entry = world.entry("entry-1")
    await world.until(lambda: entry.keeper.term)
    vms = [make_vm(entry, name) for name in names]
    for vm in vms:
        vm.report()
    return entry, vms


def test_run_is_stored_before_it_is_ordered(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME)
        await world.until(entry.ordered_runs)
        stored = world.store.topic("jobs").newest[f"step/{NAME}.0.0"]
        assert vm.key.encode() in stored.value

    play(scenario)


def test_done_end_completes_the_job_and_is_acknowledged(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME)
        await world.until(entry.ordered_runs)
        vm.end(f"{NAME}.0.0.0", 1, "done")
        await world.until(lambda: status(entry) == "completed")
        await world.until(lambda: entry.orders("vm-1")[vm.key].stored_upto == 1)

    play(scenario)


def test_end_is_not_acknowledged_while_it_is_not_stored(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME)
        await world.until(entry.ordered_runs)
        world.store.down = True
        vm.end(f"{NAME}.0.0.0", 1, "done")
        await asyncio.sleep(0.3)
        assert entry.orders("vm-1")[vm.key].stored_upto == 0
        world.store.down = False
        await world.until(lambda: entry.orders("vm-1")[vm.key].stored_upto == 1)

    play(scenario)


def test_job_fails_after_its_attempts_and_starts_no_more(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME, max_attempts=2)
        task = f"{NAME}.0.0.0"
        for run in (1, 2):
            await world.until(
                lambda run=run: entry.ordered_runs().get(task, "")[1:] == (run,)
            )
            vm.end(task, run, "failed")
        await world.until(lambda: status(entry) == "failed")
        await asyncio.sleep(0.1)
        assert entry.ordered_runs() == {}

    play(scenario)


def test_one_failed_run_of_a_gang_counts_once(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME, Step(count=3, need=ONE, gang=True), max_attempts=2)
        await world.until(lambda: len(entry.ordered_runs()) == 3)
        for index in range(3):
            vm.end(f"{NAME}.0.0.{index}", 1, "failed" if index < 2 else "broken")
        await world.until(
            lambda: {run for _key, run in entry.ordered_runs().values()} == {2}
        )
        assert status(entry) == "running"

    play(scenario)


def test_rest_of_a_broken_gang_is_stopped_before_a_new_run(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME, Step(count=2, need=ONE, gang=True))
        await world.until(lambda: len(entry.ordered_runs()) == 2)
        vm.end(f"{NAME}.0.0.0", 1, "stopped", "half")
        stopping = (f"{NAME}.0.0.1", 1)
        await world.until(lambda: stopping in entry.orders("vm-1")[vm.key].stopping)
        assert entry.ordered_runs() == {}
        vm.closed = [stopping]
        vm.report()
        await world.until(lambda: len(entry.ordered_runs()) == 2)
        saved = {run.checkpoint for run in entry.orders("vm-1")[vm.key].runs}
        assert saved == {"half"}

    play(scenario)


def test_cancelled_job_is_stopped(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME)
        await world.until(entry.ordered_runs)
        await world.cancel(NAME)
        await world.until(lambda: entry.orders("vm-1")[vm.key].stopping)
        assert status(entry) == "cancelled"

    play(scenario)


def test_room_of_a_stopping_run_is_kept_until_its_end(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME, Step(need=WHOLE))
        await world.until(entry.ordered_runs)
        await world.cancel(NAME)
        await world.submit("00000000000000a2", Step(need=WHOLE))
        await asyncio.sleep(0.3)
        assert entry.ordered_runs() == {}
        vm.closed = [(f"{NAME}.0.0.0", 1)]
        vm.report()
        await world.until(entry.ordered_runs)

    play(scenario)


def test_later_step_waits_for_the_one_it_follows(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME, Step(need=ONE), Step(need=ONE, after=(0,)))
        await world.until(entry.ordered_runs)
        assert set(entry.ordered_runs()) == {f"{NAME}.0.0.0"}
        vm.end(f"{NAME}.0.0.0", 1, "done")
        await world.until(lambda: set(entry.ordered_runs()) == {f"{NAME}.0.1.0"})

    play(scenario)


def test_silent_vm_keeps_its_runs_until_its_leases_lapsed(play, make_vm, monkeypatch):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 3.0)

    async def scenario(world):
        entry, (vm, other) = await planning(world, make_vm, "vm-1", "vm-2")
        await world.submit(NAME)
        first = (await world.until(entry.ordered_runs))[f"{NAME}.0.0.0"][0]
        silent, alive = (vm, other) if first == vm.key else (other, vm)
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

    play(scenario)


def test_work_of_an_ended_lifetime_starts_elsewhere_at_once(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME)
        await world.until(entry.ordered_runs)
        vm.gone = [vm.key]
        vm.key = vm.key.replace("|100|", "|200|")
        vm.report()
        await world.until(
            lambda: entry.ordered_runs().get(f"{NAME}.0.0.0") == (vm.key, 2)
        )

    play(scenario)


def test_draining_upstream_gets_no_start(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        vm.accepting = False
        vm.report()
        await world.submit(NAME)
        await asyncio.sleep(0.3)
        assert entry.ordered_runs() == {}

    play(scenario)


@pytest.mark.parametrize("lost", [1, 3])
def test_lost_answers_of_the_store_start_nothing_twice(play, make_vm, lost):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        world.store.lost_answers = lost
        await world.submit_unsure(NAME)
        await world.until(entry.ordered_runs)
        steps = [
            one
            for one in world.store.topic("jobs").records
            if one.key.startswith("step/")
        ]
        assert len(steps) == 1

    play(scenario)


def test_job_that_is_long_over_is_dropped_from_the_store(play, make_vm, monkeypatch):
    monkeypatch.setattr(planner, "DROP_INTERVAL_S", 0.1)

    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        entry.planner._state_kept_s = 0.2
        await world.submit(NAME)
        await world.submit("00000000000000a2")
        await world.until(lambda: len(entry.ordered_runs()) == 2)
        vm.end(f"{NAME}.0.0.0", 1, "done")
        await world.until(lambda: status(entry) == "completed")
        await world.until(lambda: NAME not in entry.replica.ledger.jobs)
        kept = [
            key for key, one in world.store.topic("jobs").newest.items() if one.value
        ]
        assert not [key for key in kept if NAME in key]
        assert "job/00000000000000a2" in kept

    play(scenario)


def test_saving_work_moves_off_a_draining_upstream(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME, Step(need=ONE, checkpoints=True, estimate_ms=9000))
        await world.until(entry.ordered_runs)
        vm.accepting, vm.draining = False, True
        vm.report()
        stopping = [(f"{NAME}.0.0.0", 1)]
        await world.until(lambda: entry.orders("vm-1")[vm.key].stopping == stopping)

    play(scenario)


def test_progress_survives_planner_and_upstream_together(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME, Step(need=ONE, checkpoints=True))
        await world.until(entry.ordered_runs)
        vm.running = [RunReport(f"{NAME}.0.0.0", 1, "half", 50)]
        vm.report()
        step = f"step/{NAME}.0.0"
        await world.until(
            lambda: b"half" in world.store.topic("jobs").newest[step].value
        )
        orders = entry.orders("vm-1")[vm.key].runs
        assert [run.checkpoint for run in orders] == [""]
        await entry.stop()
        second = world.entry("entry-2")
        await world.until(lambda: second.keeper.term)
        reborn = make_vm(second, "vm-1")
        reborn.key = vm.key.replace("|100|", "|200|")
        reborn.report()
        await world.until(lambda: second.ordered_runs("vm-1"))
        assert second.orders("vm-1")[reborn.key].runs[0].checkpoint == "half"

    play(scenario)


def test_new_planner_knows_for_how_long_runs_have_run(play, make_vm):
    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME, Step(need=WHOLE, estimate_ms=9000))
        await world.until(entry.ordered_runs)
        await entry.stop()
        began_ms = entry.replica.ledger.jobs[NAME].steps[0, 0].tasks[0].started_ms
        second = world.entry("entry-2")
        await world.until(lambda: second.keeper.term)
        task = second.replica.ledger.jobs[NAME].steps[0, 0].tasks[0]
        assert task.started_ms == began_ms > 0

    play(scenario)


def test_lapsed_run_resumes_from_its_newest_progress(play, make_vm, monkeypatch):
    monkeypatch.setattr(fleet, "LEASE_EXPIRY_S", 0.5)

    async def scenario(world):
        entry, (vm,) = await planning(world, make_vm, "vm-1")
        await world.submit(NAME, Step(need=ONE, checkpoints=True))
        await world.until(entry.ordered_runs)
        vm.running = [RunReport(f"{NAME}.0.0.0", 1, "half", 50)]
        vm.report()
        await asyncio.sleep(1.0)
        other = make_vm(entry, "vm-2")
        other.report()
        await world.until(lambda: f"{NAME}.0.0.0" in entry.ordered_runs("vm-2"))
        assert entry.orders("vm-2")[other.key].runs[0].checkpoint == "half"

    play(scenario)


def test_sizes_of_upstreams_are_stored_once_for_all_entries(play, make_vm):
    async def scenario(world):
        entry = world.entry("a")
        await world.until(lambda: entry.keeper.term)
        vm = make_vm(entry, "vm1")
        vm.report()
        await world.until(lambda: entry.replica.ledger.known_capacities.largest)
        assert entry.replica.ledger.known_capacities.largest == {"g": [WHOLE]}
        before = entry.replica.ledger.known_capacities
        make_vm(entry, "vm2").report()
        await asyncio.sleep(0.05)
        assert entry.replica.ledger.known_capacities is before

    play(scenario)


LASTING = Step(
    count=2, need=WHOLE, estimate_ms=1000, long_running=True, may_miss=1, target_ms=200
)
URGENT = "00000000000000b1"


async def lasting_at_work(world, make_vm, step: Step):
    """Have a lasting step at work on two VMs, and return the entry."""
    entry, vms = await planning(world, make_vm, "vm1", "vm2")
    await world.submit(NAME, step, priority=2)
    await world.until(lambda: len(entry.ordered_runs()) == 2)
    keys = {vm.key: vm for vm in vms}
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


def test_lasting_task_is_stopped_for_a_guaranteed_job(play, make_vm):
    async def scenario(world):
        entry = await lasting_at_work(world, make_vm, LASTING)
        await world.submit(URGENT, Step(need=WHOLE, estimate_ms=1000), priority=0)
        await world.until(lambda: stopping(entry))
        assert len(stopping(entry)) == 1

    play(scenario)


def test_no_more_lasting_tasks_are_stopped_than_may_be_missed(play, make_vm):
    async def scenario(world):
        entry = await lasting_at_work(world, make_vm, LASTING)
        urgent = Step(count=2, need=WHOLE, estimate_ms=1000)
        await world.submit(URGENT, urgent, priority=0)
        await world.submit("00000000000000b2", Step(need=WHOLE), priority=0)
        await asyncio.sleep(0.8)
        assert len(stopping(entry)) <= 1

    play(scenario)
