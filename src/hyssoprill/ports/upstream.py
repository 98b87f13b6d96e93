"""Port of one upstream: the program that runs tasks on a VM."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

from ..protocol.job import ZERO_AMOUNTS, ResourceAmounts

if TYPE_CHECKING:
    from ..protocol.upstream_messages import EndReport, RunOrder, RunReport


@dataclass(frozen=True, slots=True)
class CheckIn:
    """What an upstream says of itself.

    Attributes
    ----------
    born_ms : int
        Start of this lifetime, in milliseconds since 1970.
    number : int
        Rises with each check-in of a lifetime.
    remaining_ms : int
        Least time that a draining upstream stays; -1 where not told.
    """

    id: str
    started_ms: int
    sequence: int
    address: str
    group: str
    zone: str
    draining: bool
    capacity: ResourceAmounts = ZERO_AMOUNTS
    labels: tuple[str, ...] = ()
    remaining_ms: int = -1

    def says_the_same(self, other: CheckIn) -> bool:
        """Tell whether nothing differs that the planner acts on."""
        return (
            self.draining == other.draining
            and self.capacity == other.capacity
            and self.labels == other.labels
            and self.group == other.group
            and self.zone == other.zone
        )


@dataclass(frozen=True, slots=True)
class RunListing:
    """What an upstream runs and what has ended there.

    Attributes
    ----------
    clock_ms : int
        The upstream's own clock at the answer.
    born_ms : int
        Start of the lifetime that answered, 0 where not told.
    """

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    started_ms: int = 0

    def shows_running(self, task: str, run: int) -> bool:
        """Tell whether a run is listed as present."""
        return any((row.task, row.run) == (task, run) for row in self.running)

    def shows_ended(self, task: str, run: int) -> bool:
        """Tell whether the end of a run is listed."""
        return any((row.task, row.run) == (task, run) for row in self.ended)


RUN_ALREADY_ENDED = "has run"
"""Reason of a refusal where the run, or a later one of its task, has ended there."""


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Answer to a start: accepted, or refused for a reason."""

    accepted: bool
    reason: str


class UpstreamPort(Protocol):
    """One lifetime of an upstream.

    All calls raise `UpstreamGoneError` where another lifetime answers,
    `UpstreamUnreachedError` where nothing was sent, and any other
    `UpstreamSilentError` where no usable answer came; the call may then be carried out
    seconds later.
    """

    async def start(
        self, order: RunOrder, *, term: int, lease_until_ms: int, timeout_s: float
    ) -> StartAnswer:
        """Start a run; also accepted where it runs already."""
        ...

    async def stop(self, task: str, run: int, *, term: int, timeout_s: float) -> bool:
        """Stop a run, or make sure that it never starts; False where refused."""
        ...

    async def renew_lease(
        self,
        *,
        term: int,
        stored_upto: int,
        lease_until_ms: int | None,
        wait_s: float,
        timeout_s: float,
    ) -> RunListing:
        """Extend the lease of all runs and list them."""
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


__all__ = ["RUN_ALREADY_ENDED", "CheckIn", "RunListing", "StartAnswer", "UpstreamPort"]
