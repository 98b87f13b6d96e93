"""Sends the results of members to entries until they are acknowledged."""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...protocol.messages import MemberResult
    from ...state.lease_table import MemberKey
    from ...transport.link import LinkHub

RESEND_INTERVAL_S = 0.5
OWNER_TIMEOUT_S = 2.0
RETENTION_S = 120.0


@dataclass(slots=True)
class _Unacknowledged:
    result: MemberResult
    owner: str
    added_s: float


class ResultOutbox:
    """Holds unacknowledged results and resends them.

    A result goes to the entry that ordered the work. After `OWNER_TIMEOUT_S` without an
    acknowledgement it goes to all entries, because another one may have taken over
    the job.
    """

    def __init__(self, hub: LinkHub) -> None:
        self._hub = hub
        self._unacknowledged: dict[MemberKey, _Unacknowledged] = {}

    def __len__(self) -> int:
        return len(self._unacknowledged)

    async def add(self, result: MemberResult, owner: str) -> None:
        """Send a new result, and keep it until it is acknowledged."""
        key = (result.attempt, result.index)
        self._unacknowledged[key] = _Unacknowledged(result, owner, time.monotonic())
        await self._hub.send(owner, result)

    def acknowledge(self, key: MemberKey) -> None:
        """Drop a result that its owner has received."""
        self._unacknowledged.pop(key, None)

    async def resend(self, entries: Iterable[str]) -> None:
        """Resend all results; drop those still unacknowledged after `RETENTION_S`."""
        now_s = time.monotonic()
        all_entries = list(entries)
        for key, item in list(self._unacknowledged.items()):
            age_s = now_s - item.added_s
            if age_s > RETENTION_S:
                del self._unacknowledged[key]
                continue
            targets = all_entries if age_s > OWNER_TIMEOUT_S else [item.owner]
            for name in targets:
                await self._hub.send(name, item.result)


__all__ = ["RESEND_INTERVAL_S", "ResultOutbox"]
