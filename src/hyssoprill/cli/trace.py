"""Collects one job's decision log lines from all processes, in causal order."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any, NamedTuple

import click
import msgspec

from .output import show_json
from .step_lines import expand_steps, warn_if_incomplete

EXIT_UNKNOWN = 1
CONTEXT_S = 3.0
"""Dependency events this long before and after the job's own lines are included."""
DEPENDENCY_EVENTS = frozenset(
    {
        "started",
        "stopped",
        "settings_reloaded",
        "store_lost",
        "store_regained",
        "term_began",
        "term_ended",
        "planner_lost",
        "planner_found",
        "directory_in_force",
        "lines_dropped",
    }
)
UPSTREAM_EVENTS = frozenset(
    {
        "upstream_found",
        "upstream_ended",
        "upstream_gone",
        "runs_settled",
        "leases_expired",
    }
)
CAUSAL_ORDER = (
    "call_refused",
    "job_accepted",
    "job_cancelled",
    "run_planned",
    "run_started",
    "run_to_stop",
    "run_ended",
    "crash_suspected",
    "task_given_up",
    "job_ended",
)
"""Order of lines with the same millisecond timestamp, written by different clocks."""


class Line(NamedTuple):
    """One decision log line."""

    at_ms: int
    process: str
    event: str
    fields: dict[str, Any]

    @property
    def rank(self) -> tuple[int, int]:
        """Sort key: time, then cause before effect."""
        known = self.event in CAUSAL_ORDER
        return self.at_ms, CAUSAL_ORDER.index(self.event) if known else -1


def read_lines(path: Path) -> list[Line]:
    """Return the decision lines of a log file.

    Text before a line's JSON object is skipped, and so are lines without one.
    """
    lines = []
    for raw in path.read_text(errors="replace").splitlines():
        start = raw.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(raw[start:])
            line = Line(
                fields.pop("at_ms"), fields.pop("process"), fields.pop("event"), fields
            )
        except (msgspec.DecodeError, KeyError, AttributeError):
            continue
        lines.append(line)
    return lines


def trace_job(job_id: str, lines: list[Line]) -> list[Line]:
    """Return a job's lines and the dependency events of the processes involved."""
    own = [line for line in lines if _belongs_to_job(line, job_id)]
    if not own:
        return []
    first_ms = min(line.at_ms for line in own) - CONTEXT_S * 1000
    last_ms = max(line.at_ms for line in own) + CONTEXT_S * 1000
    upstreams = {
        line.fields["upstream"]
        for line in expand_steps(own)
        if "upstream" in line.fields
    }
    processes = {line.process for line in own}
    processes |= {str(upstream).partition("|")[0] for upstream in upstreams}
    around = [
        line
        for line in lines
        if first_ms <= line.at_ms <= last_ms
        and (
            (line.event in DEPENDENCY_EVENTS and line.process in processes)
            or (
                line.event in UPSTREAM_EVENTS
                and line.fields.get("upstream") in upstreams
            )
        )
    ]
    return sorted([*own, *around], key=lambda line: line.rank)


def _belongs_to_job(line: Line, job_id: str) -> bool:
    task = str(line.fields.get("task") or line.fields.get("step", ""))
    return line.fields.get("job") == job_id or task.startswith(f"{job_id}.")


@click.command()
@click.argument("job")
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def trace(job: str, logs: tuple[Path, ...], as_json: bool) -> None:
    """Follow JOB through LOGS, the standard output of all processes.

    Exit codes: 0 found, 1 no line names the job, 2 wrong use.
    """
    lines = [line for path in logs for line in read_lines(path)]
    found = trace_job(job, lines)
    if as_json:
        show_json([line._asdict() for line in found])
    else:
        for line in found:
            click.echo(_format_line(line, found[0].at_ms))
    warn_if_incomplete(found or lines)
    if not found:
        click.echo(
            f"no log line names job {job}; check the load balancer's log", err=True
        )
        sys.exit(EXIT_UNKNOWN)


def _format_line(line: Line, first_ms: int) -> str:
    fields = " ".join(
        f"{name}={_format_value(value)}"
        for name, value in line.fields.items()
        if value != ""
    )
    seconds = (line.at_ms - first_ms) / 1000
    return f"{seconds:9.3f}  {line.process:<20} {line.event:<18} {fields}".rstrip()


def _format_value(value: Any) -> str:
    if isinstance(value, str):
        return value if " " not in value else repr(value)
    return msgspec.json.encode(value).decode()


__all__ = ["read_lines", "trace", "trace_job"]
