"""Prints command output as tables or as JSON."""

from __future__ import annotations

from typing import Any

import click
import msgspec


def show_rows(rows: list[dict[str, Any]], columns: list[str], as_json: bool) -> None:
    """Print rows as a table, or as JSON with all their fields."""
    if as_json:
        show_json(rows)
        return
    cells = [[_format_cell(row.get(column)) for column in columns] for row in rows]
    widths = [
        max([len(column), *(len(line[number]) for line in cells)])
        for number, column in enumerate(columns)
    ]
    for line in [columns, *cells]:
        padded = [text.ljust(width) for text, width in zip(line, widths, strict=True)]
        click.echo("  ".join(padded).rstrip())


def show_json(value: Any) -> None:
    """Print a value as indented JSON."""
    click.echo(msgspec.json.format(msgspec.json.encode(value)).decode())


def _format_cell(value: Any) -> str:
    if isinstance(value, list):
        return ",".join(str(one) for one in value) or "-"
    return "-" if value in (None, "") else str(value)


__all__ = ["show_json", "show_rows"]
