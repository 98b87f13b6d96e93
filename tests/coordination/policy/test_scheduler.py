"""Tests of the scheduler's decisions."""

from __future__ import annotations

import msgspec

from hyssoprill.coordination.policy.decisions import Revoke, Start
from hyssoprill.protocol.bundle import Bundle, Guarantee, Limits, ZonePolicy
from hyssoprill.protocol.shape import Shape

GANG = Shape(members=2, accelerators=8, adjacent="rack")
ONE_RACK = {"zone-a": {"rack-1": 2}}
TWO_ZONES = {"zone-a": {"rack-1": 2}, "zone-b": {"rack-1": 2}}


def starts(decisions: list) -> list[str]:
    return [one.job_id for one in decisions if isinstance(one, Start)]


def revoked(decisions: list) -> list[str]:
    return [one.job_id for one in decisions if isinstance(one, Revoke)]


def fill(scheduler, make_job, count: int, **more) -> None:
    for number in range(count):
        scheduler.submit(make_job(f"fill-{number}", "crews", **more), 0.0)
    scheduler.step(0.0)


def test_guarantee_is_reclaimed_when_pool_is_full(make_scheduler, make_job) -> None:
    scheduler = make_scheduler(ONE_RACK, Guarantee("owner", GANG))
    fill(scheduler, make_job, 16, accelerators=1)
    assert len(scheduler.state.running) == 16
    scheduler.submit(
        make_job("gang", "owner", members=2, accelerators=8, adjacent="rack"), 1.0
    )
    victims = revoked(scheduler.step(1.0))
    assert len(victims) == 16
    for victim in victims[:-1]:
        scheduler.job_ended(victim)
    assert starts(scheduler.step(2.0)) == []
    scheduler.job_ended(victims[-1])
    assert starts(scheduler.step(2.1)) == ["gang"]


def test_reclaim_picks_the_place_that_loses_least_work(
    make_scheduler, make_job
) -> None:
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
    assert revoked(scheduler.step(400.0)) == ["old-3"]


