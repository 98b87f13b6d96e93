"""Tests of the scheduler's decisions."""

from __future__ import annotations

import msgspec

from hyssoprill.coordination.policy.decisions import Revoke, Start
from hyssoprill.protocol.bundle import Bundle, Guarantee, Limits, ZonePolicy
from hyssoprill.protocol.shape import Shape

GANG = Shape(members=2, accelerators=8, adjacent="rack")
ONE_RACK = {"zone-a": {"rack-1": 2}}
TWO_ZONES = {"zone-a": {"rack-1": 2}, "zone-b": {"rack-1": 2}}


def started_jobs(decisions: list) -> list[str]:
    return [one.job_id for one in decisions if isinstance(one, Start)]


def revoked_jobs(decisions: list) -> list[str]:
    return [one.job_id for one in decisions if isinstance(one, Revoke)]


def start_fill_jobs(scheduler, make_job, count: int, **fields) -> None:
    for number in range(count):
        scheduler.submit(make_job(f"fill-{number}", "crews", **fields), 0.0)
    scheduler.step(0.0)


def test_guarantee_is_reclaimed_when_pool_is_full(make_scheduler, make_job) -> None:
    scheduler = make_scheduler(ONE_RACK, Guarantee("owner", GANG))
    start_fill_jobs(scheduler, make_job, 16, accelerators=1)
    assert len(scheduler.state.running) == 16
    scheduler.submit(
        make_job("gang", "owner", members=2, accelerators=8, adjacent="rack"), 1.0
    )
    victims = revoked_jobs(scheduler.step(1.0))
    assert len(victims) == 16
    for victim in victims[:-1]:
        scheduler.job_ended(victim)
    assert started_jobs(scheduler.step(2.0)) == []
    scheduler.job_ended(victims[-1])
    assert started_jobs(scheduler.step(2.1)) == ["gang"]


def test_reclaim_stops_the_job_that_loses_least_work(make_scheduler, make_job) -> None:
    limits = Limits(reclaim_grace_s=0.0)
    scheduler = make_scheduler(TWO_ZONES)
    shape = Shape(members=1, accelerators=8, adjacent="upstream")
    for number in range(4):
        scheduler.submit(make_job(f"old-{number}", accelerators=8), 0.0)
        scheduler.step(100.0 * number)
    bundle = Bundle(2, 1, guarantees=[Guarantee("owner", shape)], limits=limits)
    scheduler.apply_bundle(bundle, 400.0)
    scheduler.submit(
        make_job("gang", "owner", accelerators=8, adjacent="upstream"), 400.0
    )
    assert revoked_jobs(scheduler.step(400.0)) == ["old-3"]


