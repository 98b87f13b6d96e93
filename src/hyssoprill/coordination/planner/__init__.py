"""The planner of durable jobs: its election, its view of the fleet, its decisions."""

from __future__ import annotations

__all__: list[str] = []
