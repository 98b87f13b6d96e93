"""Deletes the records of finished jobs from the store after their retention time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...ports.store import Record
from ...state.job_table import CANCEL_PREFIX, JOB_PREFIX

if TYPE_CHECKING:
    from ...state.job_table import JobState, JobTable

MAX_JOBS_PER_CALL = 50
RETENTION_FACTOR = 1.5
"""Jobs are kept longer than promised, as other entries saw them end at other times."""


def expired_records(job_table: JobTable, retention_s: float) -> list[Record]:
    """Return records that delete some of the jobs whose retention time is over.

    Parameters
    ----------
    retention_s : float
        Promised retention time after the end of a job.
    """
    now_s = boottime_s()
    expired = [
        job_state
        for job_id, job_state in job_table.jobs.items()
        if job_id not in job_table.active
        and job_state.finished_s
        and now_s - job_state.finished_s > retention_s * RETENTION_FACTOR
    ]
    records: list[Record] = []
    for job_state in expired[:MAX_JOBS_PER_CALL]:
        records += _deletions_of(job_state)
    return records


def _deletions_of(job_state: JobState) -> list[Record]:
    """Return an empty record for each key of a job; the job's own key comes first.

    Where they take several appends, a job without its steps would be started again.
    """
    job_id = job_state.job.id
    keys = [JOB_PREFIX + job_id]
    if job_state.cancelled:
        keys.append(CANCEL_PREFIX + job_id)
    keys += sorted(job_state.record_keys)
    return [Record(key, b"") for key in keys]


__all__ = ["expired_records"]
