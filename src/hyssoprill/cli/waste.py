"""Adds up the work that was thrown away, by cause, from the decision lines."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field
from pathlib import Path
from typing import TYPE_CHECKING, Any

import click

from ..coordination.policy.dispatch.model import core_equivalents
from ..protocol.job import ResourceAmounts
from .output import show_rows
from .trace import read_lines

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .trace import Line

LOST_ENDS = frozenset({"lapsed", "gone", "replaced"})
"""Runs that ended with their upstream."""
GANG_BROKEN = "gang broken"
"""Cause of runs of a gang that ended because another one of it did."""


@dataclass(slots=True)
class Loss:
    """Runs that one cause ended before they were done.

    Attributes
    ----------
    core_s : float
        Core seconds that they had worked, accelerators weighed as cores.
    unsaved_core_s : float
        The part of steps that do not save their progress.
    """

    runs: int = 0
    core_s: float = 0.0
    unsaved_core_s: float = 0.0


@dataclass(slots=True)
class Ledger:
    """Work of all runs that ended.

    Attributes
    ----------
    useful_core_s : float
        Core seconds of runs that were done.
    losses : dict
        What was thrown away, by cause.
    """

    useful_core_s: float = 0.0
    losses: dict[str, Loss] = field(default_factory=lambda: defaultdict(Loss))


@dataclass(frozen=True, slots=True)
class _Step:
    weight: float
    is_gang: bool
    saves: bool


@dataclass(frozen=True, slots=True)
class _End:
    group: tuple[str, int]
    step: _Step
    cause: str
    ran_s: float


def add_up(lines: Iterable[Line]) -> Ledger:
    """Return the work of all runs that ended, by the cause of their end.

    All runs of a gang count for what ended the first of them that another one of the
    gang did not end.
    """
    lines = sorted(lines, key=lambda line: line.at_ms)
    steps = _steps(lines)
    ends = list(_ends(lines, steps))
    gangs: dict[tuple[str, int], str] = {}
    for end in ends:
        if end.step.is_gang and end.cause not in ("", GANG_BROKEN):
            gangs.setdefault(end.group, end.cause)
    ledger = Ledger()
    for end in ends:
        is_member = end.step.is_gang and end.cause
        cause = gangs.get(end.group, end.cause) if is_member else end.cause
        _count(ledger, cause, end)
    return ledger


def _ends(lines: Iterable[Line], steps: dict[str, _Step]) -> Iterator[_End]:
    """Yield the first end of each run, as several planners may log one."""
    seen: set[tuple[str, int]] = set()
    for line in lines:
        if line.event != "run_ended":
            continue
        task, run = str(line.fields["task"]), int(line.fields["run"])
        step = steps.get(_step_name(task))
        if step is None or (task, run) in seen:
            continue
        seen.add((task, run))
        group = (task.rpartition(".")[0], run)
        yield _End(group, step, _cause(line.fields), float(line.fields["ran_s"]))


def _steps(lines: Iterable[Line]) -> dict[str, _Step]:
    """Return the steps of all accepted jobs, by job and number."""
    steps = {}
    for line in lines:
        if line.event != "job_accepted":
            continue
        for number, one in enumerate(line.fields["steps"]):
            steps[f"{line.fields['job']}.{number}"] = _Step(
                core_equivalents(ResourceAmounts(*one["need"])),
                "gang" in one["flags"],
                "checkpoints" in one["flags"],
            )
    return steps


def _step_name(task: str) -> str:
    job, _occurrence, step, _index = task.split(".")
    return f"{job}.{step}"


def _cause(fields: dict[str, Any]) -> str:
    """Return why a run ended, '' where it was done."""
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


def _count(ledger: Ledger, cause: str, end: _End) -> None:
    core_s = end.step.weight * end.ran_s
    if not cause:
        ledger.useful_core_s += core_s
        return
    loss = ledger.losses[cause]
    loss.runs += 1
    loss.core_s += core_s
    if not end.step.saves:
        loss.unsaved_core_s += core_s


@click.command()
@click.argument("logs", nargs=-1, required=True, type=click.Path(path_type=Path))
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def waste(logs: tuple[Path, ...], as_json: bool) -> None:
    """Add up by cause the work thrown away in LOGS, the output of all processes.

    Work of steps that save their progress is lost only since the last save: what was
    lost lies between the columns `unsaved_core_s` and `core_s`.
    """
    ledger = add_up(line for path in logs for line in read_lines(path))
    losses = sorted(ledger.losses.items(), key=lambda one: -one[1].unsaved_core_s)
    rows = [
        {
            "cause": cause,
            "runs": loss.runs,
            "core_s": round(loss.core_s),
            "unsaved_core_s": round(loss.unsaved_core_s),
        }
        for cause, loss in losses
    ]
    rows.append({"cause": "none: done", "core_s": round(ledger.useful_core_s)})
    show_rows(rows, ["cause", "runs", "core_s", "unsaved_core_s"], as_json)


__all__ = ["Ledger", "Loss", "add_up", "waste"]
