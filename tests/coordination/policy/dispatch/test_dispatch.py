from __future__ import annotations

from hyssoprill.coordination.policy.dispatch import dispatch
from hyssoprill.protocol.job import ZERO_AMOUNTS, ResourceAmounts

RECLAIM_S = 2.9
HALF = ResourceAmounts(4, 30_000, 100_000)
WHOLE = ResourceAmounts(8, 64_000, 262_144)
HEAVY = ResourceAmounts(2, 26_000, 140_000)


def plan_round(steps, upstreams, units):
    return dispatch.plan_round(steps, upstreams, units, reclaim_s=RECLAIM_S)


def test_small_tasks_go_where_least_is_left(world):
    world.upstream("empty")
    world.upstream("used", free=HALF)
    plan = plan_round([world.step()], world.upstreams, [])
    assert [start.upstream for start in plan.starts] == ["used"]


def test_room_is_never_given_twice(world):
    world.upstream("a")
    steps = [world.step(f"j{i}", need=ResourceAmounts(3, 1, 1)) for i in range(4)]
    plan = plan_round(steps, world.upstreams, [])
    assert len(plan.starts) == 2
    assert world.upstreams[0].free.accelerators == 2


def test_gang_starts_whole_or_not_at_all(world):
    world.upstream("a", free=HALF)
    world.upstream("b", free=ZERO_AMOUNTS)
    gang = world.step(count=2, need=HALF, gang=True)
    assert plan_round([gang], world.upstreams, []).starts == []


def test_rack_sensitive_gang_gets_one_rack(world):
    world.upstream("a1", "ra", free=HALF)
    world.upstream("b1", "rb", free=HALF)
    world.upstream("b2", "rb", free=HALF)
    gang = world.step(count=2, need=HALF, gang=True, rack_sensitive=True)
    plan = plan_round([gang], world.upstreams, [])
    assert {start.upstream for start in plan.starts} == {"b1", "b2"}


def test_rack_sensitive_gang_spreads_after_waiting(world):
    for key, rack in (("a1", "ra"), ("b1", "rb"), ("a2", "ra"), ("b2", "rb")):
        world.upstream(key, rack, free=HALF if key.endswith("1") else ZERO_AMOUNTS)
    fields = {"count": 2, "need": HALF, "gang": True, "rack_sensitive": True}
    assert not plan_round([world.step(**fields)], world.upstreams, []).starts
    late = world.step(waited_s=11.0, **fields)
    assert len(plan_round([late], world.upstreams, []).starts) == 2


def test_step_waits_beside_its_data_then_goes_elsewhere(world):
    world.upstream("near", "r1", free=ZERO_AMOUNTS)
    world.upstream("far", "r2")
    assert not plan_round([world.step(data_rack="r1")], world.upstreams, []).starts
    late = world.step(data_rack="r1", waited_s=11.0)
    assert plan_round([late], world.upstreams, []).starts[0].upstream == "far"


def test_label_and_tasks_per_upstream_are_kept(world):
    world.upstream("a")
    world.upstream("b")
    assert not plan_round([world.step(label="x")], world.upstreams, []).starts
    step = world.step(count=5, max_per_upstream=2, label="a")
    placed = [
        start.upstream for start in plan_round([step], world.upstreams, []).starts
    ]
    assert sorted(placed) == ["a", "a", "b", "b"]


def test_guaranteed_job_stops_the_cheapest_work(world):
    world.upstream("a")
    world.upstream("b")
    world.running("dear", "a", cost=500.0)
    cheap = world.running("cheap", "b", cost=0.0)
    urgent = world.step(need=WHOLE, priority=0, within_guarantee=True)
    plan = plan_round([urgent], world.upstreams, world.units)
    assert [unit for unit, _why in plan.stops] == [cheap]


def test_stopping_room_is_kept_for_the_job_it_is_stopped_for(world):
    world.upstream("a", free=HALF, leaving=HALF)
    urgent = world.step(
        "urgent", need=ResourceAmounts(8, 1, 1), priority=0, within_guarantee=True
    )
    small = world.step("small", need=ResourceAmounts(1, 1, 1))
    plan = plan_round([small, urgent], world.upstreams, [])
    assert plan.starts == []
    assert plan.stops == []


def test_urgent_job_beyond_its_guarantee_stops_only_lower_priorities(world):
    world.upstream("a")
    world.running("same", "a", priority=0, cost=0.0)
    urgent = world.step(need=WHOLE, priority=0, slack_s=0.5)
    assert plan_round([urgent], world.upstreams, world.units).stops == []


def test_no_more_work_is_lost_than_the_urgent_job_has_to_do(world):
    world.upstream("a")
    world.running("dear", "a", cost=5000.0)
    urgent = world.step(need=WHOLE, priority=0, slack_s=0.5)
    assert plan_round([urgent], world.upstreams, world.units).stops == []


