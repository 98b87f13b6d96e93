from __future__ import annotations

import json
from typing import Any

import pytest
from click.testing import CliRunner

from hyssoprill.cli.main import main
from hyssoprill.cli.trace import Line
from hyssoprill.cli.waste import sum_work_by_cause

JOB = "00000000000000a1"
WEIGHT = 10.0
"""Core equivalents of a task with two cores and one accelerator."""


def accepted_line(*flags: str) -> Line:
    step = {"need": [1, 2000, 0], "flags": list(flags), "count": 2}
    return Line(0, "entry-1", "job_accepted", {"job": JOB, "steps": [step]})


def run_ended_line(
    index: int, how: str, why: str = "", *, at_ms: int = 5000, run: int = 1
):
    fields: dict[str, Any] = {
        "task": f"{JOB}.0.0.{index}",
        "run": run,
        "how": how,
        "why": why,
        "ran_s": 3.0,
    }
    return Line(at_ms, "entry-1", "run_ended", fields)


def test_done_runs_are_useful_work():
    totals = sum_work_by_cause([accepted_line(), run_ended_line(0, "done")])
    assert totals.useful_core_s == 3 * WEIGHT
    assert totals.losses == {}


@pytest.mark.parametrize(
    ("how", "why", "cause"),
    [
        ("stopped", "room for 00000000000000b2", "room for another job"),
        ("stopped", "cancelled", "cancelled"),
        ("replaced", "", "upstream lost"),
        ("refused: status 503", "", "refused"),
        ("failed", "", "failed"),
    ],
)
def test_lost_work_is_counted_by_cause(how, why, cause):
    totals = sum_work_by_cause([accepted_line(), run_ended_line(0, how, why)])
    assert totals.losses[cause].unsaved_core_s == 3 * WEIGHT


def test_gang_losses_are_attributed_to_the_cause_of_its_first_end():
    lines = [
        accepted_line("gang"),
        run_ended_line(1, "broken", "gang broken", at_ms=5200),
        run_ended_line(0, "failed", at_ms=5000),
    ]
    totals = sum_work_by_cause(lines)
    assert totals.losses["failed"].runs == 2
    assert "gang broken" not in totals.losses


def test_checkpointed_work_is_not_counted_as_unsaved():
    totals = sum_work_by_cause(
        [accepted_line("checkpoints"), run_ended_line(0, "stopped", "no progress")]
    )
    assert totals.losses["no progress"].core_s == 3 * WEIGHT
    assert totals.losses["no progress"].unsaved_core_s == 0


def test_run_that_two_planners_logged_counts_once():
    totals = sum_work_by_cause(
        [
            accepted_line(),
            run_ended_line(0, "done"),
            run_ended_line(0, "done", at_ms=6000),
        ]
    )
    assert totals.useful_core_s == 3 * WEIGHT


def test_command_prints_a_row_for_each_cause(tmp_path):
    log = tmp_path / "all.log"
    lines = [accepted_line(), run_ended_line(0, "done"), run_ended_line(1, "failed")]
    log.write_text(
        "\n".join(
            json.dumps(
                {
                    "at_ms": one.at_ms,
                    "process": one.process,
                    "event": one.event,
                    **one.fields,
                }
            )
            for one in lines
        )
    )
    ran = CliRunner().invoke(main, ["waste", "--json", str(log)])
    assert ran.exit_code == 0
    assert [row["cause"] for row in json.loads(ran.output)] == ["failed", "none: done"]
