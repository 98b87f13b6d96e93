from __future__ import annotations

from hyssoprill.coordination.planner.speeds import MAX_RATIO, SpeedEstimates


def test_speed_is_average_without_runs():
    assert SpeedEstimates().relative_speed("a") == 1.0


def test_speed_follows_the_ratio_of_estimate_to_run_time():
    speeds = SpeedEstimates()
    for _ in range(20):
        speeds.record_run("fast", 8.0, 8.0)
        speeds.record_run("slow", 8.0, 12.0)
    assert speeds.relative_speed("fast") > 1.1 > 0.9 > speeds.relative_speed("slow")


def test_estimates_that_are_all_too_long_make_no_upstream_fast():
    speeds = SpeedEstimates()
    for name in ("a", "b"):
        speeds.record_run(name, 20.0, 10.0)
    assert speeds.relative_speed("a") == speeds.relative_speed("b") == 1.0


def test_one_run_far_from_its_estimate_has_little_weight():
    speeds = SpeedEstimates()
    speeds.record_run("a", 1.0, 1000.0)
    speeds.record_run("b", 1.0, 1.0)
    assert speeds.relative_speed("a") > 1 / MAX_RATIO


def test_removed_upstreams_are_dropped():
    speeds = SpeedEstimates()
    speeds.record_run("a", 1.0, 4.0)
    speeds.record_run("b", 1.0, 1.0)
    speeds.retain({"b"})
    assert speeds.relative_speed("a") == 1.0
