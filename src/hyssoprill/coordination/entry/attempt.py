"""Runs one attempt of a job: orders its members and tracks how each one ends."""

from __future__ import annotations

import asyncio
import hashlib
import time
from dataclasses import dataclass
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Literal

import msgspec

from ...protocol.messages import (
    MemberResult,
    Message,
    StartOrder,
    StartReply,
    StopOrder,
    StopReply,
)
from .membership import LEASE_LAPSE_S

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from ...protocol.messages import AnyMessage, MemberPlacement, PlacementGrant
    from ...protocol.request import JobSpec
    from .membership import Membership

RESEND_INTERVAL_S = 0.25
GRANT_TIMEOUT_S = 1.5
"""An attempt whose members do not all hold leases by then is stopped."""
MISSING_LEASE_S = 3.0
"""A granted member is lost once its agent has not listed its lease for this long."""

Phase = Literal["ordered", "granted", "never_ran", "ended", "lost"]
_OPEN_PHASES = ("ordered", "granted")


@dataclass(slots=True)
class Member:
    """One member of an attempt, and what is proven about it.

    Attributes
    ----------
    lease_seen_s : float
        When it was last known to hold a lease, 0 before the grant.
    """

    placement: MemberPlacement
    phase: Phase = "ordered"
    result: MemberResult | None = None
    code: str = ""
    lease_seen_s: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether its end is still unknown."""
        return self.phase in _OPEN_PHASES


class Attempt:
    """Sends orders to the agents of all members and collects replies and results.

    Parameters
    ----------
    attempt_id : str
        Unique over all entries.
    spec : JobSpec
        The job.
    placements : dict of int to MemberPlacement
        Place of each member, by its index.
    inbox : asyncio.Queue
        Replies and results for the job.
    send : callable
        Sends a message to a named process.
    """

    def __init__(
        self,
        attempt_id: str,
        spec: JobSpec,
        placements: dict[int, MemberPlacement],
        inbox: asyncio.Queue[AnyMessage],
        send: Callable[[str, AnyMessage], Awaitable[bool]],
        membership: Membership,
    ) -> None:
        self.id = attempt_id
        self._spec = spec
        self.members = {
            index: Member(placement) for index, placement in placements.items()
        }
        self._inbox = inbox
        self._send = send
        self._membership = membership
        self._stop_order: StopOrder | None = None

    async def start(self, grant: PlacementGrant, work: bytes) -> None:
        """Order all members to start, and wait until all hold their leases.

        If any member gets no lease, the whole attempt is stopped.
        """
        deadline_s = time.monotonic() + GRANT_TIMEOUT_S
        while self._unconfirmed():
            for index, member in self._unconfirmed():
                await self._send(
                    member.placement.upstream,
                    self._start_order(index, member.placement, grant, work),
                )
            await self._receive(
                RESEND_INTERVAL_S, until=lambda: not self._unconfirmed()
            )
            if any(not member.is_open for member in self.members.values()):
                break
            if time.monotonic() > deadline_s:
                break
        if any(member.phase != "granted" for member in self.members.values()):
            await self.stop(0.0, "attempt_incomplete")

    def assume_granted(self) -> None:
        """Mark all members as granted, for an attempt that another owner started."""
        for member in self.members.values():
            member.phase = "granted"
            member.lease_seen_s = time.monotonic()

    async def stop(self, grace_s: float, reason: str) -> None:
        """Order all open members to stop; later calls resend the first order."""
        if self._stop_order is None:
            self._stop_order = StopOrder(self.id, 0, grace_s, reason)
        await self._send_stops()

    async def finish(self) -> None:
        """Wait until each member has ended or is lost."""
        while any(member.is_open for member in self.members.values()):
            await self.process_messages(RESEND_INTERVAL_S)

    async def process_messages(self, wait_s: float) -> None:
        """Handle messages for at most `wait_s`, then look for lost members.

        Stops the attempt once one of its members has failed, is lost or never ran.
        """
        await self._receive(wait_s, until=self._is_over)
        self._mark_lost_members()
        if self._has_failed_member() and self._stop_order is None:
            await self.stop(0.5, "member_ended")
        elif self._stop_order is not None:
            await self._send_stops()

    @property
    def is_over(self) -> bool:
        """Whether each member has ended or is lost."""
        return self._is_over()

    def _is_over(self) -> bool:
        return not any(member.is_open for member in self.members.values())

    def _unconfirmed(self) -> list[tuple[int, Member]]:
        return [(i, one) for i, one in self.members.items() if one.phase == "ordered"]

    def _start_order(
        self, index: int, placement: MemberPlacement, grant: PlacementGrant, work: bytes
    ) -> StartOrder:
        return StartOrder(
            self.id,
            index,
            len(self.members),
            self._spec,
            grant.cell,
            placement.incarnation,
            placement.agent_clock_s,
            grant.bundle_version,
            work,
        )

    async def _receive(self, wait_s: float, until: Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + wait_s
        while not until():
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                return
            try:
                message = await asyncio.wait_for(self._inbox.get(), left_s)
            except TimeoutError:
                return
            self._handle(message)

    @singledispatchmethod
    def _handle(self, message: Message) -> None:
        """Apply a message to its member; those of other attempts are ignored."""

    @_handle.register
    def _(self, message: StartReply) -> None:
        member = self._open_member(message.attempt, message.index)
        if member is None or member.phase != "ordered":
            return
        member.code = message.code
        if message.granted:
            member.phase = "granted"
            member.lease_seen_s = time.monotonic()
        elif message.code == "unproven":
            member.phase = "lost"
        else:
            member.phase = "never_ran"

    @_handle.register
    def _(self, message: StopReply) -> None:
        member = self._open_member(message.attempt, message.index)
        if member is None:
            return
        if message.state == "never_started":
            member.phase = "never_ran"
        elif message.state == "unproven":
            member.phase = "lost"

    @_handle.register
    def _(self, message: MemberResult) -> None:
        member = self._open_member(message.attempt, message.index)
        if member is None or not _matches_digest(message):
            return
        member.result = message
        member.code = message.outcome.code
        member.phase = "ended" if message.ran else "never_ran"

    def _open_member(self, attempt: str, index: int) -> Member | None:
        """Return an open member, or None for ended members and other attempts."""
        member = self.members.get(index) if attempt == self.id else None
        return member if member is not None and member.is_open else None

    async def _send_stops(self) -> None:
        for index, member in self.members.items():
            if member.is_open:
                order = msgspec.structs.replace(self._stop_order, index=index)
                await self._send(member.placement.upstream, order)

    def _has_failed_member(self) -> bool:
        """Return whether a member never ran, is lost, or ended other than done."""
        return any(
            member.phase in ("never_ran", "lost")
            or (member.result is not None and member.result.outcome.status != "done")
            for member in self.members.values()
        )

    def _mark_lost_members(self) -> None:
        """Mark members lost whose agent is silent or no longer lists their lease."""
        now_s = time.monotonic()
        for index, member in self.members.items():
            if not member.is_open:
                continue
            agent = self._membership.agents.get(member.placement.upstream)
            if agent is None or agent.silence_s > LEASE_LAPSE_S:
                member.phase = "lost"
                continue
            has_lease = any(
                lease.attempt == self.id and lease.index == index
                for lease in agent.leases
            )
            if has_lease:
                member.lease_seen_s = now_s
            elif member.lease_seen_s and now_s - member.lease_seen_s > MISSING_LEASE_S:
                member.phase = "lost"


def _matches_digest(result: MemberResult) -> bool:
    """Return whether a result's answer matches its digest."""
    answer = msgspec.json.encode(result.outcome.answer)
    return hashlib.sha256(answer).hexdigest() == result.digest


__all__ = ["Attempt", "Member"]
