"""A task that lasts fails in a pool that a burst of large jobs has mostly filled."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

from lab import (  # noqa: E402
    CannotRunError,
    Lab,
    has_trouble,
    job_id,
    make_config,
    run_case,
    task_of,
)

SIDES = 10
ACCELERATORS = 8
LASTING = "/lasting/"
NEED = 4
LARGE_JOBS = range(100, 107)
LARGE_S = 100.0
ESTIMATE_MS = 600_000
FAILS_AFTER_S = 12.0
RESTART_S, IDLE_S, CALM_S = 6.0, 3.0, 4.0
"""LOST: from so long after its last run, a task that lasts may not be kept waiting for
so long beside room, where it was calm for so long before."""
WATCHED_S = 25.0
JOB = 1


def config() -> dict:
    """Return a config with a queue of tasks that last, after that of large jobs."""
    found = make_config(priority=1)
    found["routes"].append(
        {
            **found["routes"][0],
            "name": "lasting",
            "path_prefix": LASTING,
            "priority": 2,
        }
    )
    return found


def case() -> bool:
    """Return whether the rule held."""
    with Lab(HERE, entries=2, sides=SIDES) as lab:
        lab.start(config())
        step = {"gpu": NEED, "cpu": 1000, "mem_mb": 1000, "estimate_ms": ESTIMATE_MS}
        step["long_running"] = True
        work = {"lasts": True, "failing_runs": 1, "fails_after_s": FAILS_AFTER_S}
        status = lab.submit("edge-0", job_id(JOB), [step], prefix=LASTING, **work)
        if status != 200:
            raise CannotRunError("the job was not accepted")
        lab.wait_for("the task that lasts", lab.running)
        if has_trouble():
            for number in LARGE_JOBS:
                large = {"gpu": ACCELERATORS, "cpu": 56_000, "mem_mb": 220_000}
                large["estimate_ms"] = int(LARGE_S * 1000)
                lab.submit("edge-0", job_id(number), [large], work_s=LARGE_S)
        lab.wait_for("the failure", lambda: ends_of(lab))
        ended = ends_of(lab)[0]["at"]
        time.sleep(WATCHED_S)
        starts = [one for one in lab.lines("start") if one["task"] == task_of(JOB)]
        again = [one["at"] for one in starts if one["at"] > ended]
        waited_s = (again[0] if again else time.time()) - ended
        busy = {side for _task, _run, side in lab.running()}
        idle = SIDES - len(busy)
        has_room = idle * ACCELERATORS >= 2 * NEED
        held = waited_s <= RESTART_S + CALM_S + IDLE_S or not has_room
        lab.record("check", "result", waited_s=waited_s, idle_workers=idle)
        print(
            f"{'held' if held else 'broken'}: after its failure the task "
            f"{'started again' if again else 'has not started again'} for "
            f"{waited_s:.1f} s; workers without any task: {idle} of {SIDES}"
        )
        return held


def ends_of(lab: Lab) -> list[dict]:
    """Return the ends of the task that lasts."""
    return [one for one in lab.lines("end") if one["task"] == task_of(JOB)]


run_case(case)
