"""Formats the numbers of tasks in log lines as ranges: `0-3,7`."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_INDICES = 1_000_000
"""Limit on the numbers that are read from one text."""


def format_indices(indices: Iterable[int]) -> str:
    """Return numbers as ranges in ascending order."""
    ranges: list[list[int]] = []
    for index in sorted(set(indices)):
        if ranges and index == ranges[-1][1] + 1:
            ranges[-1][1] = index
        else:
            ranges.append([index, index])
    return ",".join(
        str(first) if first == last else f"{first}-{last}" for first, last in ranges
    )


def parse_indices(text: str) -> list[int]:
    """Return the numbers of a text written by `format_indices`.

    Raises
    ------
    ValueError
        If it was not, or names too many numbers.
    """
    found: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        numbers = range(int(first), int(last or first) + 1)
        if len(numbers) + len(found) > MAX_INDICES:
            raise ValueError("too many numbers")
        found += numbers
    return found


__all__ = ["format_indices", "parse_indices"]
