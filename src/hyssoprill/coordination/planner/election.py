"""Elects the planner: one entry at a time, fenced by a term that rises in the store."""

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
    StoreRejectedError,
)
from ...logs import decision
from ...ports.store import Record, Writer, split_batches
from ...state.job_table import PLANNER_KEY, VACATED_KEY, Term

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

    from ...ports.store import StorePort
    from .replica import Replica

    AppendThroughPeer = Callable[[Sequence[Record]], Awaitable[int]]

GRANT_WINDOW_S = 1.1
"""A planner may grant leases for this long after its last stored record."""
CLAIM_AFTER_S = 1.6
"""Another entry may claim the term after this long without a record of the planner.

Must be above `GRANT_WINDOW_S`, so that no two entries grant leases at a time."""
RENEW_INTERVAL_S = 0.4
"""Interval of renewals; allows two appends to a slow store within `GRANT_WINDOW_S`."""
HAND_OVER_AFTER_S = 0.5
"""A planner that cannot reach the store for this long resigns through a peer that can.

Below `GRANT_WINDOW_S`, so that its agents lose no time, and above the time in which a
call without an answer is repeated."""
HAND_OVER_TIMEOUT_S = 0.2
"""A peer that reaches the store answers within this time."""
CLAIM_PAUSE_S = 3.0
"""An entry whose planner failed leaves the claim to others for this long."""
CHECK_INTERVAL_S = 0.1
APPEND_RETRY_S = 0.1
MAX_LOGGED_KEYS = 8
"""Number of records that a log line names."""


