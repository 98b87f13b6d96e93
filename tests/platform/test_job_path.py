from __future__ import annotations

import json
import signal
import time

import pytest
from standins.job_cluster import PREFIX, config, request


def job_id(number: int) -> str:
    return f"{number:016x}"


def all_starts(jobs) -> list[tuple[str, int]]:
    return [one for vm in jobs.workers for one in jobs.starts(vm)]


def wait_state(jobs, entry: str, job: str, state: str, timeout_s: float = 20.0) -> None:
    jobs.wait_until(lambda: jobs.state(entry, job) == state, timeout_s)


def test_job_is_served_from_end_to_end(jobs):
    step = {"count": 3, "gpu": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 200}
    assert jobs.submit("entry-1", job_id(1), step, {**step, "after": [0]}) == 200
    wait_state(jobs, "entry-2", job_id(1), "completed")
    assert len(all_starts(jobs)) == 6


def test_gang_runs_with_one_number_on_several_upstreams(jobs):
    step = {"count": 2, "gpu": 8, "gang": True}
    assert jobs.submit("entry-1", job_id(1), step, work_s=0.5) == 200
    wait_state(jobs, "entry-1", job_id(1), "completed")
    assert jobs.starts("vm-1")[0][1] == jobs.starts("vm-2")[0][1]


def test_repeat_of_an_id_is_one_job(jobs):
    for entry in ("entry-1", "entry-2", "entry-1"):
        assert jobs.submit(entry, job_id(1)) == 200
    wait_state(jobs, "entry-1", job_id(1), "completed")
    assert len(all_starts(jobs)) == 1


def test_cancelled_job_is_stopped_and_never_starts_again(jobs):
    assert jobs.submit("entry-1", job_id(1), work_s=60) == 200
    jobs.wait_until(lambda: all_starts(jobs))
    assert jobs.call("entry-2", "DELETE", PREFIX + job_id(1))[0] == 200
    assert jobs.state("entry-2", job_id(1)) == "cancelled"
    jobs.wait_until(
        lambda: not any(jobs.switch_worker(vm)["running"] for vm in jobs.workers), 3.0
    )
    time.sleep(0.5)
    assert len(all_starts(jobs)) == 1


def test_work_and_jobs_survive_when_all_processes_are_killed(jobs):
    for number in range(4):
        assert jobs.submit("entry-1", job_id(number), work_s=4.0) == 200
    jobs.wait_until(lambda: len(all_starts(jobs)) == 4)
    jobs.kill_and_restart("entry-1", "entry-2", "vm-1", "vm-2")
    jobs.wait_ready()
    for number in range(4):
        wait_state(jobs, "entry-2", job_id(number), "completed")
    assert len(all_starts(jobs)) == 4


def test_planner_killed_while_jobs_come_loses_and_doubles_none(jobs):
    for number in range(10):
        assert jobs.submit("entry-2", job_id(number), work_s=0.5) == 200
        if number == 3:
            jobs.kill_and_restart("entry-1")
    for number in range(10):
        wait_state(jobs, "entry-2", job_id(number), "completed")
    starts = all_starts(jobs)
    assert len(starts) == len(set(starts)) == 10


def test_start_without_an_answer_is_carried_out_once(jobs):
    for vm in jobs.workers:
        jobs.switch_worker(vm, late_s=1.5)
    assert jobs.submit("entry-1", job_id(1), work_s=0.3) == 200
    time.sleep(1.0)
    for vm in jobs.workers:
        jobs.switch_worker(vm, late_s=0)
    wait_state(jobs, "entry-1", job_id(1), "completed")
    time.sleep(1.5)
    assert len(all_starts(jobs)) == 1


def test_store_that_is_down_refuses_jobs_truthfully_and_at_once(jobs):
    jobs.switch_store(down=1)
    began = time.monotonic()
    assert jobs.submit("entry-1", job_id(1)) == 503
    assert time.monotonic() - began < 0.5
    jobs.switch_store(down=0)
    time.sleep(1.0)
    assert jobs.state("entry-1", job_id(1)) == "410"


def test_lost_answer_of_the_store_accepts_the_job_once(jobs):
    jobs.switch_store(lost_answers=1)
    assert jobs.submit("entry-1", job_id(1)) in (200, 504)
    assert jobs.submit("entry-1", job_id(1)) == 200
    wait_state(jobs, "entry-1", job_id(1), "completed")
    assert len(all_starts(jobs)) == 1


def test_work_survives_a_store_that_forgets_its_history(jobs):
    assert jobs.submit("entry-1", job_id(1), work_s=1.0) == 200
    jobs.switch_store(forget=["keyed.jobs", "keyed.op", "keyed.members"])
    assert jobs.submit("entry-2", job_id(2)) == 200
    for number in (1, 2):
        wait_state(jobs, "entry-1", job_id(number), "completed")


def test_draining_worker_gets_no_new_work(jobs):
    jobs.switch_worker("vm-1", draining=True)
    time.sleep(0.8)
    for number in range(6):
        assert jobs.submit("entry-1", job_id(number)) == 200
    for number in range(6):
        wait_state(jobs, "entry-1", job_id(number), "completed")
    assert jobs.starts("vm-1") == []


def test_removed_key_and_new_queue_are_in_force_within_a_second(jobs):
    changed = config(2)
    changed["tenants"][0]["api_keys"] = ["other-key"]
    changed["routes"].append({**changed["routes"][0], "path_prefix": "/new/"})
    jobs.put("config", changed)
    time.sleep(1.0)
    assert jobs.call("entry-1", "GET", PREFIX)[0] == 401
    status, body = jobs.call("entry-2", "GET", "/new/", key="other-key")
    assert (status, body) == (200, {"waiting": 0})


