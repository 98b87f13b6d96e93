from __future__ import annotations

import asyncio

from hyssoprill.ports.store import Record, Writer


def test_one_of_several_entries_plans(play):
    async def scenario(world):
        entries = [world.entry(f"entry-{i}") for i in range(3)]
        await world.until(lambda: any(one.keeper.term for one in entries))
        await asyncio.sleep(0.5)
        assert sum(one.keeper.term > 0 for one in entries) == 1

    play(scenario)


def test_another_entry_claims_after_silence_with_a_higher_term(play):
    async def scenario(world):
        first = world.entry("entry-1")
        await world.until(lambda: first.keeper.term == 1)
        second = world.entry("entry-2")
        await asyncio.sleep(0.3)
        await first.stop()
        assert second.keeper.term == 0
        await world.until(lambda: second.keeper.term == 2)

    play(scenario)


def test_entry_that_resigns_is_followed_at_once(play):
    async def scenario(world):
        first = world.entry("entry-1")
        await world.until(lambda: first.keeper.term == 1)
        second = world.entry("entry-2")
        await asyncio.sleep(0.2)
        await first.keeper.resign()
        await world.until(lambda: second.keeper.term == 2, timeout_s=1.0)
        assert first.keeper.term == 0

    play(scenario)


def test_fenced_planner_steps_down(play):
    async def scenario(world):
        first = world.entry("entry-1")
        await world.until(lambda: first.keeper.term == 1)
        await world.store.append("jobs", [], writer=Writer(7, 0))
        await world.until(lambda: first.keeper.term != 1)

    play(scenario)


def test_planner_that_cannot_renew_grants_nothing(play):
    async def scenario(world):
        first = world.entry("entry-1")
        await world.until(lambda: first.keeper.may_grant)
        world.store.down = True
        await world.until(lambda: not first.keeper.may_grant, timeout_s=3.0)
        world.store.down = False
        await world.until(lambda: first.keeper.may_grant, timeout_s=3.0)

    play(scenario)


def test_late_append_of_a_fenced_planner_is_refused(play):
    async def scenario(world):
        first = world.entry("entry-1")
        await world.until(lambda: first.keeper.term == 1)
        await first.stop()
        await world.store.append("jobs", [], writer=Writer(2, 0))
        topic = world.store.topic("jobs")
        before = topic.end
        try:
            topic.append([Record("step/x.0.0", b"[]")], None, Writer(1, 50))
        except Exception as exc:  # noqa: BLE001 - the stand-in's own refusal
            assert "fenced" in str(exc)
        assert topic.end == before

    play(scenario)


def test_restarted_planner_follows_itself_at_once(play):
    async def scenario(world):
        first = world.entry("entry-1")
        await world.until(lambda: first.keeper.term == 1)
        await first.stop()
        again = world.entry("entry-1")
        again.keeper._incarnation = "entry-1-2"
        await world.until(lambda: again.keeper.term == 2, timeout_s=1.0)

    play(scenario)


def test_entry_whose_reading_place_was_lost_does_not_claim(play):
    async def scenario(world):
        first = world.entry("entry-1")
        await world.until(lambda: first.keeper.term == 1)
        await first.stop()
        writes = world.store.writes
        first.replica.end = None
        await first.keeper._claim()
        assert world.store.writes == writes

    play(scenario)


def test_forgotten_history_is_read_anew(play):
    async def scenario(world):
        first = world.entry("entry-1")
        await world.until(lambda: first.keeper.term == 1)
        await world.submit("00000000000000a1")
        await world.until(lambda: first.replica.ledger.jobs)
        second = world.entry("entry-2")
        await world.until(lambda: second.replica.end)
        second.replica.end = 0
        world.store.topic("jobs").forget()
        await world.until(lambda: second.replica.ledger.jobs)
        await world.until(lambda: second.replica.age_s < 1.0)

    play(scenario)
