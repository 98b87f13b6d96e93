"""The question where a job would go now, and its answer."""

from __future__ import annotations

from typing import Annotated

from msgspec import Meta, Struct

from .bounds import Text
from .job import MAX_STEPS, Step
from .message import Message

MAX_NAMED_UPSTREAMS = 20
"""Upstreams and stops that an answer names for a step; the others are counted."""

STARTS_NOW = "starts now"
AFTER_STOPS = "starts after stops"
WAITS = "waits"
AFTER_STEPS = "after earlier steps"
NEVER = "never"


class JobDraft(Struct, frozen=True, forbid_unknown_fields=True):
    """A job that is asked about, in the product's own terms.

    Attributes
    ----------
    workspace, queue : str
        Names in the operator's config.
    """

    workspace: Text
    queue: Text
    steps: Annotated[tuple[Step, ...], Meta(min_length=1, max_length=MAX_STEPS)]


class StepPlacement(Struct, frozen=True):
    """Where the tasks of a step would go.

    Attributes
    ----------
    step : int
        Number of the step.
    state : str
        `STARTS_NOW`, `AFTER_STOPS`, `WAITS`, `AFTER_STEPS` or `NEVER`.
    reason : str
        What it waits for, or why it never runs; '' if it starts.
    tasks, placed : int
        Its tasks, and how many of them start in the next round.
    upstreams : dict
        Number of tasks by upstream, the first `MAX_NAMED_UPSTREAMS` of them.
    stops : list of str
        Steps of which runs would be stopped.
    start_s, end_s : float or None
        Expected seconds until it starts and until it ends; None if unknown.
    """

    step: int
    state: str
    reason: str
    tasks: int
    placed: int = 0
    upstreams: dict[str, int] = {}
    stops: list[str] = []
    start_s: float | None = None
    end_s: float | None = None


class JobPlacement(Struct, frozen=True):
    """Where a job would go now.

    Attributes
    ----------
    planner : str
        The entry that has answered, and its term.
    state_age_s : float
        Seconds since the stored state was read.
    refused : str
        Why the job would be refused; '' if it would be accepted.
    parts : list of str
        Decisions under hard load that are in force.
    """

    planner: str
    term: int
    state_age_s: float
    refused: str
    parts: list[str]
    within_guarantee: bool
    steps: list[StepPlacement]


class PlacementQuery(Message):
    """Asks the planner where a job would go."""

    token: str
    draft: JobDraft


class PlacementAnswer(Message):
    """Answers a `PlacementQuery`: an encoded `JobPlacement`, or an error.

    Attributes
    ----------
    code : str
        Code of the error; '' if there is none.
    """

    token: str
    body: bytes
    code: str = ""
    message: str = ""


__all__ = [
    "AFTER_STEPS",
    "AFTER_STOPS",
    "MAX_NAMED_UPSTREAMS",
    "NEVER",
    "STARTS_NOW",
    "WAITS",
    "JobDraft",
    "JobPlacement",
    "PlacementAnswer",
    "PlacementQuery",
    "StepPlacement",
]
