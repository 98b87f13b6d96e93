from __future__ import annotations

import asyncio

from hyssoprill.ports.store import Record, Writer


def test_exactly_one_of_several_entries_is_elected(run_scenario):
    async def scenario(harness):
        entries = [harness.entry(f"entry-{i}") for i in range(3)]
        await harness.wait_until(lambda: any(one.election.term for one in entries))
        await asyncio.sleep(0.5)
        assert sum(one.election.term > 0 for one in entries) == 1

    run_scenario(scenario)


def test_another_entry_claims_after_silence_with_a_higher_term(run_scenario):
    async def scenario(harness):
        first = harness.entry("entry-1")
        await harness.wait_until(lambda: first.election.term == 1)
        second = harness.entry("entry-2")
        await asyncio.sleep(0.3)
        await first.stop()
        assert second.election.term == 0
        await harness.wait_until(lambda: second.election.term == 2)

    run_scenario(scenario)


def test_entry_that_resigns_is_succeeded_at_once(run_scenario):
    async def scenario(harness):
        first = harness.entry("entry-1")
        await harness.wait_until(lambda: first.election.term == 1)
        second = harness.entry("entry-2")
        await asyncio.sleep(0.2)
        await first.election.resign()
        await harness.wait_until(lambda: second.election.term == 2, timeout_s=1.0)
        assert first.election.term == 0

    run_scenario(scenario)


def test_fenced_planner_steps_down(run_scenario):
    async def scenario(harness):
        first = harness.entry("entry-1")
        await harness.wait_until(lambda: first.election.term == 1)
        await harness.store.append("jobs", [], writer=Writer(7, 0))
        await harness.wait_until(lambda: first.election.term != 1)

    run_scenario(scenario)


def test_planner_that_cannot_renew_may_not_grant(run_scenario):
    async def scenario(harness):
        first = harness.entry("entry-1")
        await harness.wait_until(lambda: first.election.may_grant)
        harness.store.down = True
        await harness.wait_until(lambda: not first.election.may_grant, timeout_s=3.0)
        harness.store.down = False
        await harness.wait_until(lambda: first.election.may_grant, timeout_s=3.0)

    run_scenario(scenario)


def test_late_append_of_a_fenced_planner_is_refused(run_scenario):
    async def scenario(harness):
        first = harness.entry("entry-1")
        await harness.wait_until(lambda: first.election.term == 1)
        await first.stop()
        await harness.store.append("jobs", [], writer=Writer(2, 0))
        topic = harness.store.topic("jobs")
        before = topic.end
        try:
            topic.append([Record("step/x.0.0", b"[]")], None, Writer(1, 50))
        except Exception as exc:  # noqa: BLE001 - the stand-in's own refusal
            assert "fenced" in str(exc)
        assert topic.end == before

    run_scenario(scenario)


def test_restarted_planner_succeeds_itself_at_once(run_scenario):
    async def scenario(harness):
        first = harness.entry("entry-1")
        await harness.wait_until(lambda: first.election.term == 1)
        await first.stop()
        again = harness.entry("entry-1")
        again.election._incarnation = "entry-1-2"
        await harness.wait_until(lambda: again.election.term == 2, timeout_s=1.0)

    run_scenario(scenario)


def test_entry_without_a_read_offset_does_not_claim(run_scenario):
    async def scenario(harness):
        first = harness.entry("entry-1")
        await harness.wait_until(lambda: first.election.term == 1)
        await first.stop()
        writes = harness.store.writes
        first.replica.end = None
        await first.election._claim()
        assert harness.store.writes == writes

    run_scenario(scenario)


def test_replica_is_read_anew_after_the_store_discarded_history(run_scenario):
    async def scenario(harness):
        first = harness.entry("entry-1")
        await harness.wait_until(lambda: first.election.term == 1)
        await harness.submit("00000000000000a1")
        await harness.wait_until(lambda: first.replica.job_table.jobs)
        second = harness.entry("entry-2")
        await harness.wait_until(lambda: second.replica.end)
        second.replica.end = 0
        harness.store.topic("jobs").forget()
        await harness.wait_until(lambda: second.replica.job_table.jobs)
        await harness.wait_until(lambda: second.replica.age_s < 1.0)

    run_scenario(scenario)
