"""Port of one upstream, the program that runs tasks on a VM."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING, Protocol

from ..protocol.job import ZERO_AMOUNTS, ResourceAmounts

if TYPE_CHECKING:
    from ..protocol.upstream_messages import EndReport, RunOrder, RunReport


@dataclass(frozen=True, slots=True)
class CheckIn:
    """An upstream's description of itself.

    Attributes
    ----------
    started_ms : int
        Start of this incarnation of the upstream, in milliseconds since 1970.
    sequence : int
        Increases with each check-in of an incarnation.
    remaining_ms : int
        Minimum time that a draining upstream stays; -1 if unknown.
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

    def has_same_state(self, other: CheckIn) -> bool:
        """Tell whether two check-ins agree on everything that the planner acts on."""
        return (
            self.draining == other.draining
            and self.capacity == other.capacity
            and self.labels == other.labels
            and self.group == other.group
            and self.zone == other.zone
        )


@dataclass(frozen=True, slots=True)
class RunListing:
    """The running and ended runs of an upstream.

    Attributes
    ----------
    clock_ms : int
        The upstream's own clock when it answered.
    started_ms : int
        Start of the incarnation that answered; 0 if unknown.
    """

    clock_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]
    started_ms: int = 0

    def with_unstored_ends(
        self, previous: RunListing | None, stored_upto: int
    ) -> RunListing:
        """Return this listing with all ends of the previous one that are not stored.

        A renewal that was sent to an earlier incarnation and is executed late
        acknowledges ends by their number, which counts anew on this one.
        """
        listed = {row.number for row in self.ended}
        missing = [
            row
            for row in (previous.ended if previous is not None else ())
            if row.number > stored_upto and row.number not in listed
        ]
        return replace(self, ended=(*missing, *self.ended)) if missing else self

    @property
    def runs(self) -> set[tuple[str, int]]:
        """Task and number of all listed runs."""
        return {(row.task, row.run) for row in (*self.running, *self.ended)}

    def lists_running(self, task: str, run: int) -> bool:
        """Tell whether a run is listed as running."""
        return any((row.task, row.run) == (task, run) for row in self.running)

    def lists_ended(self, task: str, run: int) -> bool:
        """Tell whether a run is listed as ended."""
        return any((row.task, row.run) == (task, run) for row in self.ended)


RUN_ALREADY_ENDED = "has run"
"""Reason of a refused start: the run, or a later run of its task, has ended there."""


@dataclass(frozen=True, slots=True)
class StartAnswer:
    """Answer to a start: accepted, or refused with a reason."""

    accepted: bool
    reason: str


class UpstreamPort(Protocol):
    """Interface of one incarnation of an upstream, from its start to its end.

    All calls raise `UpstreamGoneError` if another incarnation answers,
    `UpstreamUnreachedError` if nothing was sent, and any other `UpstreamSilentError` if
    no usable answer arrived; the call may then still be executed seconds later.
    `renew_lease` raises `UpstreamFencedError` if the upstream has seen a higher term,
    and has done nothing then.
    """

    async def start(
        self, order: RunOrder, *, term: int, lease_until_ms: int, timeout_s: float
    ) -> StartAnswer:
        """Start a run; a run that is already running is accepted again."""
        ...

    async def stop(self, task: str, run: int, *, term: int, timeout_s: float) -> bool:
        """Stop a run, or prevent it from ever starting; return False if refused."""
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
        """Extend the lease of all runs, and list running and ended runs.

        Parameters
        ----------
        stored_upto : int
            Ends up to this number are stored, so the upstream may forget them.
        lease_until_ms : int or None
            Expiry of the lease on the upstream's clock; None extends nothing.
        wait_s : float
            How long the upstream may wait for a change before it answers.
        """
        ...

    def close(self) -> None:
        """Close all connections."""
        ...


__all__ = ["RUN_ALREADY_ENDED", "CheckIn", "RunListing", "StartAnswer", "UpstreamPort"]
