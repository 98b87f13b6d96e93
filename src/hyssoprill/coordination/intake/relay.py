"""Appends to the store through another entry while this one cannot reach it.

The store may refuse one VM, or be unreachable from it, and serve the others, while
callers' open connections stay with that VM's entry. Peers whose append failed recently
are skipped, so that callers are answered without delay when no entry reaches the store.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...errors import StoreInDoubtError, StoreRefusedError
from ...logs import decision
from ...ports.store import Record
from ...protocol.upstream_messages import RelayAppend, RelayResult

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...ports.store import StorePort
    from ...transport.link import LinkHub
    from ..entry_watcher import EntryWatcher
    from ..planner.replica import Replica

ANSWER_TIMEOUT_S = 0.5
SEARCH_TIMEOUT_S = 1.0
"""No further peer is asked after this time, as the caller is waiting."""
FAILED_PEER_BACKOFF_S = 1.0
"""How long a peer that refused or did not answer is skipped."""
IDLE_LINK_TIMEOUT_S = 5.0


class AppendRelay:
    """Sends appends to peers, and carries out theirs.

    Parameters
    ----------
    name : str
        Name of this entry.
    entry_watcher : EntryWatcher
        Holds the peers' link addresses.
    replica : Replica
        Tells whether the store can be reached from this entry.
    """

    def __init__(
        self,
        name: str,
        hub: LinkHub,
        entry_watcher: EntryWatcher,
        store: StorePort,
        replica: Replica,
    ) -> None:
        self._name = name
        self._hub = hub
        self._entry_watcher = entry_watcher
        self._store = store
        self._replica = replica
        self._pending_results: dict[str, asyncio.Future[RelayResult]] = {}
        self._hang_ups: dict[str, asyncio.TimerHandle] = {}
        self._failed_s: dict[str, float] = {}

    async def append(self, records: Sequence[Record]) -> int:
        """Append records to topic `jobs` through a peer; return the first offset.

        Raises
        ------
        StoreRefusedError
            Where certainly no peer has appended them.
        StoreInDoubtError
            Where a peer may have appended them.
        """
        in_doubt = False
        began_s = boottime_s()
        for peer in self._available_peers():
            if boottime_s() - began_s > SEARCH_TIMEOUT_S:
                break
            result = await self._request_append(peer, records)
            if result is not None and result.code == "stored":
                decision("append_relayed", peer=peer, records=len(records))
                return result.offset
            self._failed_s[peer] = boottime_s()
            in_doubt |= result is None or result.code == "in_doubt"
        if in_doubt:
            raise StoreInDoubtError(
                "another entry may have stored the records",
                remedy="send the same id again",
            )
        raise StoreRefusedError(
            "neither this entry nor its peers could append to the store",
            remedy="retry later",
        )

    def _available_peers(self) -> list[str]:
        """Return the peers that did not fail recently, the oldest failure first."""
        now_s = boottime_s()
        failed_s = {
            peer: self._failed_s.get(peer, float("-inf"))
            for peer in self._entry_watcher.link_urls
            if peer != self._name
        }
        self._failed_s = {
            peer: at for peer, at in self._failed_s.items() if peer in failed_s
        }
        available = [
            one for one, at in failed_s.items() if now_s - at > FAILED_PEER_BACKOFF_S
        ]
        return sorted(available, key=failed_s.__getitem__)

    async def _request_append(
        self, peer: str, records: Sequence[Record]
    ) -> RelayResult | None:
        """Return a peer's answer, or None where it sent none in time."""
        self.open_link(peer, self._entry_watcher.link_urls[peer])
        token = secrets.token_hex(8)
        fut: asyncio.Future[RelayResult] = asyncio.get_running_loop().create_future()
        self._pending_results[token] = fut
        message = RelayAppend(token, [(one.key, one.value) for one in records])
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not await self._hub.send(peer, message):
                    await asyncio.sleep(0.01)
                return await fut
        except TimeoutError:
            return None
        finally:
            del self._pending_results[token]

    def open_link(self, peer: str, url: str) -> None:
        """Dial a peer, and restart the timer that closes the link once it is idle."""
        self._hub.dial(peer, url)
        timer = self._hang_ups.pop(peer, None)
        if timer is not None:
            timer.cancel()
        loop = asyncio.get_running_loop()
        self._hang_ups[peer] = loop.call_later(
            IDLE_LINK_TIMEOUT_S, self._hub.hang_up, peer
        )

    def handle_result(self, result: RelayResult) -> None:
        """Pass a peer's answer to the append that waits for it."""
        fut = self._pending_results.get(result.token)
        if fut is not None and not fut.done():
            fut.set_result(result)

    async def handle_request(self, message: RelayAppend) -> RelayResult:
        """Append a peer's records to the store, but never through a third entry."""
        if self._replica.store_unreachable_s:
            return RelayResult(message.token, "refused", 0)
        records = [Record(key, value) for key, value in message.records]
        try:
            offset = await self._store.append("jobs", records)
        except StoreRefusedError:
            return RelayResult(message.token, "refused", 0)
        except StoreInDoubtError:
            return RelayResult(message.token, "in_doubt", 0)
        return RelayResult(message.token, "stored", offset)


__all__ = ["AppendRelay"]
