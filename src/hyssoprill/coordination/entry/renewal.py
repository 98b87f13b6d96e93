"""Re-appends log records before the log's retention drops them; releases claims."""

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

RENEWALS_PER_RETENTION = 4.0
CHECK_INTERVAL_S = 0.5


class LogRenewal:
    """Re-appends the current bundle, the open jobs and this entry's address.

    Each is appended `RENEWALS_PER_RETENTION` times within the log's retention time. An
    entry renews its own address; the coordinator renews the rest for all entries.

    Attributes
    ----------
    claims_being_released : set of str
        Ids of requests whose release is queued but not yet read back from the log.
    """

    def __init__(self, entry: Entry) -> None:
        self._entry = entry
        self._interval_s = entry.cfg.log_retention_s / RENEWALS_PER_RETENTION
        self._address_renewed_s = float("-inf")
        self._state_renewed_s = time.monotonic()
        self.claims_being_released: set[str] = set()

    async def run(self) -> None:
        """Renew until cancelled; only the coordinator renews bundle and jobs."""
        while True:
            now_s = time.monotonic()
            if now_s - self._address_renewed_s > self._interval_s:
                self._address_renewed_s = now_s
                self._append("entry", ENTRY_STREAM, self._entry.membership.own)
            if self._is_due(now_s):
                self._state_renewed_s = now_s
                self._renew()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def release_claim(self, job_id: str) -> None:
        """Append the outcome that a claimed request did not run."""
        self.claims_being_released.add(job_id)
        outcome = not_run("claim_released", "send it again with the same key")
        self._append("outcome", OUTCOME_STREAM, StoredOutcome(job_id, "", outcome))

    def _is_due(self, now_s: float) -> bool:
        if not self._entry.coordinator.is_active:
            return False
        return now_s - self._state_renewed_s > self._interval_s

    def _renew(self) -> None:
        snapshot = self._entry.bundles.snapshot()
        if snapshot is not None:
            self._append("snapshot", SNAPSHOT_STREAM, snapshot)
        for job in self._entry.jobs.open_jobs.values():
            self._append("job", JOB_STREAM, job)

    def _append(self, prefix: str, stream: str, body: object) -> None:
        record_id = f"{prefix}/{self._entry.incarnation}/{secrets.token_hex(4)}"
        record = LogRecord(record_id, stream, msgspec.to_builtins(body))
        self._entry.writer.enqueue(record)


__all__ = ["LogRenewal"]
