"""The scheduler's decisions, and its records of waiting, pending and running jobs."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...protocol.request import JobSpec
    from ...state.pool import Placement


@dataclass(frozen=True, slots=True)
class Start:
    """Start a waiting job at a place; `cell` is empty for an opportunistic start."""

    job_id: str
    place: Placement
    cell: str


@dataclass(frozen=True, slots=True)
class Revoke:
    """Checkpoint and stop a running job; terminate it when the grace period is over."""

    job_id: str
    grace_s: float
    reason: str


@dataclass(frozen=True, slots=True)
class Refuse:
    """Refuse a job: it can never run, or its workspace's queue is full."""

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
        Time of the first submission, which a revoked job keeps.
    excluded : frozenset of str
        Upstreams on which the job failed and may not start again.
    avoided : frozenset of str
        Upstreams that were not vacated for it in time, used only as a last resort.
    code, reason : str
        Code and text that tell why the job waits.
    """

    spec: JobSpec
    submitted_s: float
    excluded: frozenset[str] = frozenset()
    avoided: frozenset[str] = frozenset()
    rank: float = 0.0
    code: str = "queued"
    reason: str = "not yet considered for placement"


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
        """Whether the job may be stopped to make room for another one."""
        return self.spec.idempotent and not self.cell


@dataclass(slots=True)
class PendingStart:
    """A job that starts once its victims have stopped and vacated its place."""

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
