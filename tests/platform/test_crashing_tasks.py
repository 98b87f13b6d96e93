from __future__ import annotations

from tests.platform.test_job_path import all_starts, job_id, wait_state

SMALL = {"gpu": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 1000}


def crashes(jobs) -> list[str]:
    """Return the tasks under which a worker has crashed."""
    lines = [line for vm in jobs.workers for line in jobs.log_lines(f"worker of {vm}")]
    return [line["crashed_under"] for line in lines if "crashed_under" in line]


def test_task_that_crashes_each_upstream_is_given_up_and_others_are_not(jobs):
    """BUDGET: such a task was started again and again, without an end."""
    assert jobs.submit("entry-1", job_id(1), {**SMALL, "count": 6}, work_s=4.0) == 200
    jobs.wait_until(lambda: len(all_starts(jobs)) == 6)
    assert jobs.submit("entry-1", job_id(2), SMALL, crashers=[0]) == 200
    wait_state(jobs, "entry-2", job_id(2), "failed", 30.0)
    assert crashes(jobs) == [f"{job_id(2)}.0.0.0"] * 2
    wait_state(jobs, "entry-2", job_id(1), "completed", 30.0)
