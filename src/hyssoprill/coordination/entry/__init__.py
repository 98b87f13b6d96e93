"""The entry process: serves callers; one entry coordinates each region."""

from __future__ import annotations

__all__: list[str] = []