def test_non_idempotent_job_waits_when_guarantees_claim_all_capacity(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler(ONE_RACK, Guarantee("owner", GANG))
    scheduler.submit(make_job("order", accelerators=1, idempotent=False), 0.0)
    scheduler.submit(make_job("score", accelerators=1), 0.0)
    assert started_jobs(scheduler.step(0.0)) == ["score"]
    assert scheduler.explain("order")[0] == "no_safe_room"


def test_gang_starts_in_one_rack_when_large_jobs_are_packed_into_another(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler(TWO_ZONES)
    start_fill_jobs(
        scheduler, make_job, 2, members=1, accelerators=8, adjacent="upstream"
    )
    fill_places = [job.place for job in scheduler.state.running.values()]
    assert len({place[0][0].split(".")[0] for place in fill_places}) == 1
    scheduler.submit(make_job("gang", members=2, accelerators=8, adjacent="rack"), 1.0)
    assert started_jobs(scheduler.step(1.0)) == ["gang"]


def test_jobs_restart_only_when_their_drained_zone_returns(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler(TWO_ZONES)
    start_fill_jobs(scheduler, make_job, 4, accelerators=8)
    out = ZonePolicy("zone-a", "out", grace_s=2.0)
    bundle = Bundle(2, 1, availability_zones=[out])
    scheduler.apply_bundle(bundle, 1.0)
    stopped = revoked_jobs(scheduler.step(1.0))
    assert len(stopped) == 2
    for job_id in stopped:
        spec = scheduler.job_ended(job_id).spec
        scheduler.submit(msgspec.structs.replace(spec), 1.0)
    assert started_jobs(scheduler.step(1.5)) == []
    back = Bundle(3, 2)
    scheduler.apply_bundle(back, 5.0)
    scheduler.step(5.0)
    scheduler.step(6.0)
    scheduler.step(7.0)
    assert len(scheduler.state.running) == 4


def test_gangs_are_stopped_first_or_last_as_the_zone_policy_says(
    make_scheduler, make_job
) -> None:
    for order, expected in (("first", "gang"), ("last", "single")):
        scheduler = make_scheduler(ONE_RACK)
        scheduler.submit(make_job("gang", members=2, accelerators=2), 0.0)
        scheduler.submit(make_job("single", accelerators=1), 0.0)
        scheduler.step(0.0)
        out = ZonePolicy("zone-a", "out", grace_s=4.0, gangs=order)
        scheduler.apply_bundle(Bundle(2, 1, availability_zones=[out]), 1.0)
        assert revoked_jobs(scheduler.step(1.0)) == [expected]
        assert len(revoked_jobs(scheduler.step(3.1))) == 1


def test_starts_are_rate_limited_in_a_returning_zone(make_scheduler, make_job) -> None:
    scheduler = make_scheduler(ONE_RACK)
    out = ZonePolicy("zone-a", "out")
    scheduler.apply_bundle(Bundle(2, 1, availability_zones=[out]), 0.0)
    for number in range(16):
        scheduler.submit(make_job(f"job-{number}", accelerators=1), 0.0)
    assert started_jobs(scheduler.step(1.0)) == []
    back = ZonePolicy("zone-a", "in", returns_per_s=2.0)
    scheduler.apply_bundle(Bundle(3, 2, availability_zones=[back]), 10.0)
    started = [len(started_jobs(scheduler.step(10.0 + 0.5 * n))) for n in range(5)]
    assert sum(started) <= 6
    assert sum(started) >= 4


def test_large_job_starts_when_small_ones_keep_arriving(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler(ONE_RACK)
    limits = Limits(preempt_after_s=10.0)
    scheduler.apply_bundle(Bundle(2, 1, limits=limits), 0.0)
    start_fill_jobs(scheduler, make_job, 16, accelerators=1, declared_s=5.0)
    large = make_job("large", members=2, accelerators=8, adjacent="rack")
    scheduler.submit(large, 0.0)
    started_s = None
    for second in range(1, 60):
        for job_id, job in list(scheduler.state.running.items()):
            if second - job.started_s >= 5 or job.stopping:
                scheduler.job_ended(job_id)
                number = f"{job_id}-{second}"
                scheduler.submit(make_job(number, accelerators=1), float(second))
        if "large" in started_jobs(scheduler.step(float(second))):
            started_s = second
            break
    assert started_s is not None
    assert started_s <= 25


def test_upstream_gets_no_jobs_when_all_kinds_fail_on_it(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler({"zone-a": {"rack-1": 2}})
    for number, kind in enumerate(("letters", "quotes", "pairs")):
        spec = make_job(f"job-{number}", kind=kind)
        scheduler.record_failure("zone-a.rack-1.0", spec, 0.1, 0.0)
    scheduler.submit(make_job("next"), 1.0)
    decisions = scheduler.step(1.0)
    assert decisions[0].place == (("zone-a.rack-1.1", 1),)


def test_upstreams_stay_open_when_one_kind_fails_everywhere(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler({"zone-a": {"rack-1": 4}})
    for number in range(4):
        for _ in range(3):
            spec = make_job(f"job-{number}", kind="broken")
            upstream = f"zone-a.rack-1.{number}"
            scheduler.record_failure(upstream, spec, 0.1, 0.0)
    schedulable = [
        one for one in scheduler.state.pool.upstreams.values() if one.schedulable
    ]
    assert len(schedulable) >= 3


def test_cell_keeps_its_whole_shape_when_a_smaller_job_is_adopted(
    make_scheduler, make_job
) -> None:
    """Guards against a cell that shrinks to the place of an adopted smaller job.

    A new coordinator adopts the jobs that it finds running.
    """
    scheduler = make_scheduler(ONE_RACK, Guarantee("owner", GANG))
    cell = scheduler.state.cells.of_workspace("owner")[0]
    small = make_job("small", "owner", accelerators=1)
    scheduler.adopt(small, (("zone-a.rack-1.0", 1),), cell.id, 0.0)
    scheduler.step(0.0)
    assert sum(members for _, members in cell.place) == GANG.members
    scheduler.job_ended("small")
    scheduler.submit(
        make_job("gang", "owner", members=2, accelerators=8, adjacent="rack"), 1.0
    )
    assert started_jobs(scheduler.step(1.0)) == ["gang"]


def test_guarantee_is_reclaimed_elsewhere_when_its_place_is_closed(
    make_scheduler, make_job
) -> None:
    """Guards against a cell that keeps a closed place.

    The place closes, as one upstream is silent, while a start is pending there; the
    pending start is cancelled, and the cell has to move.
    """
    scheduler = make_scheduler(TWO_ZONES, Guarantee("owner", GANG))
    start_fill_jobs(scheduler, make_job, 4, accelerators=8, adjacent="upstream")
    scheduler.submit(
        make_job("gang", "owner", members=2, accelerators=8, adjacent="rack"), 1.0
    )
    first = revoked_jobs(scheduler.step(1.0))
    silent = scheduler.state.running[first[0]].place[0][0]
    scheduler.close(silent, "silent")
    second = revoked_jobs(scheduler.step(2.0))
    assert len(second) == 2
    assert not set(second) & set(first)


def test_guarantee_is_reclaimed_when_its_only_place_is_vacated_late(
    make_scheduler, make_job
) -> None:
    """Guards against a place that stays excluded once its victim stopped too late."""
    shape = Shape(members=1, accelerators=8, adjacent="upstream")
    scheduler = make_scheduler({"zone-a": {"rack-1": 1}}, Guarantee("owner", shape))
    start_fill_jobs(scheduler, make_job, 1, accelerators=8)
    scheduler.submit(
        make_job("mine", "owner", accelerators=8, adjacent="upstream"), 1.0
    )
    assert revoked_jobs(scheduler.step(1.0)) == ["fill-0"]
    scheduler.step(9.0)
    scheduler.job_ended("fill-0")
    assert started_jobs(scheduler.step(9.5)) == ["mine"]


def test_cell_covers_all_adopted_jobs_when_the_coordinator_changes(
    make_scheduler, make_job
) -> None:
    """Guards against a cell that covers only one of two adopted jobs.

    Adopting the first job moved the cell away from the second (found with seed 8).
    """
    shape = Shape(members=2, accelerators=2, adjacent="rack")
    scheduler = make_scheduler(ONE_RACK, Guarantee("owner", shape))
    cell = scheduler.state.cells.of_workspace("owner")[0]
    place = (("zone-a.rack-1.1", 1),)
    for number in range(2):
        job = make_job(f"order-{number}", "owner", accelerators=1, idempotent=False)
        scheduler.adopt(job, place, cell.id, 0.0)
    upstream = scheduler.state.pool.upstreams["zone-a.rack-1.1"]
    assert upstream.claimed.slots >= upstream.used.slots == 2


def test_each_waiting_job_has_a_reason(make_scheduler, make_job) -> None:
    """Guards against waiting jobs without a reason.

    A shape that found no place is not tried again until the pool changes, so the other
    jobs of that shape were left without a reason.
    """
    scheduler = make_scheduler(TWO_ZONES)
    out = ZonePolicy("zone-b", "out")
    start_fill_jobs(scheduler, make_job, 5, accelerators=8)
    assert scheduler.explain("fill-4")[0] == "no_room"
    scheduler.submit(make_job("same", accelerators=8), 1.0)
    scheduler.step(1.0)
    assert scheduler.explain("same")[0] == "no_room"
    scheduler.apply_bundle(Bundle(2, 1, availability_zones=[out]), 2.0)
    scheduler.step(2.0)
    code, reason = scheduler.explain("same")
    assert code == "no_room_in_open_zones"
    assert "zone-b" in reason
