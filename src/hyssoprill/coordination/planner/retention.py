"""Drops what the store keeps of jobs that are long over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...ports.store import Record
from ...state.job_table import CANCEL_PREFIX, JOB_PREFIX, StepKey

if TYPE_CHECKING:
    from ...state.job_table import JobState, JobTable

MAX_JOBS_AT_ONCE = 50
KEPT_FACTOR = 1.5
"""Jobs are kept longer than promised, as other entries saw their end at other times."""


def expired_records(ledger: JobTable, kept_s: float) -> list[Record]:
    """Return records that drop some of the jobs over for longer than `kept_s`."""
    now_s = boottime_s()
    expired = [
        entry
        for job_id, entry in ledger.jobs.items()
        if job_id not in ledger.active
        and entry.finished_s
        and now_s - entry.finished_s > kept_s * KEPT_FACTOR
    ]
    records: list[Record] = []
    for entry in expired[:MAX_JOBS_AT_ONCE]:
        records += _records_of(entry)
    return records


def _records_of(entry: JobState) -> list[Record]:
    """Return empty records of a job's keys; the job itself goes last."""
    job_id = entry.job.id
    keys = [StepKey(job_id, *step).record_key for step in entry.steps]
    if entry.cancelled:
        keys.append(CANCEL_PREFIX + job_id)
    keys.append(JOB_PREFIX + job_id)
    return [Record(key, b"") for key in keys]


__all__ = ["expired_records"]
