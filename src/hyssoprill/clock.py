"""Clocks: one that counts suspension, for ages, and the time of day."""

from __future__ import annotations

import time


def boottime_s() -> float:
    """Return seconds since the VM started, including those it was suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def unix_ms() -> int:
    """Return the time of day in milliseconds since 1970."""
    return time.time_ns() // 1_000_000


__all__ = ["boottime_s", "unix_ms"]
