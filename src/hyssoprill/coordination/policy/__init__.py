"""Scheduling policy: decisions without I/O, shared by the daemon and the benchmarks."""

from __future__ import annotations

__all__: list[str] = []