def test_late_job_throws_away_little_of_the_work_of_others(world):
    world.upstream("a")
    world.running("long", "a", cost=200.0)
    late = world.step(need=WHOLE, priority=1, slack_s=1.0)
    assert late.work == 640.0
    assert plan_round([late], world.upstreams, world.units).stops == []


def test_late_job_takes_the_room_of_work_that_has_just_begun(world):
    world.upstream("a")
    short = world.running("short", "a", cost=100.0)
    late = world.step(need=WHOLE, priority=1, slack_s=1.0)
    plan = plan_round([late], world.upstreams, world.units)
    assert [unit for unit, _why in plan.stops] == [short]


def test_job_with_time_left_waits_instead_of_stopping_others(world):
    world.upstream("a")
    world.running("cheap", "a", cost=1.0)
    relaxed = world.step(need=WHOLE, priority=1, slack_s=5.0)
    assert plan_round([relaxed], world.upstreams, world.units).stops == []


def test_guaranteed_rack_sensitive_gang_vacates_one_rack(world):
    for key in ("a1", "a2", "b1", "b2"):
        world.upstream(key, key[0])
        world.running(f"on-{key}", key, cost=1.0 if key == "a1" else 5.0)
    gang = world.step(
        count=2,
        need=WHOLE,
        priority=0,
        within_guarantee=True,
        gang=True,
        rack_sensitive=True,
    )
    plan = plan_round([gang], world.upstreams, world.units)
    stopped = sorted(unit.places[0] for unit, _why in plan.stops)
    assert stopped == ["a1", "a2"]


def test_urgent_priorities_come_first_when_room_is_short(world):
    world.upstream("a")
    low = world.step("low", need=WHOLE, priority=2)
    high = world.step("high", need=WHOLE, priority=0)
    plan = plan_round([low, high], world.upstreams, [])
    assert [start.step.job_id for start in plan.starts] == ["high"]


def test_late_jobs_come_after_those_that_can_still_meet_their_objective(world):
    world.upstream("a")
    late = world.step("late", need=WHOLE, slack_s=-3.0)
    timely = world.step("timely", need=WHOLE, slack_s=4.0)
    plan = plan_round([late, timely], world.upstreams, [])
    assert [start.step.job_id for start in plan.starts] == ["timely"]


def test_urgent_job_stops_work_that_saves_its_progress_at_once(world):
    world.upstream("a")
    saving = world.running("saving", "a", cost=0.0)
    urgent = world.step(need=WHOLE, priority=0, slack_s=5.0)
    plan = plan_round([urgent], world.upstreams, world.units)
    assert [unit for unit, _why in plan.stops] == [saving]


def test_guaranteed_job_waits_for_work_that_is_about_to_end(world):
    world.upstream("a")
    world.upstream("b")
    world.running("ending", "a", cost=900.0, left_s=0.8)
    cheaper = world.running("cheaper", "b", cost=100.0)
    fields = {"need": WHOLE, "priority": 0, "within_guarantee": True}
    first = world.step(**fields)
    assert plan_round([first], world.upstreams, world.units).stops == []
    late = world.step(waited_s=1.5, **fields)
    plan = plan_round([late], world.upstreams, world.units)
    assert [unit for unit, _why in plan.stops] == [cheaper]


def test_cheapest_work_is_stopped_whatever_its_priority(world):
    world.upstream("a")
    half = ResourceAmounts(4, 32_000, 100_000)
    world.running("dear", "a", need=half, priority=2, cost=500.0)
    cheap = world.running("cheap", "a", need=half, priority=1, cost=0.0)
    urgent = world.step(need=half, priority=0, within_guarantee=True)
    plan = plan_round([urgent], world.upstreams, world.units)
    assert [unit for unit, _why in plan.stops] == [cheap]


def test_work_that_would_be_lost_is_kept_together(world):
    world.upstream("saving", free=HALF)
    world.upstream("dear", free=HALF, holds_dear_work=True)
    steps = [world.step("d"), world.step("s", checkpoints=True)]
    plan = plan_round(steps, world.upstreams, [])
    placed = {start.step.job_id: start.upstream for start in plan.starts}
    assert placed == {"d": "dear", "s": "saving"}


def test_job_waits_rather_than_going_back_where_it_failed(world):
    world.upstream("grey")
    world.upstream("full", free=ZERO_AMOUNTS)
    step = world.step(need=WHOLE)
    step.shun = frozenset({"grey"})
    assert plan_round([step], world.upstreams, []).starts == []


def test_job_goes_back_where_nothing_else_could_ever_run_it(world):
    world.upstream("only")
    step = world.step(need=WHOLE)
    step.shun = frozenset({"only"})
    assert len(plan_round([step], world.upstreams, []).starts) == 1


