"""Sums lost work by cause, from the decision log lines."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..coordination.policy.dispatch.model import core_equivalents
from ..protocol.job import ResourceAmounts
from .output import show_rows
from .step_lines import expand_steps, warn_if_incomplete
from .trace import read_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .trace import Line

LOST_ENDS = frozenset({"lapsed", "gone", "replaced"})
"""Ways in which a run ends when its upstream is lost."""
GANG_BROKEN = "gang broken"
"""Cause of gang runs that ended because another run of the gang ended."""


@dataclass(slots=True)
class Loss:
    """Work lost to one cause, in runs that ended before they were done.

    Attributes
    ----------
    core_s : float
        Core seconds used by the runs, with accelerators converted to cores.
    unsaved_core_s : float
        The part used by steps that do not save checkpoints.
    """

    runs: int = 0
    core_s: float = 0.0
    unsaved_core_s: float = 0.0


@dataclass(slots=True)
class WorkTotals:
    """Useful and lost work of all runs that ended.

    Attributes
    ----------
    useful_core_s : float
        Core seconds of runs that were done.
    losses : dict
        Lost work by cause.
    """

    useful_core_s: float = 0.0
    losses: dict[str, Loss] = field(default_factory=lambda: defaultdict(Loss))


@dataclass(frozen=True, slots=True)
class _Step:
    weight: float
    is_gang: bool
    saves: bool


@dataclass(frozen=True, slots=True)
class _RunEnd:
    group: tuple[str, int]
    step: _Step
    cause: str
    ran_s: float


def sum_work_by_cause(lines: Iterable[Line]) -> WorkTotals:
    """Return the useful and lost work of all runs that ended, by cause.

    All lost runs of a gang are attributed to the cause of the first run that did not
    end because of another run of the gang.
    """
    lines = sorted(expand_steps(lines), key=lambda line: line.at_ms)
    steps = _read_steps(lines)
    ends = list(_iter_run_ends(lines, steps))
    gangs: dict[tuple[str, int], str] = {}
    for end in ends:
        if end.step.is_gang and end.cause not in ("", GANG_BROKEN):
            gangs.setdefault(end.group, end.cause)
    totals = WorkTotals()
    for end in ends:
        is_member = end.step.is_gang and end.cause
        cause = gangs.get(end.group, end.cause) if is_member else end.cause
        _add_run(totals, cause, end)
    return totals


def _iter_run_ends(lines: Iterable[Line], steps: dict[str, _Step]) -> Iterator[_RunEnd]:
    """Yield the first end of each run, because several planners may log it."""
    seen: set[tuple[str, int]] = set()
    for line in lines:
        if line.event != "run_ended":
            continue
        task, run = str(line.fields["task"]), int(line.fields["run"])
        step = steps.get(_step_key(task))
        if step is None or (task, run) in seen:
            continue
        seen.add((task, run))
        group = (task.rpartition(".")[0], run)
        yield _RunEnd(
            group, step, cause_of_end(line.fields), float(line.fields["ran_s"])
        )


def _read_steps(lines: Iterable[Line]) -> dict[str, _Step]:
    """Return the steps of all accepted jobs, by job id and step number."""
    steps = {}
    for line in lines:
        if line.event != "job_accepted" or "steps" not in line.fields:
            continue
        for number, one in enumerate(line.fields["steps"]):
            steps[f"{line.fields['job']}.{number}"] = _Step(
                core_equivalents(ResourceAmounts(*one["need"])),
                "gang" in one["flags"],
                "checkpoints" in one["flags"],
            )
    return steps


def _step_key(task: str) -> str:
    job, _occurrence, step, _index = task.split(".")
    return f"{job}.{step}"


def cause_of_end(fields: dict[str, Any]) -> str:
    """Return the cause of a run's end, or '' if it was done."""
    how, why = str(fields["how"]), str(fields.get("why", ""))
    if how == "done":
        return ""
    if why.startswith("room for"):
        return "room for another job"
    if why and why != GANG_BROKEN:
        return why
    if how in LOST_ENDS:
        return "upstream lost"
    if how == "broken" or why:
        return GANG_BROKEN
    return how.partition(":")[0]


def _add_run(totals: WorkTotals, cause: str, end: _RunEnd) -> None:
    core_s = end.step.weight * end.ran_s
    if not cause:
        totals.useful_core_s += core_s
        return
    loss = totals.losses[cause]
    loss.runs += 1
    loss.core_s += core_s
    if not end.step.saves:
        loss.unsaved_core_s += core_s


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def waste(logs: tuple[Path, ...], as_json: bool) -> None:
    """Sum by cause the work lost in LOGS, the standard output of all processes.

    Steps that save checkpoints lose only the work since the last one, so the actual
    loss lies between the columns `unsaved_core_s` and `core_s`.
    """
    lines = [line for path in logs for line in read_lines(path)]
    warn_if_incomplete(lines)
    totals = sum_work_by_cause(lines)
    losses = sorted(totals.losses.items(), key=lambda one: -one[1].unsaved_core_s)
    rows = [
        {
            "cause": cause,
            "runs": loss.runs,
            "core_s": round(loss.core_s),
            "unsaved_core_s": round(loss.unsaved_core_s),
        }
        for cause, loss in losses
    ]
    rows.append({"cause": "none: done", "core_s": round(totals.useful_core_s)})
    show_rows(rows, ["cause", "runs", "core_s", "unsaved_core_s"], as_json)


__all__ = [
    "GANG_BROKEN",
    "Loss",
    "WorkTotals",
    "cause_of_end",
    "sum_work_by_cause",
    "waste",
]
