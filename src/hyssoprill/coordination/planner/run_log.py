"""Writes one log line a step and decision, with the numbers of its tasks.

Load pattern: steps of hundreds of tasks are started, stopped and done at once, and the
decision log is bounded by lines per second.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ...index_ranges import format_indices
from ...logs import decision

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_ROWS_BYTES = 2500
"""Rows of one line; those beyond it go into further lines."""
MAX_ROW_INDICES = 256
ROW_OVERHEAD_BYTES = 8

Fields = dict[str, Any]


class RunLog:
    """Collects decisions on the runs of steps, and writes them by step.

    A decision on one task only is written as a line of that task.
    """

    def __init__(self) -> None:
        self._groups: dict[tuple[Any, ...], dict[tuple[Any, ...], list[int]]] = {}

    def add(self, event: str, task: str, shared: Fields, own: Fields) -> None:
        """Add a decision on a task.

        Parameters
        ----------
        shared : dict
            Fields that the tasks of one line have in common.
        own : dict
            Fields in which they may differ, of the same names for all of an event.
        """
        step, _, index = task.rpartition(".")
        key = (event, step, tuple(shared.items()), tuple(own))
        rows = self._groups.setdefault(key, {})
        rows.setdefault(tuple(own.values()), []).append(int(index))

    def write(self) -> None:
        """Write and forget what was added."""
        groups, self._groups = self._groups, {}
        for (event, step, shared, names), rows in groups.items():
            if sum(map(len, rows.values())) == 1:
                (values, indices), *_ = rows.items()
                own = dict(zip(names, values, strict=True))
                decision(event, task=f"{step}.{indices[0]}", **dict(shared), **own)
                continue
            for chunk in _chunks(rows):
                own = _summary(names, [row[1:] for row in chunk])
                decision(event, step=step, **dict(shared), **own, tasks=chunk)


def _summary(names: tuple[str, ...], rows: list[list[Any]]) -> Fields:
    """Return what the rows of a line hold, and the largest of its durations."""
    columns = {"columns": ["tasks", *names]}
    durations = {
        name: max(row[number] for row in rows)
        for number, name in enumerate(names)
        if name.endswith("_s")
    }
    return {**columns, **durations}


def _chunks(rows: dict[tuple[Any, ...], list[int]]) -> Iterator[list[list[Any]]]:
    """Yield the rows in parts that fit into one line each."""
    chunk: list[list[Any]] = []
    size = 0
    for values, indices in rows.items():
        ordered = sorted(indices)
        for begin in range(0, len(ordered), MAX_ROW_INDICES):
            text = format_indices(ordered[begin : begin + MAX_ROW_INDICES])
            row = [text, *values]
            row_bytes = sum(len(str(one)) + ROW_OVERHEAD_BYTES for one in row)
            if chunk and size + row_bytes > MAX_ROWS_BYTES:
                yield chunk
                chunk, size = [], 0
            chunk.append(row)
            size += row_bytes
    if chunk:
        yield chunk


__all__ = ["RunLog"]
