"""Ports: the interfaces that a platform implements for the scheduler."""

from __future__ import annotations

__all__: list[str] = []
