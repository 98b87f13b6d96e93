"""The agent process, which runs next to each upstream."""

from __future__ import annotations

__all__: list[str] = []
