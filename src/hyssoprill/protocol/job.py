"""Durable jobs: ordered steps of tasks, as stored when they are accepted."""

from __future__ import annotations

from typing import NamedTuple

from msgspec import Struct


class ResourceAmounts(NamedTuple):
    """Amounts of each resource of an upstream, or what a task needs."""

    accelerators: int = 0
    millicores: int = 0
    memory_mb: int = 0

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

    def fit_count(self, need: ResourceAmounts, most: int) -> int:
        """Return how many times `need` fits into this vector, up to `most`."""
        for have, one in zip(self, need, strict=True):
            if one > 0:
                most = min(most, have // one)
            elif have < 0:
                return 0
        return max(most, 0)

    def covers(self, need: ResourceAmounts) -> bool:
        """Tell whether `need` fits into this vector."""
        return self[0] >= need[0] and self[1] >= need[1] and self[2] >= need[2]


ZERO_AMOUNTS = ResourceAmounts()


class Step(Struct, frozen=True, omit_defaults=True):
    """Tasks of a job that may run beside one another.

    Attributes
    ----------
    after : tuple of int
        Earlier steps whose tasks must all be done first.
    gang : bool
        Whether the tasks work only while all of them run.
    rack_sensitive : bool
        Whether the tasks are slower on more than one rack.
    label : str
        Label that the upstream must have, or ''.
    data_rack : str
        Rack beside whose data the tasks are fast, or ''.
    max_per_upstream : int
        Most tasks of the step on one upstream; 0 for any number.
    long_running : bool
        Whether the tasks run until the job is cancelled.
    target_ms : int
        Response time that the tasks, which serve users of their own, have to keep;
        0 for others.
    fills : bool
        Whether the tasks may disturb serving ones on the same upstream.
    may_miss : int
        Most tasks of the step that stops may keep from work at a time; 0 for any
        number.
    """

    count: int = 1
    need: ResourceAmounts = ZERO_AMOUNTS
    estimate_ms: int = 0
    after: tuple[int, ...] = ()
    checkpoints: bool = False
    gang: bool = False
    rack_sensitive: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_upstream: int = 0
    speculative: bool = False
    long_running: bool = False
    target_ms: int = 0
    fills: bool = False
    may_miss: int = 0


class Job(Struct, frozen=True, omit_defaults=True):
    """An accepted job with the terms of its queue at that time.

    Attributes
    ----------
    group : str
        The group of upstreams that runs its tasks.
    accepted_ms : int
        Time of day in milliseconds since 1970, by the accepting entry.
    times : int
        How often the steps run; 0 for once and at once.
    """

    id: str
    queue: str
    group: str
    workspace: str
    priority: int
    max_attempts: int
    stretch: float
    target_latency_ms: int
    accepted_ms: int
    payload: str
    steps: tuple[Step, ...]
    times: int = 0
    start_at_ms: int = 0
    interval_ms: int = 0

    @property
    def occurrences(self) -> int:
        """How often the steps run."""
        return max(self.times, 1)

    def due_ms(self, occurrence: int) -> int:
        """Return the time of day from which an occurrence may start."""
        if not self.times:
            return 0
        return self.start_at_ms + occurrence * self.interval_ms


def task_name(job_id: str, occurrence: int, step: int, index: int) -> str:
    """Return the name of a task, unique among all jobs."""
    return f"{job_id}.{occurrence}.{step}.{index}"


__all__ = ["ZERO_AMOUNTS", "Job", "ResourceAmounts", "Step", "task_name"]
