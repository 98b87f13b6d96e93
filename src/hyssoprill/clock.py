"""Clocks: boot time including suspension, for measuring ages, and Unix time."""

from __future__ import annotations

import time
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

_simulated: Callable[[], float] | None = None


def boottime_s() -> float:
    """Return seconds since the VM started, including those it was suspended."""
    if _simulated is not None:
        return _simulated()
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return Unix time in milliseconds."""
    if _simulated is not None:
        return round(_simulated() * 1000)
    return time.time_ns() // 1_000_000


@contextmanager
def simulated_time(now_s: Callable[[], float]) -> Iterator[None]:
    """Make both clocks of this process return simulated time, for models and tests.

    Parameters
    ----------
    now_s : callable
        Returns the simulated time in seconds.
    """
    global _simulated
    previous, _simulated = _simulated, now_s
    try:
        yield
    finally:
        _simulated = previous


__all__ = ["boottime_s", "simulated_time", "unix_ms"]
