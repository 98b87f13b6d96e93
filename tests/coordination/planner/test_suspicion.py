from __future__ import annotations

from hyssoprill.coordination.planner.suspicion import (
    EXCLUDE_MARKS,
    SPARE_S,
    Suspicion,
)
from hyssoprill.state.job_table import StepKey


def test_failures_of_one_job_on_one_upstream_exclude_it():
    suspicion = Suspicion()
    for run in range(EXCLUDE_MARKS):
        suspicion.failed("grey", "job", run, 1.0)
    assert suspicion.marks("grey", 1.0) >= EXCLUDE_MARKS


def test_job_that_fails_everywhere_speaks_against_no_upstream():
    suspicion = Suspicion()
    suspicion.failed("a", "poison", 1, 1.0)
    suspicion.failed("a", "poison", 2, 1.0)
    suspicion.failed("b", "poison", 3, 1.5)
    assert suspicion.marks("a", 2.0) == suspicion.marks("b", 2.0) == 0


def test_upstreams_that_fail_runs_at_once_stay_excluded_when_a_job_met_two():
    suspicion = Suspicion()
    suspicion.failed("a", "job", 1, 1.0, at_once=True)
    suspicion.failed("b", "job", 2, 1.5, at_once=True)
    assert suspicion.marks("a", 2.0) >= EXCLUDE_MARKS
    assert suspicion.marks("b", 2.0) >= EXCLUDE_MARKS


def test_job_that_fails_at_once_everywhere_speaks_against_no_upstream():
    suspicion = Suspicion()
    for run, upstream in enumerate("abc", start=1):
        suspicion.failed(upstream, "poison", run, 1.0, at_once=True)
    assert not any(suspicion.marks(one, 2.0) for one in "abc")


def test_tasks_that_fail_together_count_once():
    suspicion = Suspicion()
    for _ in range(3):
        suspicion.failed("a", "gang", 1, 1.0)
    assert suspicion.marks("a", 1.0) == 1


def test_success_clears_an_upstream():
    suspicion = Suspicion()
    suspicion.failed("a", "job", 1, 1.0)
    suspicion.succeeded("a", 1.1)
    assert suspicion.marks("a", 1.2) == 0


def test_success_of_a_run_that_began_before_the_failure_clears_nothing():
    suspicion = Suspicion()
    suspicion.failed("a", "job", 1, 1.0, at_once=True)
    suspicion.succeeded("a", 0.5)
    assert suspicion.marks("a", 1.2) >= EXCLUDE_MARKS


def test_failures_count_for_a_while_only():
    suspicion = Suspicion()
    suspicion.failed("a", "job", 1, 1.0)
    assert suspicion.marks("a", 1.1) == 1
    assert suspicion.marks("a", 1.1 + SPARE_S) == 0


def test_upstream_is_told_apart_by_how_often_a_job_failed_there():
    suspicion = Suspicion()
    suspicion.failed("a", "job", 1, 1.0)
    assert suspicion.failed_on("job") == {"a"}
    assert suspicion.failed_on("job", least=2) == frozenset()
    suspicion.failed("a", "job", 2, 1.1)
    assert suspicion.failed_on("job", least=2) == {"a"}


def test_upstream_that_fails_a_run_at_once_is_excluded():
    suspicion = Suspicion()
    suspicion.failed("a", "job", 1, 1.0, at_once=True)
    assert suspicion.marks("a", 1.0) >= EXCLUDE_MARKS
    assert suspicion.failed_on("job", least=2) == {"a"}


def test_refused_step_waits_longer_each_time():
    suspicion = Suspicion()
    step = StepKey("job", 0, 0)
    suspicion.refused(step, 0.0)
    assert suspicion.has_to_wait(step, 0.05)
    assert not suspicion.has_to_wait(step, 0.15)
    for _ in range(3):
        suspicion.refused(step, 1.0)
    assert suspicion.has_to_wait(step, 1.5)


def test_jobs_that_are_over_are_forgotten():
    suspicion = Suspicion()
    suspicion.failed("a", "job", 1, 1.0)
    suspicion.keep_only(set(), 1.5)
    assert suspicion.failed_on("job") == frozenset()
    assert suspicion.marks("a", 1.5) == 1
