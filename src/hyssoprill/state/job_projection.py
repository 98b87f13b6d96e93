"""Fold of the log into long jobs, claims of idempotency keys and outcomes."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, Any

import msgspec
from msgspec import Struct

from ..protocol.outcome import Outcome
from ..protocol.request import JobSpec

if TYPE_CHECKING:
    from ..transport.platform_log import StoredRecord

JOB_STREAM = "job"
CLAIM_STREAM = "claim"
OUTCOME_STREAM = "outcome"
CANCEL_STREAM = "cancel"
MAX_ENDED = 20_000
MAX_CLAIMS = 100_000


class StoredJob(Struct, frozen=True):
    """A long job as kept in the log."""

    spec: JobSpec
    work: Any
    owner: str


class Claim(Struct, frozen=True):
    """Right of one run of one entry to start a job that may not be repeated."""

    job_id: str
    holder: str


class StoredOutcome(Struct, frozen=True):
    """End of a job as kept in the log."""

    job_id: str
    workspace: str
    outcome: Outcome


class Cancellation(Struct, frozen=True):
    """A caller's wish that a long job ends."""

    job_id: str
    workspace: str


class JobProjection:
    """Long jobs that have not ended, claims, and outcomes.

    Attributes
    ----------
    open_jobs : dict
        Long jobs by id.
    """

    def __init__(self) -> None:
        self.open_jobs: dict[str, StoredJob] = {}
        self.claims: OrderedDict[str, str] = OrderedDict()
        self.outcomes: OrderedDict[str, StoredOutcome] = OrderedDict()
        self.cancelled: set[str] = set()

    def apply(self, record: StoredRecord) -> str | None:
        """Take in a record; return the id of the job that it changes, if any."""
        try:
            return self._apply(record)
        except msgspec.ValidationError:
            return None

    def _apply(self, record: StoredRecord) -> str | None:
        if record.stream == JOB_STREAM:
            return self._add(msgspec.convert(record.body, StoredJob))
        if record.stream == CLAIM_STREAM:
            claim = msgspec.convert(record.body, Claim)
            self.claims.setdefault(claim.job_id, claim.holder)
            _trim(self.claims, MAX_CLAIMS)
            return claim.job_id
        if record.stream == OUTCOME_STREAM:
            return self._end(msgspec.convert(record.body, StoredOutcome))
        if record.stream == CANCEL_STREAM:
            return self._cancel(msgspec.convert(record.body, Cancellation))
        return None

    def _add(self, job: StoredJob) -> str:
        if job.spec.id not in self.outcomes:
            self.open_jobs.setdefault(job.spec.id, job)
        return job.spec.id

    def _end(self, ended: StoredOutcome) -> str:
        """Keep an outcome; one that did not run gives its claim back instead."""
        is_long_job = ended.job_id in self.open_jobs
        if ended.outcome.status == "not_run" and not is_long_job:
            self.claims.pop(ended.job_id, None)
            return ended.job_id
        self.outcomes.setdefault(ended.job_id, ended)
        self.open_jobs.pop(ended.job_id, None)
        self.cancelled.discard(ended.job_id)
        _trim(self.outcomes, MAX_ENDED)
        return ended.job_id

    def _cancel(self, wish: Cancellation) -> str:
        job = self.open_jobs.get(wish.job_id)
        if job is not None and job.spec.workspace == wish.workspace:
            self.cancelled.add(wish.job_id)
        return wish.job_id


def _trim(table: OrderedDict[str, Any], limit: int) -> None:
    while len(table) > limit:
        table.popitem(last=False)


__all__ = [
    "CANCEL_STREAM",
    "CLAIM_STREAM",
    "JOB_STREAM",
    "OUTCOME_STREAM",
    "Cancellation",
    "Claim",
    "JobProjection",
    "StoredJob",
    "StoredOutcome",
]
