"""Durable jobs: steps of tasks with dependencies, as stored when they are accepted."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from msgspec import Meta, Struct

from .bounds import Count, Quantity, SignedCount, Text

MAX_TASKS_PER_STEP = 1000
"""Limit per step, as all of a step's tasks may change in one round."""
MAX_STEPS = 1000
MAX_OCCURRENCES = 10_000
"""Limit per job, as the planner goes through all occurrences that are due."""

TaskCount = Annotated[int, Meta(ge=1, le=MAX_TASKS_PER_STEP)]
Occurrences = Annotated[int, Meta(ge=0, le=MAX_OCCURRENCES)]
JobId = Annotated[str, Meta(pattern=r"^[0-9A-Za-z_-]{1,64}\Z")]


class ResourceAmounts(NamedTuple):
    """Vector of resource amounts that an upstream has or a task needs."""

    accelerators: Count = 0
    millicores: Count = 0
    memory_mb: Count = 0

    def plus(self, other: ResourceAmounts, times: int = 1) -> ResourceAmounts:
        """Return the sum with `times` times another vector."""
        return ResourceAmounts(
            self[0] + other[0] * times,
            self[1] + other[1] * times,
            self[2] + other[2] * times,
        )

    def minus(self, other: ResourceAmounts, times: int = 1) -> ResourceAmounts:
        """Return the difference from `times` times another vector."""
        return self.plus(other, -times)

    def fit_count(self, need: ResourceAmounts, limit: int) -> int:
        """Return how many times `need` fits into this vector, up to `limit`.

        0 if a resource that is not needed is overcommitted.
        """
        for available, needed in zip(self, need, strict=True):
            if needed > 0:
                fits = available // needed
                if fits < limit:
                    limit = fits
            elif available < 0:
                return 0
        return limit if limit > 0 else 0

    def covers(self, need: ResourceAmounts) -> bool:
        """Tell whether `need` fits into this vector."""
        return self[0] >= need[0] and self[1] >= need[1] and self[2] >= need[2]


ZERO_AMOUNTS = ResourceAmounts()


class Step(Struct, frozen=True, omit_defaults=True):
    """Tasks of a job that may run at the same time.

    Attributes
    ----------
    count : int
        Number of tasks.
    need : ResourceAmounts
        Resources that each task needs.
    estimate_ms : int
        Estimated run time of a task.
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    checkpoints : bool
        Whether a stopped task can resume from a checkpoint.
    gang : bool
        Whether the tasks make progress only while all of them run.
    rack_sensitive : bool
        Whether the tasks are slower when they run on more than one rack.
    label : str
        Label that the upstream must have, '' for none.
    data_rack : str
        Rack that holds the tasks' data, near which they are fast; '' for none.
    max_per_upstream : int
        Maximum number of the step's tasks on one upstream; 0 for no limit.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    target_ms : int
        Response time target of tasks that serve requests; 0 for other tasks.
    fills : bool
        Whether the tasks may slow down serving ones on the same upstream.
    may_miss : int
        Maximum number of the step's tasks that may be kept from work by stops at a
        time; 0 for no limit.
    """

    count: TaskCount = 1
    need: ResourceAmounts = ZERO_AMOUNTS
    estimate_ms: Count = 0
    after: tuple[Count, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    label: Text = ""
    data_rack: Text = ""
    max_per_upstream: Count = 0
    speculative: bool = False
    long_running: bool = False
    target_ms: Count = 0
    fills: bool = False
    may_miss: Count = 0


class Job(Struct, frozen=True, omit_defaults=True):
    """An accepted job with the settings of its queue at that time.

    Attributes
    ----------
    group : str
        The group of upstreams that runs its tasks.
    stretch : float
        Factor on the estimated run time that the job's objective allows.
    target_latency_ms : int
        Time that the objective allows beyond that.
    accepted_ms : int
        When it was accepted, in milliseconds since 1970 by the accepting entry's clock.
    payload : str
        What the tasks are to do, passed to the upstreams unchanged.
    times : int
        Number of times that the steps run; 0 for once and at once.
    start_at_ms : int
        Start of the first occurrence in milliseconds since 1970, if `times` is set.
    interval_ms : int
        Time between the starts of two occurrences.
    """

    id: JobId
    queue: str
    group: str
    workspace: str
    priority: SignedCount
    max_attempts: Count
    stretch: Quantity
    target_latency_ms: Count
    accepted_ms: Count
    payload: str
    steps: Annotated[tuple[Step, ...], Meta(min_length=1, max_length=MAX_STEPS)]
    times: Occurrences = 0
    start_at_ms: Count = 0
    interval_ms: Count = 0

    def __post_init__(self) -> None:
        for number, step in enumerate(self.steps):
            if any(one >= number for one in step.after):
                raise ValueError(f"step {number} waits for itself or a later one")

    @property
    def occurrences(self) -> int:
        """Number of times that the steps run."""
        return max(self.times, 1)

    def due_ms(self, occurrence: int) -> int:
        """Return when an occurrence may start, in milliseconds since 1970."""
        if not self.times:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task, which is unique among all jobs."""
    return f"{job_id}.{occurrence}.{step}.{index}"


def parse_job_id(task: str) -> str:
    """Return the job's id from a task's name."""
    return task.partition(".")[0]


__all__ = [
    "MAX_STEPS",
    "ZERO_AMOUNTS",
    "Job",
    "Occurrences",
    "ResourceAmounts",
    "Step",
    "TaskCount",
    "parse_job_id",
    "task_name",
]
