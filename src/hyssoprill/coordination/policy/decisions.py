"""Decisions of the scheduler, and the jobs that they are about."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...protocol.request import JobSpec
    from ...state.pool import Placement


@dataclass(frozen=True, slots=True)
class Start:
    """Start a waiting job at a place, in a guaranteed cell or beyond ('')."""

    job_id: str
    place: Placement
    cell: str


@dataclass(frozen=True, slots=True)
class Revoke:
    """Checkpoint and stop a running job; cut it when the grace is over."""

    job_id: str
    grace_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Tell the caller that a job can never run."""

    job_id: str
    code: str
    reason: str


Decision = Start | Revoke | Refuse


@dataclass(slots=True)
class WaitingJob:
    """A job that waits for a place.

    Attributes
    ----------
    submitted_s : float
        When it came first; a revoked job keeps it.
    excluded : frozenset of str
        Upstreams on which it failed.
    avoided : frozenset of str
        Upstreams that were not vacated for it in time.
    code, reason : str
        Why it waits.
    """

    spec: JobSpec
    submitted_s: float
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()
    rank: float = 0.0
    code: str = "queued"
    reason: str = "not yet considered"


@dataclass(slots=True)
class RunningJob:
    """A job that occupies a place."""

    spec: JobSpec
    place: Placement
    cell: str
    started_s: float
    submitted_s: float
    checkpoint_s: float
    stopping: bool = False
    rank: float = 0.0

    @property
    def is_revocable(self) -> bool:
        """Whether it may be stopped for the sake of a guarantee."""
        return self.spec.idempotent and not self.cell


@dataclass(slots=True)
class PendingStart:
    """A job that starts once the jobs in its place have stopped."""

    job: WaitingJob
    place: Placement
    cell: str
    deadline_s: float
    victims: set[str] = field(default_factory=set)


__all__ = [
    "Decision",
    "PendingStart",
    "Refuse",
    "Revoke",
    "RunningJob",
    "Start",
    "WaitingJob",
]
