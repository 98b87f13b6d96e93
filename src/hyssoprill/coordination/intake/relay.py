"""Appends through another entry while the store is out of reach from here.

Load pattern: the store turns one VM away, or cannot be reached from it, and serves the
others, while callers' open connections stay with that VM's entry.
"""

from __future__ import annotations

import asyncio
import secrets
from typing import TYPE_CHECKING

from ...errors import StoreInDoubtError, StoreRefusedError
from ...logs import decision
from ...ports.store import Record
from ...protocol.upstream_messages import RelayAppend, RelayResult

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...ports.store import StorePort
    from ...transport.link import LinkHub
    from ..members import MemberFollower
    from ..planner.replica import Replica

ANSWER_TIMEOUT_S = 0.5
MAX_PEERS = 2
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
        members: MemberFollower,
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
        peers = [one for one in self._members.urls if one != self._name]
        for peer in peers[:MAX_PEERS]:
            result = await self._ask(peer, records)
            if result is not None and result.code == "stored":
                decision("append_relayed", peer=peer, records=len(records))
                return result.offset
            in_doubt |= result is None or result.code == "in_doubt"
        if in_doubt:
            raise StoreInDoubtError(
                "a peer may have appended", remedy="send the same id again"
            )
        raise StoreRefusedError("no peer reaches the store", remedy="retry later")

    async def _ask(self, peer: str, records: Sequence[Record]) -> RelayResult | None:
        """Return a peer's answer, None where it gave none in time."""
        self._hub.dial(peer, self._members.urls[peer])
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
        if self._replica.unreached_s:
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
