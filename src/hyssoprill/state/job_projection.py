"""Projection of the log onto long jobs, claims of idempotency keys and outcomes."""

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
MAX_OUTCOMES = 20_000
MAX_CLAIMS = 100_000


class StoredJob(Struct, frozen=True):
    """A long job as stored in the log.

    Attributes
    ----------
    work : object
        The payload that the worker gets.
    owner : str
        Incarnation of the entry that accepted the job.
    """

    spec: JobSpec
    work: Any
    owner: str


class Claim(Struct, frozen=True):
    """Exclusive right of one entry to start a job that is not idempotent.

    Attributes
    ----------
    holder : str
        Incarnation of the entry that holds the claim.
    """

    job_id: str
    holder: str


class StoredOutcome(Struct, frozen=True):
    """Outcome of a job as stored in the log."""

    job_id: str
    workspace: str
    outcome: Outcome


class Cancellation(Struct, frozen=True):
    """A caller's request to cancel a long job."""

    job_id: str
    workspace: str


class JobProjection:
    """Long jobs that have not ended, claims and outcomes, as read from the log.

    Attributes
    ----------
    open_jobs : dict
        Long jobs without an outcome, by id.
    claims : OrderedDict
        Holders of claims by job id; the first claim of a job counts.
    outcomes : OrderedDict
        Outcomes by job id; the first one of a job counts.
    cancelled : set of str
        Ids of open jobs that are to be cancelled.
    """

    def __init__(self) -> None:
        self.open_jobs: dict[str, StoredJob] = {}
        self.claims: OrderedDict[str, str] = OrderedDict()
        self.outcomes: OrderedDict[str, StoredOutcome] = OrderedDict()
        self.cancelled: set[str] = set()

    def apply(self, record: StoredRecord) -> str | None:
        """Apply a record; return the id of the job that it concerns, if any.

        A record that cannot be decoded is ignored.
        """
        try:
            return self._apply(record)
        except msgspec.ValidationError:
            return None

    def _apply(self, record: StoredRecord) -> str | None:
        if record.stream == JOB_STREAM:
            return self._add_job(msgspec.convert(record.body, StoredJob))
        if record.stream == CLAIM_STREAM:
            claim = msgspec.convert(record.body, Claim)
            self.claims.setdefault(claim.job_id, claim.holder)
            _drop_oldest(self.claims, MAX_CLAIMS)
            return claim.job_id
        if record.stream == OUTCOME_STREAM:
            return self._add_outcome(msgspec.convert(record.body, StoredOutcome))
        if record.stream == CANCEL_STREAM:
            return self._cancel_job(msgspec.convert(record.body, Cancellation))
        return None

    def _add_job(self, job: StoredJob) -> str:
        if job.spec.id not in self.outcomes:
            self.open_jobs.setdefault(job.spec.id, job)
        return job.spec.id

    def _add_outcome(self, ended: StoredOutcome) -> str:
        """Store an outcome and close its job.

        `not_run` of a request releases its claim instead, so that the request can be
        sent again with the same key.
        """
        is_long_job = ended.job_id in self.open_jobs
        if ended.outcome.status == "not_run" and not is_long_job:
            self.claims.pop(ended.job_id, None)
            return ended.job_id
        self.outcomes.setdefault(ended.job_id, ended)
        self.open_jobs.pop(ended.job_id, None)
        self.cancelled.discard(ended.job_id)
        _drop_oldest(self.outcomes, MAX_OUTCOMES)
        return ended.job_id

    def _cancel_job(self, request: Cancellation) -> str:
        """Mark an open job as cancelled if the request names its workspace."""
        job = self.open_jobs.get(request.job_id)
        if job is not None and job.spec.workspace == request.workspace:
            self.cancelled.add(request.job_id)
        return request.job_id


def _drop_oldest(table: OrderedDict[str, Any], limit: int) -> None:
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
