"""Decides which tasks of durable jobs start where, and which have to stop."""

from __future__ import annotations

__all__: list[str] = []
