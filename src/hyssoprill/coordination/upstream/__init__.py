"""Agent for durable jobs: leases, starts and stops on the upstreams of its own VM."""

from __future__ import annotations

__all__: list[str] = []
