"""Keeps the operator's config up to date from the store, and tells how old it is."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...errors import StoreError, StoreHistoryLostError
from ...logs import decision
from ...state.operator_config import OperatorConfig

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from ...ports.store import StorePort

    BuildConfig = Callable[[Mapping[str, bytes]], OperatorConfig]

READ_WAIT_S = 0.8
RETRY_DELAY_S = 0.1


class OperatorConfigWatcher:
    """Reads the operator's records and builds the newest config from them.

    Parameters
    ----------
    build_config : callable
        Builds a config from the newest value of each of the operator's records.
    on_change : callable
        Called when `current` is replaced.

    Attributes
    ----------
    current : OperatorConfig
        The config in force; never replaced by one of a lower version.
    current_as_of_s : float
        Every record that was acknowledged to the operator before this time has been
        read.
    """

    def __init__(
        self,
        store: StorePort,
        build_config: BuildConfig,
        on_change: Callable[[], None],
    ) -> None:
        self.current = OperatorConfig()
        self.current_as_of_s = float("-inf")
        self._store = store
        self._build_config = build_config
        self._on_change = on_change
        self._records: dict[str, bytes] = {}
        self._offsets: dict[str, int] = {}
        self._next_offset: int | None = None

    @property
    def age_s(self) -> float:
        """How many seconds out of date the config can be at most."""
        return boottime_s() - self.current_as_of_s

    async def run(self) -> None:
        """Read the operator's records until cancelled."""
        while True:
            try:
                await self._read()
            except StoreHistoryLostError:
                decision("history_lost", topic="operator", offset=self._next_offset)
                self._next_offset = None
            except StoreError as exc:
                decision("directory_unread", why=str(exc), age_s=round(self.age_s, 2))
                await asyncio.sleep(RETRY_DELAY_S)

    async def _read(self) -> None:
        began_s = boottime_s()
        is_full_read = self._next_offset is None
        if self._next_offset is None:
            page = await self._store.read_latest("operator")
        else:
            page = await self._store.read(
                "operator", self._next_offset, wait_s=READ_WAIT_S
            )
        if is_full_read:
            present = {record.key for record in page.records}
            for key in [one for one in self._records if one not in present]:
                del self._records[key]
        for record in page.records:
            if self._offsets.get(record.key, -1) >= record.offset:
                continue
            self._offsets[record.key] = record.offset
            if record.value:
                self._records[record.key] = record.value
            else:
                self._records.pop(record.key, None)
        if page.records or is_full_read:
            self._rebuild_config()
        self._next_offset = page.next_offset
        if page.next_offset >= page.end_offset:
            self.current_as_of_s = max(self.current_as_of_s, began_s)

    def _rebuild_config(self) -> None:
        try:
            config = self._build_config(self._records)
        except Exception as exc:  # noqa: BLE001 - the next config may be readable
            decision("directory_refused", why=repr(exc), version=self.current.version)
            return
        if config.version < self.current.version:
            decision("directory_refused", why="older", version=config.version)
            return
        if config != self.current:
            self.current = config
            decision(
                "directory_in_force",
                version=config.version,
                zones_out=sorted(config.zones_out),
            )
            self._on_change()


__all__ = ["OperatorConfigWatcher"]
