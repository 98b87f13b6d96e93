"""What the dispatch decisions are taken on, and what they are."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from ....protocol.job import ZERO_AMOUNTS, ResourceAmounts

if TYPE_CHECKING:
    from ....protocol.job import Job, Step
    from ....state.job_table import StepKey

CORES_PER_ACCELERATOR = 8
"""Cores that an accelerator counts as where work is weighed; from RULES, "Prices"."""


def core_equivalents(need: ResourceAmounts) -> float:
    """Return the cores that a need counts as, accelerators included."""
    return need.millicores / 1000 + CORES_PER_ACCELERATOR * need.accelerators


@dataclass(slots=True)
class UpstreamView:
    """An upstream that may get starts.

    Attributes
    ----------
    free : Amounts
        Neither in use, nor promised to an earlier job of this round.
    leaving : Amounts
        In use by runs that are being stopped.
    penalty : int
        Upstreams with a lower penalty are preferred.
    holds_dear_work : bool
        Whether it runs work that would be lost at a stop, and is not urgent.
    speed : float
        Against the mean of all.
    serves, fills : bool
        Whether it runs serving tasks, and filling ones that would disturb them.
    """

    key: str
    zone: str
    rack: str
    group: str
    labels: frozenset[str]
    capacity: ResourceAmounts
    free: ResourceAmounts
    leaving: ResourceAmounts = ZERO_AMOUNTS
    penalty: int = 0
    holds_dear_work: bool = False
    speed: float = 1.0
    serves: bool = False
    fills: bool = False


@dataclass(frozen=True, slots=True)
class RunningUnit:
    """A task, or all of a gang, that runs and could be stopped.

    Attributes
    ----------
    places : tuple of str
        Upstream of each open task.
    cost : float
        Core seconds of work that are lost when it is stopped now.
    left_s : float
        How long it probably still runs.
    """

    step: StepKey
    indices: tuple[int, ...]
    places: tuple[str, ...]
    need: ResourceAmounts
    priority: int
    workspace: str
    cost: float
    within_guarantee: bool = False
    left_s: float = float("inf")


@dataclass(slots=True)
class WaitingStep:
    """A step whose turn has come, with tasks that wait for a place.

    Attributes
    ----------
    indices : list of int
        The waiting tasks; all tasks of a gang wait together.
    placed : dict
        Number of its tasks on each upstream.
    waited_s : float
        Since its turn has come.
    slack_s : float
        Until the job can no longer finish within its objective.
    within_guarantee : bool
        Whether its workspace's guarantee covers it.
    avoid : frozenset of str
        Upstreams where its tasks failed, used last.
    shun : frozenset of str
        Upstreams where its tasks failed repeatedly, not used.
    is_last : bool
        Whether one more failure fails the job.
    """

    key: StepKey
    job: Job
    step: Step
    indices: list[int]
    placed: dict[str, int]
    waited_s: float
    slack_s: float
    within_guarantee: bool = False
    avoid: frozenset[str] = frozenset()
    shun: frozenset[str] = frozenset()
    is_last: bool = False

    @property
    def is_urgent(self) -> bool:
        """Whether its job may stop those of other priorities at once."""
        return self.job.priority == 0

    @property
    def is_dear(self) -> bool:
        """Whether its work would be lost at a stop, and may be stopped for others."""
        return not self.step.checkpoints and not self.is_urgent

    @property
    def work(self) -> float:
        """Core seconds that its waiting tasks are estimated to take."""
        cores = core_equivalents(self.step.need)
        return cores * self.step.estimate_ms / 1000 * len(self.indices)


class Placement(NamedTuple):
    """A task to start on an upstream."""

    step: StepKey
    index: int
    upstream: str


@dataclass(slots=True)
class Plan:
    """Decisions of one round.

    Attributes
    ----------
    stops : dict
        Units to stop, by their step and first index, with the reason.
    """

    starts: list[Placement] = field(default_factory=list)
    stops: list[tuple[RunningUnit, str]] = field(default_factory=list)


__all__ = [
    "CORES_PER_ACCELERATOR",
    "Placement",
    "Plan",
    "RunningUnit",
    "UpstreamView",
    "WaitingStep",
    "core_equivalents",
]
