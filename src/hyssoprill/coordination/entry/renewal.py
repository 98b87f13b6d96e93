"""Renews in the log what must outlive its retention, and gives back claims."""

from __future__ import annotations

import asyncio
import secrets
import time
from typing import TYPE_CHECKING

import msgspec

from ...protocol.outcome import not_run
from ...state.bundle_projection import SNAPSHOT_STREAM
from ...state.job_projection import JOB_STREAM, OUTCOME_STREAM, StoredOutcome
from ...transport.platform_log import LogRecord
from ..agent.entry_links import ENTRY_STREAM

if TYPE_CHECKING:
    from .entry import Entry

RETENTION_FRACTION = 4.0
CHECK_INTERVAL_S = 0.5


class LogRenewal:
    """Appends the bundle in force, open jobs and the own address again in time."""

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._interval_s = entry.cfg.log_retention_s / RETENTION_FRACTION
        self._announced_s = float("-inf")
        self._renewed_s = time.monotonic()
        self.releasing: set[str] = set()

    async def run(self) -> None:
        """Renew for ever; the coordinator does so for all entries."""
        while True:
            now_s = time.monotonic()
            if now_s - self._announced_s > self._interval_s:
                self._announced_s = now_s
                self._append("entry", ENTRY_STREAM, self._entry.membership.own)
            if self._is_due(now_s):
                self._renewed_s = now_s
                self._renew()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def release_claim(self, job_id: str) -> None:
        """Say in the log that a claimed request did not run."""
        self.releasing.add(job_id)
        outcome = not_run("claim_released", "send it again with the same key")
        self._append("outcome", OUTCOME_STREAM, StoredOutcome(job_id, "", outcome))

    def _is_due(self, now_s: float) -> bool:
        if not self._entry.coordinator.is_active:
            return False
        return now_s - self._renewed_s > self._interval_s

    def _renew(self) -> None:
        snapshot = self._entry.bundles.snapshot()
        if snapshot is not None:
            self._append("snapshot", SNAPSHOT_STREAM, snapshot)
        for job in self._entry.jobs.open_jobs.values():
            self._append("job", JOB_STREAM, job)

    def _append(self, prefix: str, stream: str, body: object) -> None:
        record_id = f"{prefix}/{self._entry.incarnation}/{secrets.token_hex(4)}"
        record = LogRecord(record_id, stream, msgspec.to_builtins(body))
        self._entry.writer.append_later(record)


__all__ = ["LogRenewal"]
