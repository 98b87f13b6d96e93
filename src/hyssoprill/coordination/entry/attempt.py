"""One attempt to run a job: orders to all members, and what became of each."""

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
MISSING_LEASE_S = 3.0

Phase = Literal["ordered", "granted", "never_ran", "ended", "lost"]
_OPEN_PHASES = ("ordered", "granted")


@dataclass(slots=True)
class Member:
    """One member of the attempt and the proof of its state."""

    seat: MemberPlacement
    phase: Phase = "ordered"
    result: MemberResult | None = None
    code: str = ""
    granted_s: float = 0.0

    @property
    def is_open(self) -> bool:
        """Whether its end is still to come."""
        return self.phase in _OPEN_PHASES


class Attempt:
    """Sends orders to the agents of all members and collects their ends.

    Parameters
    ----------
    attempt_id : str
        Unique over all entries.
    spec : JobSpec
        The job.
    seats : list of Seat
        Place of each member.
    inbox : asyncio.Queue
        Replies and results for the job.
    send : callable
        Sends a message to a named process.
    """

    def __init__(
        self,
        attempt_id: str,
        spec: JobSpec,
        seats: dict[int, MemberPlacement],
        inbox: asyncio.Queue[AnyMessage],
        send: Callable[[str, AnyMessage], Awaitable[bool]],
        membership: Membership,
    ) -> None:
        self.id = attempt_id
        self._spec = spec
        self.members = {index: Member(seat) for index, seat in seats.items()}
        self._inbox = inbox
        self._send = send
        self._membership = membership
        self._stop: StopOrder | None = None

    async def start(self, grant: PlacementGrant, work: bytes) -> None:
        """Order all members to start, and wait until all hold their leases.

        Where one does not, the others are told to stop.
        """
        deadline_s = time.monotonic() + GRANT_TIMEOUT_S
        while self._ordered():
            for index, member in self._ordered():
                await self._send(
                    member.seat.upstream, self._order(index, member.seat, grant, work)
                )
            await self._collect(RESEND_INTERVAL_S, until=lambda: not self._ordered())
            if any(not member.is_open for member in self.members.values()):
                break
            if time.monotonic() > deadline_s:
                break
        if any(member.phase != "granted" for member in self.members.values()):
            await self.stop(0.0, "attempt_incomplete")

    def follow(self) -> None:
        """Take the members as granted, for an attempt that is found running."""
        for member in self.members.values():
            member.phase = "granted"
            member.granted_s = time.monotonic()

    async def stop(self, grace_s: float, reason: str) -> None:
        """Tell all open members to stop."""
        if self._stop is None:
            self._stop = StopOrder(self.id, 0, grace_s, reason)
        await self._send_stops()

    async def finish(self) -> None:
        """Wait until the end of each member is known or it is lost."""
        while any(member.is_open for member in self.members.values()):
            await self.advance(RESEND_INTERVAL_S)

    async def advance(self, wait_s: float) -> None:
        """Take in what comes within a time, and look for lost members."""
        await self._collect(wait_s, until=self._is_over)
        self._find_lost()
        if self._has_failed_member() and self._stop is None:
            await self.stop(0.5, "member_ended")
        elif self._stop is not None:
            await self._send_stops()

    @property
    def is_over(self) -> bool:
        """Whether the end of each member is known."""
        return self._is_over()

    def _is_over(self) -> bool:
        return not any(member.is_open for member in self.members.values())

    def _ordered(self) -> list[tuple[int, Member]]:
        return [(i, one) for i, one in self.members.items() if one.phase == "ordered"]

    def _order(
        self, index: int, seat: MemberPlacement, grant: PlacementGrant, work: bytes
    ) -> StartOrder:
        return StartOrder(
            self.id,
            index,
            len(self.members),
            self._spec,
            grant.cell,
            seat.incarnation,
            seat.agent_clock_s,
            grant.bundle_version,
            work,
        )

    async def _collect(self, wait_s: float, until: Callable[[], bool]) -> None:
        deadline_s = time.monotonic() + wait_s
        while not until():
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                return
            try:
                message = await asyncio.wait_for(self._inbox.get(), left_s)
            except TimeoutError:
                return
            self._take(message)

    @singledispatchmethod
    def _take(self, message: Message) -> None:
        """Take in a message; those of other attempts are dropped."""

    @_take.register
    def _(self, message: StartReply) -> None:
        member = self._member(message.attempt, message.index)
        if member is None or member.phase != "ordered":
            return
        member.code = message.code
        if message.granted:
            member.phase = "granted"
            member.granted_s = time.monotonic()
        elif message.code == "unproven":
            member.phase = "lost"
        else:
            member.phase = "never_ran"

    @_take.register
    def _(self, message: StopReply) -> None:
        member = self._member(message.attempt, message.index)
        if member is None:
            return
        if message.state == "never_started":
            member.phase = "never_ran"
        elif message.state == "unproven":
            member.phase = "lost"

    @_take.register
    def _(self, message: MemberResult) -> None:
        member = self._member(message.attempt, message.index)
        if member is None or not _is_whole(message):
            return
        member.result = message
        member.code = message.outcome.code
        member.phase = "ended" if message.ran else "never_ran"

    def _member(self, attempt: str, index: int) -> Member | None:
        """Return an open member of this attempt."""
        member = self.members.get(index) if attempt == self.id else None
        return member if member is not None and member.is_open else None

    async def _send_stops(self) -> None:
        for index, member in self.members.items():
            if member.is_open:
                order = msgspec.structs.replace(self._stop, index=index)
                await self._send(member.seat.upstream, order)

    def _has_failed_member(self) -> bool:
        """Tell whether a gang lost a member before its end."""
        return any(
            member.phase in ("never_ran", "lost")
            or (member.result is not None and member.result.outcome.status != "done")
            for member in self.members.values()
        )

    def _find_lost(self) -> None:
        """Mark members whose agent is silent, or has no lease for them any more."""
        now_s = time.monotonic()
        for index, member in self.members.items():
            if not member.is_open:
                continue
            agent = self._membership.agents.get(member.seat.upstream)
            if agent is None or agent.silence_s > LEASE_LAPSE_S:
                member.phase = "lost"
                continue
            held = any(
                lease.attempt == self.id and lease.index == index
                for lease in agent.leases
            )
            if held:
                member.granted_s = now_s
            elif member.granted_s and now_s - member.granted_s > MISSING_LEASE_S:
                member.phase = "lost"


def _is_whole(result: MemberResult) -> bool:
    """Tell whether a result's answer matches its digest."""
    answer = msgspec.json.encode(result.outcome.answer)
    return hashlib.sha256(answer).hexdigest() == result.digest


__all__ = ["Attempt", "Member"]
