"""Model of the load of durable jobs, and an experiment tool for the dispatch policy."""

from __future__ import annotations

__all__: list[str] = []
