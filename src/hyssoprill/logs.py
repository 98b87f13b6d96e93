"""Logging set-up of the daemon, and a log of one JSON line per decision.

Decision lines go to standard output. Their rate is limited
per event, and writes never block: lines over the limit, or that a slow reader leaves no
room for, are dropped and counted.
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

    def write(self, event: str, fields: dict[str, Any]) -> None:
        """Write one line, or count it as dropped."""
        if self.observe is not None:
            self.observe(event, fields)
        if not self.enabled:
            return
        now_s = time.monotonic()
        if now_s - self._window_start_s >= 1.0:
            self._window_start_s = now_s
            self._line_counts.clear()
        self._line_counts[event] += 1
        if self._line_counts[event] > MAX_LINES_PER_EVENT_PER_S:
            self.dropped += 1
            return
        line = {"at_ms": unix_ms(), "process": self.process, "event": event, **fields}
        try:
            os.write(STDOUT_FD, msgspec.json.encode(line) + b"\n")
        except OSError:
            self.dropped += 1


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
