"""The agent of durable jobs: leases, starts and stops on the VM's own upstreams."""

from __future__ import annotations

__all__: list[str] = []
