"""Jobs wait after one worker has turned their first starts away."""

from __future__ import annotations

import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "harness-3"))

from lab import (  # noqa: E402
    APP,
    BOUNDS,
    CannotRunError,
    Lab,
    has_trouble,
    job_id,
    run_case,
    task_of,
)

SIDES = 9
SHED_S = 5.5
"""For how long one worker of nine is unhealthy; mtx-hcm, `srv_grey`."""
JOBS = 8
WORK_S = 80.0
BUSY = range(100, 100 + SIDES - 1)
WAITING = range(1, JOBS + 1)


def case() -> bool:
    """Return whether the rule held."""
    with Lab(HERE, entries=2, sides=SIDES) as lab:
        lab.start()
        step = {"gpu": 8, "cpu": 8000, "checkpoint": True}
        step |= {"mem_mb": 8000, "estimate_ms": int(WORK_S * 1000)}
        for number in BUSY:
            lab.submit("edge-0", job_id(number), [step], work_s=WORK_S)
        lab.wait_for("the first jobs", lambda: len(lab.running()) == len(BUSY))
        busy = {side for _task, _run, side in lab.running()}
        (free,) = set(lab.sides) - busy
        if has_trouble():
            lab.switch(f"{lab.sides[free]}:{APP}", shed_s=SHED_S)
            lab.record(free, "sheds", for_s=SHED_S)
        for number in WAITING:
            if lab.submit("edge-0", job_id(number), [step], work_s=WORK_S) != 200:
                raise CannotRunError("a job was not accepted")
        time.sleep(SHED_S + (BOUNDS["contact_ms"] + BOUNDS["visible_ms"]) / 1000 + 2.0)
        started = {line["task"] for line in lab.lines("start")}
        begun = [n for n in WAITING if task_of(n) in started]
        not_begun = len(WAITING) - len(begun)
        told = {entry: lab.waiting(entry) for entry in lab.entries}
        wrong = [
            entry
            for entry, count in told.items()
            if count is not None and count < not_begun / 2
        ]
        lab.record("check", "result", not_begun=not_begun, told=told)
        print(
            f"{'broken' if wrong else 'held'}: {not_begun} jobs have not begun, "
            f"the entries tell of {told}"
        )
        return not wrong


run_case(case)
