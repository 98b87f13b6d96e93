"""Taking jobs in and answering for them, by the entry that callers reached."""

from __future__ import annotations

__all__: list[str] = []
