"""Replicates the jobs topic into a job table and tracks how current the table is."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...errors import StoreError, StoreHistoryLostError
from ...logs import decision
from ...state.job_table import PLANNER_KEY, SIZES_KEY, STEP_PREFIX, JobTable

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from ...ports.store import Record, StoredRecord, StorePort

READ_WAIT_S = 0.8
RETRY_DELAY_S = 0.2
UNREACHABLE_AFTER_S = 0.15
"""The store counts as unreachable from here once reads have failed for this long."""


class Replica:
    """This process's copy of the jobs topic.

    Attributes
    ----------
    job_table : JobTable
        State of all jobs by the records read so far.
    current_as_of_s : float
        Everything stored before this time is in the job table.
    planner_last_seen_s : float
        When a record written by the planner was last read.
    end : int
        Offset up to which the topic has been read; None until it is first read, and
        after the store has discarded the records to be read next.
    failing_since_s : float
        Since when reads have been failing, 0 while they succeed.
    """

    def __init__(self, store: StorePort, on_change: Callable[[], None]) -> None:
        self.job_table = JobTable()
        self.current_as_of_s = float("-inf")
        self.planner_last_seen_s = boottime_s()
        self.end: int | None = None
        self._store = store
        self._on_change = on_change
        self.failing_since_s = 0.0

    @property
    def age_s(self) -> float:
        """Upper bound of the age of the job table."""
        return boottime_s() - self.current_as_of_s

    @property
    def store_unreachable_s(self) -> float:
        """How long the store has been unreachable, 0 if it is not."""
        failing_s = boottime_s() - self.failing_since_s if self.failing_since_s else 0.0
        return failing_s if failing_s > UNREACHABLE_AFTER_S else 0.0

    async def run(self) -> None:
        """Read new records forever; while reads fail, without waiting for new ones."""
        while True:
            await self.read_once(0.0 if self.failing_since_s else READ_WAIT_S)

    async def read_once(self, wait_s: float) -> None:
        """Read and apply a page of new records; failures of the store are not raised.

        Parameters
        ----------
        wait_s : float
            How long the store may wait for new records.
        """
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
            self._record_reachability(False, str(exc))
            await asyncio.sleep(RETRY_DELAY_S)
            return
        self._record_reachability(True, "")
        # Read again if a record breaks off the rest; it then counts as applied.
        changed = self._apply(page.records)
        self.end = max(self.end or 0, page.next_offset)
        if page.next_offset >= page.end_offset:
            self.current_as_of_s = max(self.current_as_of_s, began_s)
        if changed:
            self._on_change()

    def apply_appended(self, offset: int, records: Iterable[Record]) -> None:
        """Apply records that this process has appended itself.

        Parameters
        ----------
        offset : int
            Offset of the first record.
        """
        for position, record in enumerate(records):
            self.job_table.apply(offset + position, record.key, record.value)

    def _apply(self, records: Iterable[StoredRecord]) -> bool:
        changed = False
        for record in records:
            if _is_of_planner(record):
                self.planner_last_seen_s = boottime_s()
            changed |= self.job_table.apply(record.offset, record.key, record.value)
        return changed

    def _record_reachability(self, reachable: bool, why: str) -> None:
        """Log when the store is lost or regained, and set `failing_since_s`."""
        if reachable == (not self.failing_since_s):
            return
        if reachable:
            decision(
                "store_regained", after_s=round(boottime_s() - self.failing_since_s, 2)
            )
            self.failing_since_s = 0.0
            # The planner could not renew its term either while the store was
            # unreachable, so it gets the full time to do so.
            self.planner_last_seen_s = boottime_s()
        else:
            decision("store_lost", why=why, age_s=round(self.age_s, 2))
            self.failing_since_s = boottime_s()


def _is_of_planner(record: StoredRecord) -> bool:
    """Tell whether only a planner stores such a record; it alone deletes records."""
    is_own = record.key in (PLANNER_KEY, SIZES_KEY)
    return is_own or record.key.startswith(STEP_PREFIX) or not record.value


__all__ = ["Replica"]
