"""Reads log lines of steps as those of their tasks, and tells which are missing."""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

import click

from ..index_ranges import parse_indices

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from .trace import Line

DROPPED_EVENT = "lines_dropped"


def expand_steps(lines: Iterable[Line]) -> Iterator[Line]:
    """Yield a line for each task of a line of a step; others are left as they are.

    A line that cannot be read as one of a step is left out.
    """
    for line in lines:
        if "step" not in line.fields or "columns" not in line.fields:
            yield line
            continue
        try:
            found = list(_tasks_of(line))
        except (TypeError, ValueError, KeyError):
            continue
        yield from found


def _tasks_of(line: Line) -> Iterator[Line]:
    fields = dict(line.fields)
    step = fields.pop("step")
    names = fields.pop("columns")[1:]
    for text, *values in fields.pop("tasks"):
        own = dict(zip(names, values, strict=True))
        for index in parse_indices(text):
            yield line._replace(fields={"task": f"{step}.{index}", **fields, **own})


def count_dropped(lines: Iterable[Line]) -> Counter[tuple[str, str]]:
    """Return how many lines were dropped, or cut, by process and event."""
    dropped: Counter[tuple[str, str]] = Counter()
    for line in lines:
        if "cut" in line.fields:
            dropped[line.process, line.event] += 1
        counts = line.fields.get("counts")
        if line.event != DROPPED_EVENT or not isinstance(counts, dict):
            continue
        for event, count in counts.items():
            if isinstance(count, int) and count > 0:
                dropped[line.process, str(event)] += count
    return dropped


def warn_if_incomplete(lines: Iterable[Line]) -> None:
    """Tell on standard error which lines are missing in the logs."""
    dropped = count_dropped(lines)
    if dropped:
        missing = ", ".join(
            f"{count} {event} of {process}"
            for (process, event), count in sorted(dropped.items())
        )
        click.echo(
            f"the logs are incomplete, lines were dropped or cut: {missing}", err=True
        )


__all__ = ["DROPPED_EVENT", "count_dropped", "expand_steps", "warn_if_incomplete"]
