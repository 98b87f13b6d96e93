"""In-memory state: projections of logs, leases, and the pool of upstreams."""

from __future__ import annotations

__all__: list[str] = []
