"""Remembers for which steps runs were stopped a short time ago."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.job_table import StepKey

MAX_PENDING_S = 2.0
"""Runs that are stopped have ended, and their ends are stored, within this time.

A stop takes up to 0.4 s (PROTOCOL, "Running tasks"), and its end is listed by a renewal
that waits for up to 1 s."""


class PendingRoom:
    """Steps that wait for the room of runs that are being stopped for them."""

    def __init__(self) -> None:
        self._since_s: dict[StepKey, float] = {}

    def record(self, steps: Iterable[StepKey]) -> None:
        """Record that runs are stopped for some steps, and forget expired ones."""
        now_s = boottime_s()
        for key in [
            key for key, at in self._since_s.items() if now_s - at > MAX_PENDING_S
        ]:
            del self._since_s[key]
        self._since_s.update(dict.fromkeys(steps, now_s))

    def is_awaited_by(self, step: StepKey) -> bool:
        """Return whether runs were stopped for a step a short time ago."""
        since_s = self._since_s.get(step, float("-inf"))
        return boottime_s() - since_s <= MAX_PENDING_S

    def clear(self) -> None:
        """Forget all steps, at the start of a term."""
        self._since_s.clear()


__all__ = ["PendingRoom"]