def test_keys_are_refused_when_the_store_was_not_read_for_long(jobs):
    jobs.switch_store(down=1)
    jobs.wait_until(lambda: jobs.call("entry-1", "GET", PREFIX)[0] == 503, 5.0)
    jobs.switch_store(down=0)
    jobs.wait_until(lambda: jobs.call("entry-1", "GET", PREFIX)[0] == 200, 5.0)


def test_stop_on_sigterm_answers_what_is_under_way_and_exits_with_0(jobs):
    jobs.signal("entry-1", signal.SIGTERM)
    time.sleep(0.2)
    assert jobs.submit("entry-1", job_id(1)) == 200
    assert jobs.wait_for_exit("entry-1") == 0
    wait_state(jobs, "entry-2", job_id(1), "completed")
    assert jobs.log_lines("entry-1")[-1]["event"] == "stopped"


@pytest.mark.parametrize(
    ("number", "step"), [(21, {"fills": True}), (22, {"target_ms": 200})]
)
def test_filling_and_serving_tasks_are_accepted_and_run(jobs, number, step):
    assert jobs.submit("entry-1", job_id(number), {"gpu": 1, **step}) == 200
    wait_state(jobs, "entry-1", job_id(number), "completed")


@pytest.mark.parametrize(
    ("method", "path", "raw", "key", "host", "expected"),
    [
        ("POST", PREFIX + job_id(9), b"not json", None, None, 400),
        ("POST", PREFIX + job_id(9), b"[]", None, None, 400),
        ("POST", PREFIX + job_id(9), b'{"spec":"x","steps":[]}', None, None, 400),
        ("POST", PREFIX + job_id(9), b'{"spec":1,"steps":[{}]}', None, None, 400),
        (
            "POST",
            PREFIX + job_id(9),
            b'{"spec":"","steps":[{"after":[0]}]}',
            None,
            None,
            400,
        ),
        ("POST", PREFIX + job_id(9), b'{"spec":"", "steps":[{}]}', "bad", None, 401),
        (
            "POST",
            PREFIX + job_id(9),
            b'{"spec":"","steps":[{"long_running":true,"may_miss":-1}]}',
            None,
            None,
            400,
        ),
        ("POST", PREFIX + job_id(9), b"{}", None, "other.example", 404),
        ("POST", "/elsewhere/" + job_id(9), b"{}", None, None, 404),
        ("GET", PREFIX + job_id(9), b"", None, None, 410),
        ("DELETE", PREFIX + job_id(9), b"", None, None, 410),
        ("POST", PREFIX + job_id(9), b"x" * 200_000, None, None, 413),
    ],
)
def test_bad_calls_are_refused_and_nothing_is_stored(
    shared_jobs, method, path, raw, key, host, expected
):
    fields = {name: one for name, one in (("key", key), ("host", host)) if one}
    assert shared_jobs.call("entry-1", method, path, raw=raw, **fields)[0] == expected
    assert shared_jobs.state("entry-1", job_id(9)) == "410"


@pytest.mark.parametrize(
    "body",
    [
        b"not json",
        b"[]",
        b"{}",
        b'{"service": 5, "address": "127.0.0.1:1", "state": "ready"}',
        b'{"service": "s", "address": "127.0.0.1:1", "state": "asleep"}',
        b'{"service": "s", "address": "127.0.0.1:1", "state": "ready", "seq": "x"}',
        b"\xff\xfe",
    ],
)
def test_malformed_check_ins_name_no_upstream_and_harm_no_other(jobs_of_module, body):
    port = jobs_of_module.controls["vm-1"]
    assert request(port, "PUT", "/instances/i-foreign", body)[0] == 400
    found = [
        line["upstream"]
        for line in jobs_of_module.log_lines("vm-1")
        if line["event"] == "upstream_found"
    ]
    assert not any("i-foreign" in one for one in found)


def test_upstreams_serve_after_malformed_check_ins_and_records(jobs_of_module):
    jobs_of_module.put("evacuate/", "not a zone")
    jobs_of_module.put("unknown/key", [1, 2])
    assert jobs_of_module.submit("entry-1", job_id(77)) == 200
    wait_state(jobs_of_module, "entry-2", job_id(77), "completed")


def test_settings_with_a_fault_are_refused_and_the_old_ones_stay(shared_jobs):
    path = shared_jobs.settings_path("entry-1")
    good = path.read_bytes()
    path.write_bytes(b'{"role": "job-entry"}')
    shared_jobs.signal("entry-1", signal.SIGHUP)
    shared_jobs.wait_until(
        lambda: any(
            line["event"] == "settings_refused"
            for line in shared_jobs.log_lines("entry-1")
        ),
        4.0,
    )
    assert shared_jobs.call("entry-1", "GET", PREFIX)[0] == 200
    path.write_bytes(good)


def test_settings_are_checked_again_when_the_file_changes(shared_jobs):
    path = shared_jobs.settings_path("entry-2")
    changed = json.loads(path.read_text())
    changed["bounds"]["stop_grace_s"] = 2.5
    path.write_text(json.dumps(changed))
    shared_jobs.wait_until(
        lambda: any(
            line["event"] == "settings_reloaded" and line["changed"]
            for line in shared_jobs.log_lines("entry-2")
        ),
        4.0,
    )
