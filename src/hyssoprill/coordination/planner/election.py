"""Who plans: one entry at a time, by a number that rises in the store."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from ...clock import boottime_s
from ...errors import (
    StoreError,
    StoreFencedError,
    StoreInDoubtError,
    StoreMovedError,
)
from ...logs import decision
from ...ports.store import Record, Writer
from ...state.job_table import PLANNER_KEY, Term

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...ports.store import StorePort
    from .replica import Replica

PROOF_S = 1.1
"""After its last stored record, a planner may grant leases for this long."""
CLAIM_AFTER_S = 1.6
"""Silence in the store after which another entry may claim; above `PROOF_S`."""
RENEW_INTERVAL_S = 0.4
"""Leaves room for two appends of a slow store within `PROOF_S`."""
CHECK_INTERVAL_S = 0.1
APPEND_RETRY_S = 0.1


class PlannerElection:
    """Claims, renews and gives up the right to plan.

    Parameters
    ----------
    name, link_url : str
        This entry, and where agents reach it.
    replica : Replica
        Tells who plans and how long it has been silent.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        link_url: str,
        store: StorePort,
        replica: Replica,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._link_url = link_url
        self._store = store
        self._replica = replica
        self._term = 0
        self._sequence = 0
        self._proven_s = float("-inf")
        self._append_lock = asyncio.Lock()
        self.resigning = False

    @property
    def term(self) -> int:
        """The term in which this entry plans, 0 where it does not."""
        return self._term

    @property
    def may_grant(self) -> bool:
        """Whether no other entry can have claimed yet."""
        return self._term > 0 and boottime_s() - self._proven_s < PROOF_S

    async def run(self) -> None:
        """Claim when nobody plans, and renew; for ever."""
        while True:
            try:
                if self._term:
                    await self._renew()
                elif self._is_vacant():
                    await self._claim()
            except StoreFencedError:
                self._step_down("fenced")
            except StoreError as exc:
                decision("term_unsure", term=self._term, why=str(exc))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def append(self, records: Sequence[Record]) -> None:
        """Append records of the planner; return once they are stored.

        Raises
        ------
        StoreFencedError
            Where another entry plans meanwhile.
        """
        async with self._append_lock:
            await self._append(records)

    async def resign(self) -> None:
        """Let others claim at once."""
        self.resigning = True
        if not self._term:
            return
        try:
            async with asyncio.timeout(PROOF_S):
                await self.append([self._record(resigned=True)])
        except (StoreError, TimeoutError) as exc:
            decision("resignation_unsure", term=self._term, why=str(exc))
        self._step_down("resigned")

    async def _append(self, records: Sequence[Record]) -> None:
        term = self._term
        self._sequence += 1
        writer = Writer(term, self._sequence)
        while True:
            if not term or self._term != term:
                raise StoreFencedError("this entry no longer plans")
            began_s = boottime_s()
            try:
                offset = await self._store.append("jobs", records, writer=writer)
            except StoreFencedError:
                self._step_down("fenced")
                raise
            except StoreError as exc:
                decision("append_retried", term=term, why=str(exc))
                await asyncio.sleep(APPEND_RETRY_S)
                continue
            self._proven_s = max(self._proven_s, began_s)
            self._replica.apply_appended(offset, records)
            return

    async def _renew(self) -> None:
        known = self._replica.ledger.term
        if known is not None and known.term > self._term:
            self._step_down("another entry claimed")
            return
        if boottime_s() - self._proven_s >= RENEW_INTERVAL_S:
            await self.append([self._record()])

    def _is_vacant(self) -> bool:
        replica = self._replica
        if self.resigning or replica.end is None or replica.age_s > CLAIM_AFTER_S:
            return False
        known = replica.ledger.term
        if known is None or known.resigned:
            return True
        if known.planner == self._name and known.incarnation != self._incarnation:
            return True
        return boottime_s() - replica.planner_last_seen_s > CLAIM_AFTER_S

    async def _claim(self) -> None:
        """Claim the next term where nothing was stored meanwhile."""
        replica = self._replica
        if replica.end is None:
            return
        known = replica.ledger.term
        term = known.term + 1 if known is not None else 1
        record = self._record(term=term)
        try:
            offset = await self._store.append(
                "jobs", [record], expected_offset=replica.end
            )
        except StoreMovedError:
            return
        except StoreInDoubtError:
            await self._read_to_end()
            claimed = replica.ledger.term
            if claimed is None or (claimed.term, claimed.incarnation) != (
                term,
                self._incarnation,
            ):
                return
        else:
            replica.apply_appended(offset, [record])
        self._sequence = 0
        await self._store.append("jobs", [], writer=Writer(term, 0))
        began_s = boottime_s()
        await self._read_to_end()
        newest = replica.ledger.term
        if newest is None or newest.term != term:
            return
        self._proven_s = began_s
        self._term = term
        decision("term_began", term=term, jobs=len(replica.ledger.active))

    async def _read_to_end(self) -> None:
        """Read until all that is stored by now is in the ledger."""
        began_s = boottime_s()
        while self._replica.current_as_of_s < began_s:
            await self._replica.read_once(0.0)

    def _record(self, *, term: int = 0, resigned: bool = False) -> Record:
        value = Term(
            term or self._term,
            self._name,
            self._link_url,
            self._incarnation,
            resigned,
        )
        return Record(PLANNER_KEY, msgspec.json.encode(value))

    def _step_down(self, why: str) -> None:
        if self._term:
            decision("term_ended", term=self._term, why=why)
        self._term = 0
        self._proven_s = float("-inf")
        self._replica.planner_last_seen_s = boottime_s()


__all__ = ["PlannerElection"]
