from __future__ import annotations

from hyssoprill.coordination.planner.speeds import MAX_RATIO, Speeds


def test_speed_is_usual_where_nothing_was_done():
    assert Speeds().of("a") == 1.0


def test_upstreams_differ_by_how_long_they_take_against_estimates():
    speeds = Speeds()
    for _ in range(20):
        speeds.done("fast", 8.0, 8.0)
        speeds.done("slow", 8.0, 12.0)
    assert speeds.of("fast") > 1.1 > 0.9 > speeds.of("slow")


def test_estimates_that_are_all_too_long_make_nothing_fast():
    speeds = Speeds()
    for name in ("a", "b"):
        speeds.done(name, 20.0, 10.0)
    assert speeds.of("a") == speeds.of("b") == 1.0


def test_one_run_far_from_its_estimate_tells_little():
    speeds = Speeds()
    speeds.done("a", 1.0, 1000.0)
    speeds.done("b", 1.0, 1.0)
    assert speeds.of("a") > 1 / MAX_RATIO


def test_upstreams_that_are_gone_are_forgotten():
    speeds = Speeds()
    speeds.done("a", 1.0, 4.0)
    speeds.done("b", 1.0, 1.0)
    speeds.keep_only({"b"})
    assert speeds.of("a") == 1.0
