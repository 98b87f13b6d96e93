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
def test_trace_output_matches_the_golden_file(name):
    log = str(FOLDER / f"{name}.log")
    result = CliRunner().invoke(main, ["trace", CASES[name], log])
    assert result.exit_code == 0
    assert result.output == (FOLDER / f"{name}.txt").read_text()


def test_trace_of_an_unknown_job_fails_and_names_the_balancer_log(tmp_path):
    log = tmp_path / "empty.log"
    log.write_text("no line\n{broken\n")
    result = CliRunner().invoke(main, ["trace", "0" * 16, str(log)])
    assert result.exit_code == 1
    assert "balancer" in result.output


def test_lines_with_equal_timestamps_are_in_causal_order():
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
    result = CliRunner().invoke(main, ["trace", "--json", job, log])
    assert '"at_ms"' in result.output