class PlannerElection:
    """Claims, renews and resigns the term in which this entry is the planner.

    Parameters
    ----------
    name, link_url : str
        This entry, and the address at which agents reach it.
    incarnation : str
        Tells this process from earlier ones of the same name.
    replica : Replica
        Tells who the planner is and since when it has been silent.
    append_through_peer : callable, optional
        Appends records through another entry.
    claim_delay_s : callable, optional
        Returns how long this entry leaves a free term to others, given who had it.
    """

    def __init__(
        self,
        name: str,
        incarnation: str,
        link_url: str,
        store: StorePort,
        replica: Replica,
        *,
        append_through_peer: AppendThroughPeer | None = None,
        claim_delay_s: Callable[[str], float] = lambda _former_planner: 0.0,
    ) -> None:
        self._name = name
        self._claim_delay_s = claim_delay_s
        self._free_since_s = float("inf")
        self._append_through_peer = append_through_peer
        self._incarnation = incarnation
        self._link_url = link_url
        self._store = store
        self._replica = replica
        self._term = 0
        self._sequence = 0
        self._last_stored_s = float("-inf")
        self._append_lock = asyncio.Lock()
        self._tried_in_outage_s = 0.0
        self._may_claim_from_s = float("-inf")
        self._is_leaving = False
        self.resigning = False

    @property
    def term(self) -> int:
        """The term in which this entry is the planner, 0 if it is not."""
        return self._term

    @property
    def has_stepped_down(self) -> bool:
        """Whether this entry was the planner and is not any more."""
        return self._term == 0 and self._sequence > 0

    @property
    def may_grant(self) -> bool:
        """Whether leases may be granted: no other entry can have claimed the term."""
        if self._is_leaving or not self._term:
            return False
        return boottime_s() - self._last_stored_s < GRANT_WINDOW_S

    async def run(self) -> None:
        """Claim the term when there is no planner, and renew it; forever."""
        while True:
            try:
                if self._term:
                    await self._renew()
                elif self._may_claim():
                    await self._claim()
            except StoreFencedError:
                self._step_down("fenced")
            except StoreError as exc:
                decision("term_unsure", term=self._term, why=str(exc))
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def append(self, records: Sequence[Record]) -> None:
        """Append records of the planner, with retries until they are stored.

        Raises
        ------
        StoreFencedError
            If this entry is not, or is no longer, the planner.
        StoreRejectedError
            If the store can never take these records.
        """
        async with self._append_lock:
            await self._append(records)

    async def resign(self) -> None:
        """Resign the term, so that another entry can claim it at once."""
        self.resigning = True
        await self._leave_term("resigned")

    async def give_up(
        self, reason: str = "the planner failed", *, pause_s: float = CLAIM_PAUSE_S
    ) -> None:
        """Leave the term to another entry, which may not fail where this one did.

        Parameters
        ----------
        pause_s : float
            Time for which this entry claims no term.
        """
        if not self._term:
            return
        self._may_claim_from_s = boottime_s() + pause_s
        await self._leave_term(reason)

    async def _leave_term(self, reason: str) -> None:
        if not self._term:
            return
        self._is_leaving = True
        try:
            async with asyncio.timeout(GRANT_WINDOW_S):
                await self.append([self._term_record(resigned=True)])
        except (StoreError, TimeoutError) as exc:
            decision("resignation_unsure", term=self._term, why=str(exc))
        finally:
            self._step_down(reason)
            self._is_leaving = False

    async def _append(self, records: Sequence[Record]) -> None:
        """Append with a new sequence number, retried under the same one."""
        term = self._term
        self._sequence += 1
        writer = Writer(term, self._sequence)
        first_in_doubt_s = float("inf")
        while True:
            if not term or self._term != term:
                raise StoreFencedError(f"entry {self._name} is no longer the planner")
            began_s = boottime_s()
            try:
                offset = await self._store.append("jobs", records, writer=writer)
            except StoreFencedError:
                self._step_down("fenced")
                raise
            except StoreRejectedError as exc:
                # A repeat would keep the lock that renewals of the term need.
                self._sequence -= 1
                decision(
                    "append_rejected",
                    term=term,
                    keys=[record.key for record in records[:MAX_LOGGED_KEYS]],
                    largest_bytes=max((one.size for one in records), default=0),
                    why=str(exc),
                )
                raise
            except StoreError as exc:
                decision("append_retried", term=term, why=str(exc))
                if isinstance(exc, StoreInDoubtError):
                    first_in_doubt_s = min(first_in_doubt_s, began_s)
                await self._hand_over_if_cut_off()
                await asyncio.sleep(APPEND_RETRY_S)
                continue
            # A repeat may be answered for a record that was stored with an earlier try.
            stored_s = min(first_in_doubt_s, began_s)
            self._last_stored_s = max(self._last_stored_s, stored_s)
            self._replica.apply_appended(offset, records)
            return

    async def _hand_over_if_cut_off(self) -> None:
        """Resign through a peer if the store is out of reach from this entry only.

        The claim of another entry then fences this one as usual, also if it reaches the
        store again. Tried once in an outage: peers that cannot reach the store either
        would take time from the appends, and the term when the store comes back.
        """
        outage_s = self._replica.failing_since_s
        if (
            self._append_through_peer is None
            or self._replica.store_unreachable_s < HAND_OVER_AFTER_S
            or outage_s == self._tried_in_outage_s
        ):
            return
        self._tried_in_outage_s = outage_s
        # The record may be stored without an answer, and another entry claims then.
        self._last_stored_s = float("-inf")
        record = Record(VACATED_KEY, msgspec.json.encode(self._term))
        try:
            async with asyncio.timeout(HAND_OVER_TIMEOUT_S):
                await self._append_through_peer([record])
        except (StoreError, TimeoutError) as exc:
            decision("hand_over_failed", term=self._term, why=str(exc))
            return
        self._step_down("handed over, as the store is out of reach")

    async def _renew(self) -> None:
        """Renew the term when it is due, or step down if another entry has claimed."""
        current = self._replica.job_table.term
        if current is not None and current.term > self._term:
            self._step_down("another entry claimed")
            return
        if boottime_s() - self._last_stored_s >= RENEW_INTERVAL_S:
            await self.append([self._term_record()])

    def _may_claim(self) -> bool:
        """Return whether there is no planner and faster entries had time to claim.

        An earlier process of this entry, which cannot be the planner any more, is
        succeeded at once: others may claim only later.
        """
        replica = self._replica
        is_read = replica.end is not None and not replica.failing_since_s
        is_paused = self.resigning or boottime_s() < self._may_claim_from_s
        if is_paused or not is_read or not self._is_term_free():
            self._free_since_s = float("inf")
            return False
        self._free_since_s = min(self._free_since_s, boottime_s())
        # Faster entries have their time also between the reads of a slow store.
        if replica.age_s > CLAIM_AFTER_S:
            return False
        if self._is_of_earlier_process():
            return True
        current = replica.job_table.term
        delay_s = self._claim_delay_s(current.planner if current is not None else "")
        return boottime_s() - self._free_since_s >= delay_s

    def _is_term_free(self) -> bool:
        """Return whether there is no planner, by the replica."""
        replica = self._replica
        current = replica.job_table.term
        if current is None or current.resigned or self._is_of_earlier_process():
            return True
        silent_s = boottime_s() - replica.planner_last_seen_s
        if replica.job_table.is_term_vacant and silent_s > HAND_OVER_AFTER_S:
            # An earlier record would mean that the hand-over was stored late.
            return True
        return silent_s > CLAIM_AFTER_S

    def _is_of_earlier_process(self) -> bool:
        """Tell whether an earlier process of this entry holds the newest term."""
        current = self._replica.job_table.term
        if current is None or current.resigned or current.planner != self._name:
            return False
        return current.incarnation != self._incarnation

    async def _claim(self) -> None:
        """Claim the next term, if nothing was stored since the replica's last read.

        An append without an answer counts if the job table then names this process. The
        empty append under the new term fences the previous planner. After it, all
        stored records are read before the term is taken up.
        """
        replica = self._replica
        if replica.end is None:
            return
        current = replica.job_table.term
        term = current.term + 1 if current is not None else 1
        record = self._term_record(term=term)
        try:
            offset = await self._store.append(
                "jobs", [record], expected_offset=replica.end
            )
        except StoreMovedError:
            return
        except StoreInDoubtError:
            await self._read_to_end()
            claimed = replica.job_table.term
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
        newest = replica.job_table.term
        if newest is None or newest.term != term:
            return
        self._last_stored_s = began_s
        self._term = term
        decision("term_began", term=term, jobs=len(replica.job_table.active))

    async def _read_to_end(self) -> None:
        """Read until everything stored before this call is in the job table."""
        began_s = boottime_s()
        while self._replica.current_as_of_s < began_s:
            await self._replica.read_once(0.0)

    def _term_record(self, *, term: int = 0, resigned: bool = False) -> Record:
        value = Term(
            term or self._term,
            self._name,
            self._link_url,
            self._incarnation,
            resigned,
        )
        return Record(PLANNER_KEY, msgspec.json.encode(value))

    def _step_down(self, reason: str) -> None:
        if self._term:
            decision("term_ended", term=self._term, why=reason)
        self._term = 0
        self._last_stored_s = float("-inf")
        self._replica.planner_last_seen_s = boottime_s()


async def append_all(election: PlannerElection, records: Sequence[Record]) -> None:
    """Append a planner's records in as few appends as the store takes.

    Raises
    ------
    StoreFencedError, StoreRejectedError
        As `PlannerElection.append`; records before the rejected one are stored.
    """
    for batch in split_batches(records):
        try:
            await election.append(batch)
        except StoreRejectedError:
            if len(batch) == 1:
                raise
            for record in batch:
                await election.append([record])


__all__ = ["PlannerElection", "append_all"]
