from __future__ import annotations

import asyncio

import pytest
from standins.job_store import MemoryStore

from hyssoprill.coordination.planner import election
from hyssoprill.coordination.planner.election import PlannerElection
from hyssoprill.coordination.planner.fitness import CLAIM_DELAY_S
from hyssoprill.errors import StoreInDoubtError, StoreRefusedError
from hyssoprill.ports.store import Record, Writer
from hyssoprill.state.job_table import SIZES_KEY, VACATED_KEY


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


async def start_with_a_peer(harness):
    """Return a planner with its own link to the store, that link, and a peer."""
    link = MemoryStore()
    link.topics = harness.store.topics
    first = harness.entry(
        "entry-1",
        store=link,
        append_through_peer=lambda records: harness.store.append("jobs", records),
    )
    await harness.wait_until(lambda: first.election.term == 1)
    second = harness.entry("entry-2")
    await harness.wait_until(lambda: second.replica.end is not None)
    return first, link, second


def test_planner_cut_off_from_the_store_hands_over_before_its_grants_end(run_scenario):
    async def scenario(harness):
        first, link, second = await start_with_a_peer(harness)
        link.down = True
        await harness.wait_until(
            lambda: second.election.term == 2, timeout_s=election.GRANT_WINDOW_S
        )
        assert first.election.term == 0

    run_scenario(scenario)


def test_planner_stays_while_no_peer_reaches_the_store(run_scenario):
    async def scenario(harness):
        first, link, second = await start_with_a_peer(harness)
        link.down = harness.store.down = True
        await asyncio.sleep(2 * election.HAND_OVER_AFTER_S)
        assert (first.election.term, second.election.term) == (1, 0)

    run_scenario(scenario)


def test_late_hand_over_of_an_old_term_does_not_vacate_a_newer_one(run_scenario):
    async def scenario(harness):
        first, link, second = await start_with_a_peer(harness)
        link.down = True
        await harness.wait_until(lambda: second.election.term == 2)
        await harness.store.append("jobs", [Record(VACATED_KEY, b"1")])
        third = harness.entry("entry-3")
        await asyncio.sleep(0.5)
        assert [one.election.term for one in (first, second, third)] == [0, 2, 0]

    run_scenario(scenario)


def record_overlaps(first, second) -> list[int]:
    """Record each term that the second entry holds while the first may grant."""
    overlaps: list[int] = []

    def check() -> None:
        if second.election.term and first.election.may_grant:
            overlaps.append(second.election.term)
        asyncio.get_running_loop().call_later(0.005, check)

    check()
    return overlaps


@pytest.mark.parametrize("leave", [PlannerElection.resign, PlannerElection.give_up])
def test_planner_grants_no_more_when_its_resignation_is_answered_late(
    run_scenario, leave
):
    async def scenario(harness):
        first, link, second = await start_with_a_peer(harness)
        append = link.append

        async def append_and_answer_late(*args, **fields):
            offset = await append(*args, **fields)
            await asyncio.sleep(election.GRANT_WINDOW_S / 2)
            return offset

        overlaps = record_overlaps(first, second)
        link.append = append_and_answer_late
        await leave(first.election)
        assert second.election.term == 2
        assert overlaps == []

    run_scenario(scenario)


def test_planner_grants_no_more_when_its_hand_over_is_not_answered(run_scenario):
    async def scenario(harness):
        async def append_without_an_answer(records):
            await harness.store.append("jobs", records)
            await asyncio.Event().wait()

        first, link, second = await start_with_a_peer(harness)
        first.election._append_through_peer = append_without_an_answer
        overlaps = record_overlaps(first, second)
        link.down = True
        await harness.wait_until(lambda: second.election.term == 2)
        assert overlaps == []

    run_scenario(scenario)


def test_late_hand_over_does_not_vacate_a_term_that_is_being_renewed(run_scenario):
    async def scenario(harness):
        first, _link, second = await start_with_a_peer(harness)
        await harness.store.append("jobs", [Record(VACATED_KEY, b"1")])
        await asyncio.sleep(3 * election.RENEW_INTERVAL_S)
        assert (first.election.term, second.election.term) == (1, 0)

    run_scenario(scenario)


