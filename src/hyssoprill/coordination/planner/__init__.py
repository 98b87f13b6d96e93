"""The entry that plans: its term, the fleet it sees, and its decisions."""

from __future__ import annotations

__all__: list[str] = []
