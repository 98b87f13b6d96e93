"""Dispatch policy of durable jobs: where tasks start and which runs are stopped."""

from __future__ import annotations

__all__: list[str] = []
