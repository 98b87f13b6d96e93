"""Coordination: the scheduling policy, and the entry and agent processes."""

from __future__ import annotations

__all__: list[str] = []
