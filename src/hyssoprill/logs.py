"""Logging set-up of the daemon, and a log of one JSON line per decision.

Decision lines go to standard output. Their rate is limited
per event, and writes never block: lines over the limit, or that a slow reader leaves no
room for, are dropped, and a line a second tells how many of which event. Longer lines
than `MAX_LINE_BYTES` are cut to their short fields.
"""

from __future__ import annotations

import os
import sys
import time
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import msgspec
from loguru import logger

from .clock import unix_ms

if TYPE_CHECKING:
    from collections.abc import Callable

    from .settings import LoggingSettings

TEXT_FORMAT = "{time:HH:mm:ss.SSS} {level} {extra[process]} {message}"
MAX_LINES_PER_EVENT_PER_S = 200
"""Limit on decision lines of one event per second; the rest is counted as dropped."""
MAX_LINE_BYTES = 4096
"""Limit on a line; a pipe takes lines up to this as a whole or not at all."""
MAX_KEPT_LENGTH = 64
"""Longest text that a line keeps which is cut."""
STDOUT_FD = 1


class DecisionLog:
    """Writes decision lines without blocking on a slow reader."""

    def __init__(self) -> None:
        self.process = ""
        self.enabled = False
        self.dropped = 0
        self.observe: Callable[[str, dict[str, Any]], None] | None = None
        self._window_start_s = 0.0
        self._line_counts: Counter[str] = Counter()
        self._dropped: Counter[str] = Counter()

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Write one line, or count it as dropped."""
        if self.observe is not None:
            self.observe(event, fields)
        if not self.enabled:
            return
        now_s = time.monotonic()
        if now_s - self._window_start_s >= 1.0:
            self._begin_window(now_s)
        self._line_counts[event] += 1
        is_within_limit = self._line_counts[event] <= MAX_LINES_PER_EVENT_PER_S
        if not (is_within_limit and self._write_line(event, fields)):
            self._drop(event)

    def _begin_window(self, now_s: float) -> None:
        """Tell which lines were dropped in the second that is over."""
        self._window_start_s = now_s
        self._line_counts.clear()
        counts = dict(self._dropped)
        if counts and self._write_line("lines_dropped", {"counts": counts}):
            self._dropped.clear()

    def _drop(self, event: str) -> None:
        self.dropped += 1
        self._dropped[event] += 1

    def _write_line(self, event: str, fields: dict[str, Any]) -> bool:
        """Write a line; return whether there was room for it."""
        head = {"at_ms": unix_ms(), "process": self.process, "event": event}
        line = msgspec.json.encode({**head, **fields}) + b"\n"
        if len(line) > MAX_LINE_BYTES:
            line = msgspec.json.encode({**head, **_short_fields(fields)}) + b"\n"
        try:
            os.write(STDOUT_FD, line)
        except OSError:
            return False
        return True


def _short_fields(fields: dict[str, Any]) -> dict[str, Any]:
    """Return the short ones among some fields, and the names of the others."""
    kept = {
        name: value
        for name, value in fields.items()
        if isinstance(value, int | float)
        or (isinstance(value, str) and len(value) <= MAX_KEPT_LENGTH)
    }
    return {**kept, "cut": [name for name in fields if name not in kept]}


_decisions = DecisionLog()


def decision(event: str, **fields: Any) -> None:
    """Log a decision or a change of state with the inputs that led to it.

    Parameters
    ----------
    event : str
        What was decided, in past tense: `job_accepted`.
    **fields
        The id concerned, the inputs and their age or version, and the outcome.
    """
    _decisions.write(event, fields)


def set_up_decisions(
    process: str, observe: Callable[[str, dict[str, Any]], None]
) -> DecisionLog:
    """Begin to write decision lines to standard output.

    Parameters
    ----------
    process : str
        Name of this process in each line.
    observe : callable
        Called with each decision, also where its line is dropped.
    """
    with suppress(OSError):
        os.set_blocking(STDOUT_FD, False)
    _decisions.process = process
    _decisions.enabled = True
    _decisions.observe = observe
    return _decisions


def set_up_logs(cfg: LoggingSettings, process: str) -> None:
    """Write lines to standard error in the format of the settings."""
    logger.remove()
    logger.configure(extra={"process": process})
    if cfg.format == "json":
        logger.add(sys.stderr, level=cfg.level, serialize=True)
    else:
        logger.add(sys.stderr, level=cfg.level, format=TEXT_FORMAT)


__all__ = ["DecisionLog", "decision", "set_up_decisions", "set_up_logs"]