def test_term_is_not_claimed_while_its_planner_stores_other_records(run_scenario):
    async def scenario(harness):
        first, _link, second = await start_with_a_peer(harness)
        renewal_s = 2 * election.CLAIM_AFTER_S
        first.election._renew = lambda: asyncio.sleep(renewal_s)
        for _ in range(int(renewal_s / election.RENEW_INTERVAL_S)):
            await first.election.append([Record(SIZES_KEY, b"{}")])
            await asyncio.sleep(election.RENEW_INTERVAL_S)
        assert (first.election.term, second.election.term) == (1, 0)

    run_scenario(scenario)


async def refuse_append(_records) -> int:
    raise StoreRefusedError("no peer reaches the store")


async def leave_unanswered(*_args, **_fields):
    await asyncio.sleep(1.0)
    raise StoreInDoubtError("no answer")


def test_planner_grants_no_more_when_an_append_is_answered_at_its_repeat(run_scenario):
    # Other entries count from the time at which the record was stored.
    async def scenario(harness):
        first, link, second = await start_with_a_peer(harness)
        first.election._append_through_peer = refuse_append
        append = link.append
        answers = [leave_unanswered]

        async def lose_first_answer(*args, **fields):
            offset = await append(*args, **fields)
            if answers:
                await answers.pop()()
            link.append = link.read = leave_unanswered
            return offset

        overlaps = record_overlaps(first, second)
        link.append = lose_first_answer
        await harness.wait_until(lambda: second.election.term == 2)
        await asyncio.sleep(election.GRANT_WINDOW_S)
        assert overlaps == []

    run_scenario(scenario)


def test_planner_of_a_late_hand_over_grants_no_more_when_it_is_succeeded(run_scenario):
    async def scenario(harness):
        first, link, second = await start_with_a_peer(harness)
        first.election._append_through_peer = refuse_append
        overlaps = record_overlaps(first, second)
        await harness.store.append("jobs", [Record(VACATED_KEY, b"1")])
        await asyncio.sleep(3 * election.RENEW_INTERVAL_S)
        link.append = leave_unanswered
        await harness.wait_until(lambda: second.election.term == 2)
        await asyncio.sleep(election.GRANT_WINDOW_S)
        assert overlaps == []

    run_scenario(scenario)


def test_term_that_is_renewed_after_a_late_hand_over_is_not_vacant(run_scenario):
    async def scenario(harness):
        first, _link, second = await start_with_a_peer(harness)
        await harness.store.append("jobs", [Record(VACATED_KEY, b"1")])
        await asyncio.sleep(3 * election.RENEW_INTERVAL_S)
        assert (first.election.term, second.election.term) == (1, 0)
        assert not second.replica.job_table.is_term_vacant

    run_scenario(scenario)


class SlowReads(MemoryStore):
    """View of a store whose answers to reads take a while."""

    def __init__(self, store: MemoryStore, read_s: float) -> None:
        super().__init__()
        self.topics, self._news, self._read_s = store.topics, store._news, read_s

    async def read(self, topic, offset, *, wait_s):
        page = await super().read(topic, offset, wait_s=wait_s)
        await asyncio.sleep(self._read_s)
        return page


@pytest.mark.parametrize("claim_delay_s", [0.0, CLAIM_DELAY_S])
def test_term_is_claimed_by_a_slower_entry_while_the_store_is_slow(
    run_scenario, claim_delay_s
):
    async def scenario(harness):
        first = harness.entry("entry-1")
        await harness.wait_until(lambda: first.election.term == 1)
        second = harness.entry("entry-2", store=SlowReads(harness.store, 0.3))
        second.election._claim_delay_s = lambda _former: claim_delay_s
        await asyncio.sleep(1.0)
        await first.stop()
        await harness.wait_until(lambda: second.election.term == 2, timeout_s=6.0)

    run_scenario(scenario)
