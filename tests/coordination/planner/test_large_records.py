"""Tests of a planner whose state takes more space than the store's records have."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from msgspec.structs import replace

from hyssoprill.clock import boottime_s
from hyssoprill.coordination.planner.election import append_all
from hyssoprill.coordination.planner.retention import expired_records
from hyssoprill.errors import StoreRejectedError
from hyssoprill.ports.store import DEFAULT_RECORD_BYTES, Record, split_batches
from hyssoprill.protocol.bounds import MAX_CHECKPOINT_LENGTH
from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport
from hyssoprill.state.job_table import JOB_PREFIX, JobTable, StepState, TaskState
from hyssoprill.state.known_capacities import KnownCapacities

LARGE, SMALL = (f"{number:016x}" for number in (1, 2))
SMALL_NEED = ResourceAmounts(0, 100, 100)


@pytest.mark.parametrize(
    ("count", "saved_chars"), [(200, 1500), (64, MAX_CHECKPOINT_LENGTH), (600, 900)]
)
def test_other_jobs_are_started_after_a_step_has_saved_more_than_a_record_holds(
    run_scenario, make_agent, count, saved_chars
):
    # Guards against an append that the store refuses and that is repeated forever.
    async def scenario(harness):
        entry = harness.entry("entry-1")
        await harness.wait_until(lambda: entry.election.term)
        agent = make_agent(entry, "vm-1")
        agent.report()
        step = Step(count=count, need=SMALL_NEED, estimate_ms=60_000, checkpoints=True)
        await harness.submit(LARGE, step)
        runs = await harness.wait_until(entry.ordered_runs)
        assert len(runs) == count
        agent.running = [
            RunReport(task, run, f"{index:04}".ljust(saved_chars, "c"), 10)
            for index, (task, (_key, run)) in enumerate(runs.items())
        ]
        agent.report()

        def stored_checkpoints() -> set[str]:
            tasks = entry.replica.job_table.jobs[LARGE].step_state(0, 0).tasks
            return {task.newer_checkpoint for task in tasks}

        expected = {row.checkpoint for row in agent.running}
        await harness.wait_until(lambda: stored_checkpoints() == expected)
        agent.report()
        await harness.submit(SMALL)
        await harness.wait_until(lambda: f"{SMALL}.0.0.0" in entry.ordered_runs())
        assert entry.election.term == 1
        # Another entry rebuilds the same state from the newest record of each key.
        harness.store.topic("jobs").forget()
        other = harness.entry("entry-2")
        await harness.wait_until(lambda: SMALL in other.replica.job_table.jobs)
        for job_id in (LARGE, SMALL):
            state = other.replica.job_table.jobs[job_id].step_state(0, 0)
            assert state == entry.replica.job_table.jobs[job_id].step_state(0, 0)

    run_scenario(scenario)


def test_term_is_kept_when_the_store_rejects_an_append(run_scenario):
    # Guards against repeats that hold the lock which renewals of the term need.
    async def scenario(harness):
        entry = harness.entry("entry-1")
        await harness.wait_until(lambda: entry.election.term)
        too_large = Record(f"{JOB_PREFIX}{LARGE}", b"x" * (DEFAULT_RECORD_BYTES + 1))
        with pytest.raises(StoreRejectedError):
            await entry.election.append([too_large])
        await asyncio.sleep(2.0)
        assert entry.election.term == 1
        assert entry.election.may_grant
        # The sequence number of the rejected append is used for the next one.
        stored = Record(f"{JOB_PREFIX}{SMALL}", b"{}")
        await entry.election.append([stored])
        assert stored.key in harness.store.topic("jobs").newest

    run_scenario(scenario)


def test_changes_are_stored_beside_one_that_the_store_rejects(run_scenario):
    async def scenario(harness):
        entry = harness.entry("entry-1")
        await harness.wait_until(lambda: entry.election.term)
        good = Record(f"{JOB_PREFIX}{SMALL}", b"{}")
        too_large = Record(f"{JOB_PREFIX}{LARGE}", b"x" * (DEFAULT_RECORD_BYTES + 1))
        with pytest.raises(StoreRejectedError):
            await append_all(entry.election, [good, too_large])
        assert good.key in harness.store.topic("jobs").newest

    run_scenario(scenario)


def finished_table(occurrences: int) -> JobTable:
    """Return a table with a job that was completed long ago."""
    table = JobTable()
    fields = {"times": occurrences, "interval_ms": 1}
    job = Job(LARGE, "q", "g", "w", 1, 2, 3.0, 0, 0, "x", (Step(),), **fields)
    table.apply(0, JOB_PREFIX + LARGE, msgspec.json.encode(job))
    done = msgspec.json.encode(StepState((TaskState(2, 1),)))
    for number in range(occurrences):
        table.apply(1 + number, f"step/{LARGE}.{number}.0", done)
    assert table.jobs[LARGE].status == "completed"
    table.jobs[LARGE].finished_s = boottime_s() - 1000.0
    return table


def test_job_of_many_records_is_deleted_in_several_appends_without_reviving_it():
    table = finished_table(occurrences=1000)
    records = expired_records(table, 1.0)
    assert len(records) == 1001
    assert records[0].key == JOB_PREFIX + LARGE
    for offset, record in enumerate(records[:500], start=5000):
        table.apply(offset, record.key, record.value)
    assert not table.jobs
    assert not table.active


def test_appends_are_split_where_they_are_larger_than_the_store_takes():
    records = [Record(f"key-{number}", b"x" * 400_000) for number in range(5)]
    records += [Record("k" * 100, b"")] * 20_000
    batches = split_batches(records)
    assert [one for batch in batches for one in batch] == records
    for batch in batches:
        assert sum(one.size + 4 for one in batch) <= 1_000_000


def test_capacities_are_merged_where_they_do_not_fit_into_a_record(
    run_scenario, make_agent
):
    capacities = [ResourceAmounts(n, 1000 - n, 1000) for n in range(1, 4)]

    async def scenario(harness):
        entry = harness.entry("entry-1")
        entry.planner._record_bytes = 45
        await harness.wait_until(lambda: entry.election.term)
        for number, capacity in enumerate(capacities):
            agent = make_agent(entry, f"vm-{number}")
            agent.capacity = capacity
            agent.report()
        largest = {"g": [ResourceAmounts(3, 999, 1000)]}
        await harness.wait_until(
            lambda: entry.replica.job_table.known_capacities.largest == largest
        )
        assert entry.election.term == 1

    run_scenario(scenario)


def test_merged_capacities_cover_all_that_were_seen():
    seen = [("g", ResourceAmounts(n, 100 - n, 1000)) for n in range(1, 50)]
    merged = KnownCapacities().extended([*seen, ("h", ResourceAmounts(1, 1, 1))])
    merged = merged.merged()
    assert merged.extended(seen) is merged
    assert merged.largest["h"] == [ResourceAmounts(1, 1, 1)]


def test_task_state_keeps_its_size_bound():
    """One task always fits the smallest record that settings allow."""
    state = TaskState(1, 10**9, "u" * 256, crashed_vms=("v" * 64,) * 3)
    value = msgspec.json.encode(StepState((replace(state, checkpoint=""),)))
    assert len(value) < 1024 - 100
