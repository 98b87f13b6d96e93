"""Appends through another entry while the store is out of reach from here.

Load pattern: the store turns one VM away, or cannot be reached from it, and serves the
others, while callers' open connections stay with that VM's entry. Peers that were of no
help lately are not asked again at once, so that callers get their answer without delay
when nobody reaches the store.
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
"""No further peer is asked after this time: the caller waits meanwhile."""
PEER_PAUSE_S = 1.0
"""A peer that refused, or did not answer, is not asked again for this long."""
HANG_UP_AFTER_S = 5.0


class Relay:
    """Asks peers to append, and appends for them.

    Parameters
    ----------
    name : str
        This entry.
    members : MemberFollower
        Knows the peers.
    replica : Replica
        Knows whether the store is in reach from here.
    """

    def __init__(
        self,
        name: str,
        hub: LinkHub,
        members: EntryWatcher,
        store: StorePort,
        replica: Replica,
    ) -> None:
        self._name = name
        self._hub = hub
        self._members = members
        self._store = store
        self._replica = replica
        self._answers: dict[str, asyncio.Future[RelayResult]] = {}
        self._hang_ups: dict[str, asyncio.TimerHandle] = {}
        self._failed_s: dict[str, float] = {}

    async def append(self, records: Sequence[Record]) -> int:
        """Append records to the jobs through a peer; return the first offset.

        Raises
        ------
        StoreRefusedError
            Where surely no peer has appended them.
        StoreInDoubtError
            Where a peer may have.
        """
        in_doubt = False
        began_s = boottime_s()
        for peer in self._peers():
            if boottime_s() - began_s > SEARCH_TIMEOUT_S:
                break
            result = await self._ask(peer, records)
            if result is not None and result.code == "stored":
                decision("append_relayed", peer=peer, records=len(records))
                return result.offset
            self._failed_s[peer] = boottime_s()
            in_doubt |= result is None or result.code == "in_doubt"
        if in_doubt:
            raise StoreInDoubtError(
                "a peer may have appended", remedy="send the same id again"
            )
        raise StoreRefusedError("no peer reaches the store", remedy="retry later")

    def _peers(self) -> list[str]:
        """Return the peers worth asking, those that failed longest ago first."""
        now_s = boottime_s()
        failed_s = {
            peer: self._failed_s.get(peer, float("-inf"))
            for peer in self._members.link_urls
            if peer != self._name
        }
        self._failed_s = {
            peer: at for peer, at in self._failed_s.items() if peer in failed_s
        }
        worth_asking = [
            one for one, at in failed_s.items() if now_s - at > PEER_PAUSE_S
        ]
        return sorted(worth_asking, key=failed_s.__getitem__)

    async def _ask(self, peer: str, records: Sequence[Record]) -> RelayResult | None:
        """Return a peer's answer, None where it gave none in time."""
        self._hub.dial(peer, self._members.link_urls[peer])
        self._keep_link(peer)
        token = secrets.token_hex(8)
        fut: asyncio.Future[RelayResult] = asyncio.get_running_loop().create_future()
        self._answers[token] = fut
        message = RelayAppend(token, [(one.key, one.value) for one in records])
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                while not await self._hub.send(peer, message):
                    await asyncio.sleep(0.01)
                return await fut
        except TimeoutError:
            return None
        finally:
            del self._answers[token]

    def _keep_link(self, peer: str) -> None:
        """Hang up once the link was not used for a while."""
        older = self._hang_ups.pop(peer, None)
        if older is not None:
            older.cancel()
        loop = asyncio.get_running_loop()
        self._hang_ups[peer] = loop.call_later(HANG_UP_AFTER_S, self._hub.hang_up, peer)

    def answered(self, result: RelayResult) -> None:
        """Take in a peer's answer."""
        fut = self._answers.get(result.token)
        if fut is not None and not fut.done():
            fut.set_result(result)

    async def append_for(self, message: RelayAppend) -> RelayResult:
        """Append what a peer asks for, by this entry's own way to the store."""
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


__all__ = ["Relay"]
