"""Intake of durable jobs by the entry that callers reached, and its planner."""

from __future__ import annotations

__all__: list[str] = []
