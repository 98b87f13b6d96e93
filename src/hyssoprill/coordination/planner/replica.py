"""Keeps a ledger up to date from the store, and knows as of when it is true."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...errors import StoreError, StoreHistoryLostError
from ...logs import decision
from ...state.job_table import PLANNER_KEY, STEP_PREFIX, JobTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...ports.store import Record, StoredRecord, StorePort

READ_WAIT_S = 0.8
RETRY_DELAY_S = 0.2
UNREACHED_FOR_S = 0.15
"""Reads that fail for this long show that the store is out of reach from here."""


class Replica:
    """This process's copy of the jobs topic.

    Attributes
    ----------
    current_as_of_s : float
        All that was stored before this time is in the ledger.
    planner_last_seen_s : float
        When a record of the planner was last read.
    end : int
        Offset up to which the topic is in the ledger.
    failing_since_s : float
        Since when reads fail, 0 while they do not.
    """

    def __init__(self, store: StorePort, on_change: Callable[[], None]) -> None:
        self.ledger = JobTable()
        self.current_as_of_s = float("-inf")
        self.planner_last_seen_s = boottime_s()
        self.end: int | None = None
        self._store = store
        self._on_change = on_change
        self.failing_since_s = 0.0

    @property
    def age_s(self) -> float:
        """How old what the ledger says may be."""
        return boottime_s() - self.current_as_of_s

    @property
    def store_unreachable_s(self) -> float:
        """For how long the store has surely been out of reach, 0 where it is not."""
        lost_for_s = (
            boottime_s() - self.failing_since_s if self.failing_since_s else 0.0
        )
        return lost_for_s if lost_for_s > UNREACHED_FOR_S else 0.0

    async def run(self) -> None:
        """Read on for ever; without waiting for news while reads fail."""
        while True:
            await self.read_once(0.0 if self.failing_since_s else READ_WAIT_S)

    async def read_once(self, wait_s: float) -> None:
        """Read what is new; return also where the store does not answer."""
        began_s = boottime_s()
        try:
            if self.end is None:
                page = await self._store.read_latest("jobs")
                self.planner_last_seen_s = boottime_s()
            else:
                page = await self._store.read("jobs", self.end, wait_s=wait_s)
        except StoreHistoryLostError:
            decision("history_lost", topic="jobs", offset=self.end)
            self.end = None
            return
        except StoreError as exc:
            self._note_reachable(False, str(exc))
            await asyncio.sleep(RETRY_DELAY_S)
            return
        self._note_reachable(True, "")
        self.end = max(self.end or 0, page.next_offset)
        if page.next_offset >= page.end_offset:
            self.current_as_of_s = max(self.current_as_of_s, began_s)
        if self._apply(page.records):
            self._on_change()

    def apply_appended(self, offset: int, records: Iterable[Record]) -> None:
        """Take in records that this process has appended."""
        for position, record in enumerate(records):
            self.ledger.apply(offset + position, record.key, record.value)

    def _apply(self, records: Iterable[StoredRecord]) -> bool:
        changed = False
        for record in records:
            if record.key == PLANNER_KEY or record.key.startswith(STEP_PREFIX):
                self.planner_last_seen_s = boottime_s()
            changed |= self.ledger.apply(record.offset, record.key, record.value)
        return changed

    def _note_reachable(self, reachable: bool, why: str) -> None:
        if reachable == (not self.failing_since_s):
            return
        if reachable:
            decision(
                "store_regained", after_s=round(boottime_s() - self.failing_since_s, 2)
            )
            self.failing_since_s = 0.0
            # A planner that could not renew meanwhile gets the time to do so.
            self.planner_last_seen_s = boottime_s()
        else:
            decision("store_lost", why=why, age_s=round(self.age_s, 2))
            self.failing_since_s = boottime_s()


__all__ = ["Replica"]
