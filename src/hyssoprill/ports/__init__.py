"""Ports: what the product asks of the platform that it runs on."""

from __future__ import annotations

__all__: list[str] = []
