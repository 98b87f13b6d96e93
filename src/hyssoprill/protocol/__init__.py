"""Message, bundle, job and request types, with their encoding and validation."""

from __future__ import annotations

__all__: list[str] = []
