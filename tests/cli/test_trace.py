from __future__ import annotations

from pathlib import Path

import pytest
from click.testing import CliRunner

from hyssoprill.cli.main import main
from hyssoprill.cli.trace import Line, trace_job

FOLDER = Path(__file__).parent / "test_trace"
CASES = {
    "refused_while_others_reached_the_store": "290f9e2d8edb45df",
    "ran_late_after_a_loss_of_power": "773d53c5506dbe72",
    "never_done_on_a_failing_upstream": "a1c30ccd397caae7",
}


@pytest.mark.parametrize("name", CASES)
def test_trace_shows_the_way_from_the_id_to_the_cause(name):
    log = str(FOLDER / f"{name}.log")
    ended = CliRunner().invoke(main, ["trace", CASES[name], log])
    assert ended.exit_code == 0
    assert ended.output == (FOLDER / f"{name}.txt").read_text()


def test_trace_of_an_unknown_job_says_where_to_look(tmp_path):
    log = tmp_path / "empty.log"
    log.write_text("no line\n{broken\n")
    ended = CliRunner().invoke(main, ["trace", "0" * 16, str(log)])
    assert ended.exit_code == 1
    assert "balancer" in ended.output


def test_lines_of_one_millisecond_are_ordered_by_cause():
    lines = [
        Line(5, "vm-1", "run_started", {"task": "a.0.0.0"}),
        Line(5, "entry-1", "run_planned", {"task": "a.0.0.0"}),
        Line(5, "entry-2", "job_accepted", {"job": "a"}),
    ]
    found = [line.event for line in trace_job("a", lines)]
    assert found == ["job_accepted", "run_planned", "run_started"]


def test_trace_as_json_has_all_fields():
    log = str(FOLDER / "ran_late_after_a_loss_of_power.log")
    job = CASES["ran_late_after_a_loss_of_power"]
    ended = CliRunner().invoke(main, ["trace", "--json", job, log])
    assert '"at_ms"' in ended.output