def test_last_attempt_spares_suspected_upstreams(world):
    world.upstream("suspected", penalty=1)
    world.upstream("full", free=ZERO_AMOUNTS)
    step = world.step(need=WHOLE)
    step.is_last = True
    assert plan_round([step], world.upstreams, []).starts == []


def test_job_that_failed_once_goes_back_only_where_nothing_else_has_room(world):
    world.upstream("failed", free=HALF)
    world.upstream("other")
    step = world.step()
    step.avoid = frozenset({"failed"})
    plan = plan_round([step], world.upstreams, [])
    assert [start.upstream for start in plan.starts] == ["other"]


def test_urgent_tasks_get_room_one_by_one_where_all_would_cost_too_much(world):
    for key in ("a", "b"):
        world.upstream(key)
    cheap = world.running("cheap", "a", cost=50.0)
    world.running("dear", "b", cost=5000.0)
    urgent = world.step(count=2, need=WHOLE, priority=0, slack_s=2.0)
    plan = plan_round([urgent], world.upstreams, world.units)
    assert [unit for unit, _why in plan.stops] == [cheap]


def test_urgent_job_is_not_given_up_for_an_estimate_that_may_be_short(world):
    world.upstream("a")
    cheap = world.running("cheap", "a", cost=50.0)
    urgent = world.step(need=WHOLE, priority=0, slack_s=-1.0)
    plan = plan_round([urgent], world.upstreams, world.units)
    assert [unit for unit, _why in plan.stops] == [cheap]


def test_burst_of_urgent_jobs_finds_room_among_long_work_begun_before_it(world):
    """Replays the start of a calm day: long work everywhere, then a wide urgent job."""
    for number in range(4):
        world.upstream(f"u{number}", f"r{number // 3}")
        world.running(f"long-{number}", f"u{number}", priority=1, cost=400.0)
    urgent = world.step(count=3, need=WHOLE, priority=0, slack_s=2.5)
    plan = plan_round([urgent], world.upstreams, world.units)
    assert len(plan.stops) == 3


def test_urgent_tasks_go_to_the_fastest_upstreams(world):
    world.upstream("slow", free=HALF, speed=0.8)
    world.upstream("fast", speed=1.25)
    other = world.step("other", priority=1, checkpoints=True)
    steps = [other, world.step("urgent", priority=0)]
    plan = plan_round(steps, world.upstreams, [])
    placed = {start.step.job_id: start.upstream for start in plan.starts}
    assert placed == {"other": "slow", "urgent": "fast"}


def test_wide_long_step_leaves_upstreams_clear_for_urgent_jobs(world):
    """Replays the start of a calm day: eight long tasks, each filling an upstream."""
    for number in range(10):
        world.upstream(f"u{number}", f"r{number // 3}")
    wide = world.step("wide", count=9, need=HEAVY, slack_s=20.0)
    assert len(plan_round([wide], world.upstreams, []).starts) == 7
    urgent = world.step("urgent", count=3, need=WHOLE, priority=0, slack_s=2.5)
    plan = plan_round([urgent], world.upstreams, [])
    assert len(plan.starts) == 3
    assert plan.stops == []


def test_long_step_takes_all_upstreams_where_it_has_no_time_left(world):
    for number in range(10):
        world.upstream(f"u{number}")
    wide = world.step("wide", count=10, need=HEAVY, slack_s=1.0)
    assert len(plan_round([wide], world.upstreams, []).starts) == 10


def test_work_that_saves_its_progress_takes_all_upstreams(world):
    for number in range(10):
        world.upstream(f"u{number}")
    wide = world.step("wide", count=10, need=HEAVY, slack_s=20.0, checkpoints=True)
    assert len(plan_round([wide], world.upstreams, []).starts) == 10


def test_filling_tasks_stay_away_from_serving_ones(world):
    world.upstream("serving", serves=True)
    world.upstream("free")
    fill = world.step(count=20, fills=True)
    plan = plan_round([fill], world.upstreams, [])
    assert {start.upstream for start in plan.starts} == {"free"}


def test_serving_tasks_stay_away_from_filling_ones(world):
    world.upstream("filled", fills=True)
    world.upstream("free", free=HALF)
    serving = world.step(target_ms=200, long_running=True)
    plan = plan_round([serving], world.upstreams, [])
    assert [start.upstream for start in plan.starts] == ["free"]


def test_filling_and_serving_tasks_of_one_round_do_not_come_together(world):
    world.upstream("only")
    steps = [
        world.step("serving", target_ms=200, priority=0, long_running=True),
        world.step("fill", fills=True),
    ]
    plan = plan_round(steps, world.upstreams, [])
    assert [start.step.job_id for start in plan.starts] == ["serving"]
