"""Network clients and servers: encrypted links, HTTP, platform log, worker."""

from __future__ import annotations

__all__: list[str] = []
