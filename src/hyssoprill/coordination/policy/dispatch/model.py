"""Inputs and results of the dispatch policy."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ....protocol.job import ZERO_AMOUNTS, ResourceAmounts
from .caller_costs import NO_STAKE

if TYPE_CHECKING:
    from ....protocol.job import Job, Step
    from ....state.job_table import StepKey
    from .caller_costs import CallerStake

CORES_PER_ACCELERATOR = 8
"""Cores that one accelerator counts as when work is measured; from RULES, "Prices"."""


def core_equivalents(need: ResourceAmounts) -> float:
    """Return the cores of a demand, with accelerators converted to cores."""
    return need.millicores / 1000 + CORES_PER_ACCELERATOR * need.accelerators


@dataclass(slots=True)
class UpstreamView:
    """An upstream that accepts starts, with its capacity during a round.

    Attributes
    ----------
    free : ResourceAmounts
        Neither in use nor reserved for an earlier step of this round.
    releasing : ResourceAmounts
        In use by runs that are being stopped, and not yet reserved.
    penalty : int
        Recent failures that count against it; lower is preferred.
    hosts_costly_work : bool
        Whether it runs work that is costly to preempt: without checkpoints, so that a
        stop loses it, and not urgent, so that it may be stopped.
    speed : float
        Relative to the mean of all upstreams.
    loss_rate : float
        Expected losses per second; 0 while nobody counts them.
    trouble : float
        Expected losses by the trouble under way in its pool.
    has_serving_tasks, has_filling_tasks : bool
        Whether it runs serving tasks, and filling tasks that would disturb them.
    is_idle : bool
        Whether it runs nothing.
    starting_jobs : set of str
        Jobs with runs there that it has not listed yet.
    starting_suspects : set of str
        Those of them whose runs may crash it.
    """

    key: str
    zone: str
    rack: str
    group: str
    labels: frozenset[str]
    capacity: ResourceAmounts
    free: ResourceAmounts
    releasing: ResourceAmounts = ZERO_AMOUNTS
    penalty: int = 0
    hosts_costly_work: bool = False
    speed: float = 1.0
    has_serving_tasks: bool = False
    has_filling_tasks: bool = False
    is_idle: bool = True
    starting_jobs: set[str] = field(default_factory=set)
    starting_suspects: set[str] = field(default_factory=set)
    loss_rate: float = 0.0
    trouble: float = 0.0


@dataclass(frozen=True, slots=True)
class RunningUnit:
    """A running task, or all running tasks of a gang, as one unit of preemption.

    Attributes
    ----------
    upstreams : tuple of str
        Upstream of each task, in the order of `indices`.
    cost : float
        Work in core seconds that is lost if the unit is stopped now.
    remaining_s : float
        Expected remaining run time.
    likely_remaining_s : float
        Time within which it has most likely ended, where its progress does not tell;
        else 0.
    earlier_stops : int
        How often the unit was stopped before.
    has_checkpoints : bool
        Whether it resumes where it was when it was last saved.
    stake : CallerStake
        What the job is worth to its caller, as the unit runs on.
    """

    step: StepKey
    indices: tuple[int, ...]
    upstreams: tuple[str, ...]
    need: ResourceAmounts
    priority: int
    workspace: str
    cost: float
    within_guarantee: bool = False
    remaining_s: float = float("inf")
    likely_remaining_s: float = 0.0
    earlier_stops: int = 0
    has_checkpoints: bool = False
    stake: CallerStake = NO_STAKE

    @property
    def cores(self) -> float:
        """Cores that all its tasks take, with accelerators converted to cores."""
        return core_equivalents(self.need) * len(self.indices)


@dataclass(slots=True)
class WaitingStep:
    """A step that is ready to run and has tasks to place.

    Attributes
    ----------
    indices : list of int
        The waiting tasks; all tasks of a gang wait together.
    tasks_per_upstream : dict
        Number of its tasks on each upstream.
    waited_s : float
        Time since the step became ready.
    slack_s : float
        Time until the job can no longer finish within its objective.
    expected_s : float
        Expected run time of one of its tasks.
    within_guarantee : bool
        Whether its workspace's guarantee covers the job.
    deprioritized_upstreams : frozenset of str
        Upstreams on which the job failed, used last.
    excluded_upstreams : frozenset of str
        Upstreams on which the job failed repeatedly, not used.
    is_last_attempt : bool
        Whether one more failure fails the job.
    is_suspect : bool
        Whether upstreams have crashed as they started its tasks.
    awaits_room : bool
        Whether runs were stopped for it a short time ago.
    share_bucket : int
        How far its workspace is above its share; 0 if it is not.
    stake : CallerStake
        What the job is worth to its caller.
    """

    key: StepKey
    job: Job
    step: Step
    indices: list[int]
    tasks_per_upstream: dict[str, int]
    waited_s: float
    slack_s: float
    expected_s: float
    within_guarantee: bool = False
    deprioritized_upstreams: frozenset[str] = frozenset()
    excluded_upstreams: frozenset[str] = frozenset()
    is_last_attempt: bool = False
    is_suspect: bool = False
    awaits_room: bool = False
    share_bucket: int = 0
    stake: CallerStake = NO_STAKE

    @property
    def is_urgent(self) -> bool:
        """Whether the job has the highest priority and may preempt others at once."""
        return self.job.priority == 0

    @property
    def is_costly_to_preempt(self) -> bool:
        """Whether a stop would lose its work, and others may preempt it."""
        return not self.step.checkpoints and not self.is_urgent

    @property
    def work_core_s(self) -> float:
        """Expected work of its waiting tasks in core seconds."""
        return core_equivalents(self.step.need) * self.expected_s * len(self.indices)


class Placement(NamedTuple):
    """A task to start on an upstream."""

    step: StepKey
    index: int
    upstream: str


class HeldStep(NamedTuple):
    """A step that waits for trouble to pass.

    Attributes
    ----------
    chance : float
        Chance that the trouble under way would break it.
    left_s : float
        For this long it is held at most.
    """

    step: StepKey
    chance: float
    slack_s: float
    left_s: float


@dataclass(slots=True)
class Plan:
    """The starts and stops that one round decided on.

    Attributes
    ----------
    stops : list of tuple
        Units to stop, each with the reason for the log.
    preempting : list of StepKey
        Steps for which they are stopped.
    held : list of HeldStep
        Steps that wait although they may fit.
    """

    starts: list[Placement] = field(default_factory=list)
    stops: list[tuple[RunningUnit, str]] = field(default_factory=list)
    preempting: list[StepKey] = field(default_factory=list)
    held: list[HeldStep] = field(default_factory=list)


__all__ = [
    "CORES_PER_ACCELERATOR",
    "HeldStep",
    "Placement",
    "Plan",
    "RunningUnit",
    "UpstreamView",
    "WaitingStep",
    "core_equivalents",
]