def test_job_that_may_not_be_repeated_waits_when_guarantee_needs_the_room(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler(ONE_RACK, Guarantee("owner", GANG))
    scheduler.submit(make_job("order", accelerators=1, idempotent=False), 0.0)
    scheduler.submit(make_job("score", accelerators=1), 0.0)
    assert starts(scheduler.step(0.0)) == ["score"]
    assert scheduler.explain("order")[0] == "no_safe_room"


def test_scattered_rooms_do_not_count_as_a_gangs_place(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler(TWO_ZONES)
    fill(scheduler, make_job, 2, members=1, accelerators=8, adjacent="upstream")
    fill_places = [job.place for job in scheduler.state.running.values()]
    assert len({place[0][0].split(".")[0] for place in fill_places}) == 1
    scheduler.submit(make_job("gang", members=2, accelerators=8, adjacent="rack"), 1.0)
    assert starts(scheduler.step(1.0)) == ["gang"]


def test_no_start_in_zone_when_it_is_out(make_scheduler, make_job) -> None:
    scheduler = make_scheduler(TWO_ZONES)
    fill(scheduler, make_job, 4, accelerators=8)
    out = ZonePolicy("zone-a", "out", grace_s=2.0)
    bundle = Bundle(2, 1, availability_zones=[out])
    scheduler.apply_bundle(bundle, 1.0)
    stopped = revoked(scheduler.step(1.0))
    assert len(stopped) == 2
    for job_id in stopped:
        spec = scheduler.job_ended(job_id).spec
        scheduler.submit(msgspec.structs.replace(spec), 1.0)
    assert starts(scheduler.step(1.5)) == []
    back = Bundle(3, 2)
    scheduler.apply_bundle(back, 5.0)
    scheduler.step(5.0)
    scheduler.step(6.0)
    scheduler.step(7.0)
    assert len(scheduler.state.running) == 4


def test_gangs_are_stopped_in_the_order_of_the_procedure(
    make_scheduler, make_job
) -> None:
    for order, expected in (("first", "gang"), ("last", "single")):
        scheduler = make_scheduler(ONE_RACK)
        scheduler.submit(make_job("gang", members=2, accelerators=2), 0.0)
        scheduler.submit(make_job("single", accelerators=1), 0.0)
        scheduler.step(0.0)
        out = ZonePolicy("zone-a", "out", grace_s=4.0, gangs=order)
        scheduler.apply_bundle(Bundle(2, 1, availability_zones=[out]), 1.0)
        assert revoked(scheduler.step(1.0)) == [expected]
        assert len(revoked(scheduler.step(3.1))) == 1


def test_zone_returns_gradually(make_scheduler, make_job) -> None:
    scheduler = make_scheduler(ONE_RACK)
    out = ZonePolicy("zone-a", "out")
    scheduler.apply_bundle(Bundle(2, 1, availability_zones=[out]), 0.0)
    for number in range(16):
        scheduler.submit(make_job(f"job-{number}", accelerators=1), 0.0)
    assert starts(scheduler.step(1.0)) == []
    back = ZonePolicy("zone-a", "in", returns_per_s=2.0)
    scheduler.apply_bundle(Bundle(3, 2, availability_zones=[back]), 10.0)
    started = [len(starts(scheduler.step(10.0 + 0.5 * n))) for n in range(5)]
    assert sum(started) <= 6
    assert sum(started) >= 4


def test_large_job_runs_when_small_ones_keep_coming(make_scheduler, make_job) -> None:
    scheduler = make_scheduler(ONE_RACK)
    limits = Limits(preempt_after_s=10.0)
    scheduler.apply_bundle(Bundle(2, 1, limits=limits), 0.0)
    fill(scheduler, make_job, 16, accelerators=1, declared_s=5.0)
    large = make_job("large", members=2, accelerators=8, adjacent="rack")
    scheduler.submit(large, 0.0)
    started_s = None
    for second in range(1, 60):
        for job_id, job in list(scheduler.state.running.items()):
            if second - job.started_s >= 5 or job.stopping:
                scheduler.job_ended(job_id)
                number = f"{job_id}-{second}"
                scheduler.submit(make_job(number, accelerators=1), float(second))
        if "large" in starts(scheduler.step(float(second))):
            started_s = second
            break
    assert started_s is not None
    assert started_s <= 25


def test_upstream_gets_no_work_when_it_fails_everything(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler({"zone-a": {"rack-1": 2}})
    for number, kind in enumerate(("letters", "quotes", "pairs")):
        spec = make_job(f"job-{number}", kind=kind)
        scheduler.record_failure("zone-a.rack-1.0", spec, 0.1, 0.0)
    scheduler.submit(make_job("next"), 1.0)
    decisions = scheduler.step(1.0)
    assert decisions[0].place == (("zone-a.rack-1.1", 1),)


def test_upstream_stays_open_when_one_kind_fails_everywhere(
    make_scheduler, make_job
) -> None:
    scheduler = make_scheduler({"zone-a": {"rack-1": 4}})
    for number in range(4):
        for _ in range(3):
            spec = make_job(f"job-{number}", kind="broken")
            upstream = f"zone-a.rack-1.{number}"
            scheduler.record_failure(upstream, spec, 0.1, 0.0)
    open_ones = [
        one for one in scheduler.state.pool.upstreams.values() if one.schedulable
    ]
    assert len(open_ones) >= 3


def test_cell_holds_whole_shape_when_its_small_job_is_adopted(
    make_scheduler, make_job
) -> None:
    """A cell shrank to the place of a small job that a new coordinator found."""
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
    assert starts(scheduler.step(1.0)) == ["gang"]


def test_guarantee_is_reclaimed_elsewhere_when_its_place_goes_silent(
    make_scheduler, make_job
) -> None:
    """The cell kept its closed place after the pending start was given up."""
    scheduler = make_scheduler(TWO_ZONES, Guarantee("owner", GANG))
    fill(scheduler, make_job, 4, accelerators=8, adjacent="upstream")
    scheduler.submit(
        make_job("gang", "owner", members=2, accelerators=8, adjacent="rack"), 1.0
    )
    first = revoked(scheduler.step(1.0))
    frozen = scheduler.state.running[first[0]].place[0][0]
    scheduler.close(frozen, "silent")
    second = revoked(scheduler.step(2.0))
    assert len(second) == 2
    assert not set(second) & set(first)


def test_guarantee_is_reclaimed_when_its_only_place_is_vacated_late(
    make_scheduler, make_job
) -> None:
    """The place stayed excluded after the victim had missed its grace."""
    shape = Shape(members=1, accelerators=8, adjacent="upstream")
    scheduler = make_scheduler({"zone-a": {"rack-1": 1}}, Guarantee("owner", shape))
    fill(scheduler, make_job, 1, accelerators=8)
    scheduler.submit(
        make_job("mine", "owner", accelerators=8, adjacent="upstream"), 1.0
    )
    assert revoked(scheduler.step(1.0)) == ["fill-0"]
    scheduler.step(9.0)
    scheduler.job_ended("fill-0")
    assert starts(scheduler.step(9.5)) == ["mine"]


def test_cell_holds_all_its_jobs_when_a_new_coordinator_finds_them(
    make_scheduler, make_job
) -> None:
    """The first job found drew the cell away from the second (seed 8)."""
    shape = Shape(members=2, accelerators=2, adjacent="rack")
    scheduler = make_scheduler(ONE_RACK, Guarantee("owner", shape))
    cell = scheduler.state.cells.of_workspace("owner")[0]
    place = (("zone-a.rack-1.1", 1),)
    for number in range(2):
        job = make_job(f"order-{number}", "owner", accelerators=1, idempotent=False)
        scheduler.adopt(job, place, cell.id, 0.0)
    upstream = scheduler.state.pool.upstreams["zone-a.rack-1.1"]
    assert upstream.claimed.slots >= upstream.used.slots == 2


def test_each_waiting_job_has_its_reason(make_scheduler, make_job) -> None:
    """Jobs of a shape that was found not to fit were left without a reason."""
    scheduler = make_scheduler(TWO_ZONES)
    out = ZonePolicy("zone-b", "out")
    fill(scheduler, make_job, 5, accelerators=8)
    assert scheduler.explain("fill-4")[0] == "no_room"
    scheduler.submit(make_job("same", accelerators=8), 1.0)
    scheduler.step(1.0)
    assert scheduler.explain("same")[0] == "no_room"
    scheduler.apply_bundle(Bundle(2, 1, availability_zones=[out]), 2.0)
    scheduler.step(2.0)
    code, reason = scheduler.explain("same")
    assert code == "no_room_in_open_zones"
    assert "zone-b" in reason
