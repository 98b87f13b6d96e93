from __future__ import annotations

from hyssoprill.coordination.planner.failures import (
    EXCLUDE_AT_FAILURES,
    FAILURE_TTL_S,
    FailureTracker,
)
from hyssoprill.state.job_table import StepKey


def test_repeated_failures_of_one_job_exclude_an_upstream():
    failures = FailureTracker()
    for run in range(EXCLUDE_AT_FAILURES):
        failures.record_failure("failing", "job", run, 1.0)
    assert failures.recent_failures("failing", 1.0) >= EXCLUDE_AT_FAILURES


def test_job_that_fails_everywhere_counts_against_no_upstream():
    failures = FailureTracker()
    failures.record_failure("a", "poison", 1, 1.0)
    failures.record_failure("a", "poison", 2, 1.0)
    failures.record_failure("b", "poison", 3, 1.5)
    assert failures.recent_failures("a", 2.0) == failures.recent_failures("b", 2.0) == 0


def test_two_upstreams_with_immediate_failures_of_one_job_stay_excluded():
    failures = FailureTracker()
    failures.record_failure("a", "job", 1, 1.0, immediate=True)
    failures.record_failure("b", "job", 2, 1.5, immediate=True)
    assert failures.recent_failures("a", 2.0) >= EXCLUDE_AT_FAILURES
    assert failures.recent_failures("b", 2.0) >= EXCLUDE_AT_FAILURES


def test_job_that_fails_immediately_everywhere_counts_against_no_upstream():
    failures = FailureTracker()
    for run, upstream in enumerate("abc", start=1):
        failures.record_failure(upstream, "poison", run, 1.0, immediate=True)
    assert not any(failures.recent_failures(one, 2.0) for one in "abc")


def test_tasks_of_one_run_that_fail_count_once():
    failures = FailureTracker()
    for _ in range(3):
        failures.record_failure("a", "gang", 1, 1.0)
    assert failures.recent_failures("a", 1.0) == 1


def test_success_clears_earlier_failures():
    failures = FailureTracker()
    failures.record_failure("a", "job", 1, 1.0)
    failures.record_success("a", 1.1)
    assert failures.recent_failures("a", 1.2) == 0


def test_success_of_a_run_that_began_before_a_failure_does_not_clear_it():
    failures = FailureTracker()
    failures.record_failure("a", "job", 1, 1.0, immediate=True)
    failures.record_success("a", 0.5)
    assert failures.recent_failures("a", 1.2) >= EXCLUDE_AT_FAILURES


def test_failures_expire():
    failures = FailureTracker()
    failures.record_failure("a", "job", 1, 1.0)
    assert failures.recent_failures("a", 1.1) == 1
    assert failures.recent_failures("a", 1.1 + FAILURE_TTL_S) == 0


def test_failed_upstreams_are_filtered_by_number_of_failures():
    failures = FailureTracker()
    failures.record_failure("a", "job", 1, 1.0)
    assert failures.failed_upstreams("job") == {"a"}
    assert failures.failed_upstreams("job", at_least=2) == frozenset()
    failures.record_failure("a", "job", 2, 1.1)
    assert failures.failed_upstreams("job", at_least=2) == {"a"}


def test_immediate_failure_excludes_an_upstream():
    failures = FailureTracker()
    failures.record_failure("a", "job", 1, 1.0, immediate=True)
    assert failures.recent_failures("a", 1.0) >= EXCLUDE_AT_FAILURES
    assert failures.failed_upstreams("job", at_least=2) == {"a"}


def test_refused_step_backs_off_longer_each_time():
    failures = FailureTracker()
    step = StepKey("job", 0, 0)
    failures.record_refusal(step, 0.0)
    assert failures.is_backing_off(step, 0.05)
    assert not failures.is_backing_off(step, 0.15)
    for _ in range(3):
        failures.record_refusal(step, 1.0)
    assert failures.is_backing_off(step, 1.5)


def test_step_backs_off_briefly_again_once_its_refusals_are_forgotten():
    failures = FailureTracker()
    step = StepKey("job", 0, 0)
    for run in (3, 4, 2):
        failures.record_refusal(step, 0.0, run)
    assert failures.refused_steps == {step: 4}
    failures.forget_refusals(step)
    assert failures.refused_steps == {}
    failures.record_refusal(step, 1.0, 5)
    assert failures.is_backing_off(step, 1.05)
    assert not failures.is_backing_off(step, 1.15)


def test_finished_jobs_are_dropped():
    failures = FailureTracker()
    failures.record_failure("a", "job", 1, 1.0)
    failures.retain(set(), 1.5)
    assert failures.failed_upstreams("job") == frozenset()
    assert failures.recent_failures("a", 1.5) == 1
