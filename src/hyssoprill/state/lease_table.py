"""Leases that an agent grants on its upstream, and members that may not start there.

Only the agent grants leases on its upstream. Every start order is checked here against
the agent's own clock, its bundle and its capacity.
"""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Literal

from ..protocol.messages import GangMember, Lease
from .pool import ZERO_RESOURCES

if TYPE_CHECKING:
    from ..protocol.messages import StartOrder
    from ..protocol.shape import Resources

MAX_ORDER_AGE_S = 1.0
"""An order based on an older reading of the agent's clock is refused."""
HOLD_TTL_S = 3.0
"""A gang member that holds its lease for longer gives up waiting for the others."""
GANG_LEASE_S = 3.0
"""A gang that was not confirmed complete for longer is taken for incomplete."""
MAX_TOMBSTONES = 20_000

MemberKey = tuple[str, int]
Phase = Literal["held", "running", "stopping"]


@dataclass(slots=True)
class HeldLease:
    """A granted lease of one member, as its agent keeps it.

    Attributes
    ----------
    granted_s : float
        The agent's time at which the lease was granted.
    owner : str
        The entry that sent the order.
    gang_confirmed_s : float
        The agent's time as of which the gang was last confirmed complete.
    stop_grace_s : float or None
        Grace period of the stop that was ordered, None before.
    changed : asyncio.Event
        Set when a stop is ordered or the gang is confirmed complete.
    """

    order: StartOrder
    granted_s: float
    owner: str = ""
    phase: Phase = "held"
    gang_confirmed_s: float = float("-inf")
    stop_grace_s: float | None = None
    stop_reason: str = ""
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def stop(self, grace_s: float, reason: str) -> bool:
        """Order the member to stop; return False if a stop was ordered before."""
        if self.stop_grace_s is not None:
            return False
        self.stop_grace_s = grace_s
        self.stop_reason = reason
        self.changed.set()
        return True

    @property
    def key(self) -> MemberKey:
        """Attempt and index of the member."""
        return self.order.attempt, self.order.index

    @property
    def is_gang(self) -> bool:
        """Whether the member belongs to a gang, so that it needs others to run."""
        return self.order.size > 1

    def has_lost_gang(self, now_s: float) -> bool:
        """Tell whether a gang was not confirmed complete for `GANG_LEASE_S`."""
        since = max(self.gang_confirmed_s, self.granted_s)
        return self.is_gang and now_s - since > GANG_LEASE_S


@dataclass(slots=True)
class GrantConditions:
    """The agent's state at the time of an order, which decides on a lease.

    Attributes
    ----------
    zone_is_out : bool
        Whether the agent's availability zone is taken out of service.
    accepting : bool
        Whether the agent accepts new work.
    """

    incarnation: str
    bundle_version: int
    zone_is_out: bool
    accepting: bool


@dataclass(slots=True)
class LeaseTable:
    """Leases and tombstones of one upstream.

    Attributes
    ----------
    revision : int
        Rises with each change of the leases or their phases.
    """

    capacity: Resources = ZERO_RESOURCES
    leases: dict[MemberKey, HeldLease] = field(default_factory=dict)
    revision: int = 0
    _done_members: dict[MemberKey, HeldLease] = field(default_factory=dict)
    _tombstones: OrderedDict[MemberKey, bool] = field(default_factory=OrderedDict)

    def process_order(
        self,
        order: StartOrder,
        conditions: GrantConditions,
        now_s: float,
        *,
        owner: str = "",
    ) -> tuple[bool, str]:
        """Grant or refuse an order; a refusal leaves a tombstone.

        Returns
        -------
        granted : bool
            Whether the member holds a lease, or held one and has ended.
        code : str
            `granted`, `repeat` for a member that holds a lease already, `ended` for
            one that ran and has ended, or the reason of the refusal.
        """
        key = (order.attempt, order.index)
        if key in self.leases:
            return True, "repeat"
        if self.has_ended(key):
            return True, "ended"
        code = self._refusal(order, conditions, now_s)
        if code:
            self.add_tombstone(key, ran=False)
            return False, code
        self.leases[key] = HeldLease(order, now_s, owner)
        self.revision += 1
        return True, "granted"

    def add_tombstone(self, key: MemberKey, *, ran: bool) -> None:
        """Add a tombstone, so that the member can never start here again.

        `ran` says whether the member ran here; it stays true once it is.
        """
        self._tombstones[key] = self._tombstones.get(key, False) or ran
        self._tombstones.move_to_end(key)
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def has_tombstone(self, key: MemberKey) -> bool:
        """Tell whether a member has a tombstone and can never start here again."""
        return key in self._tombstones

    def has_ended(self, key: MemberKey) -> bool:
        """Tell whether a member ran here and has ended."""
        return self._tombstones.get(key, False)

    def adopt(self, lease: HeldLease) -> None:
        """Add a lease that was found on the worker after the agent restarted."""
        self.leases.setdefault(lease.key, lease)
        self.revision += 1

    def set_phase(self, lease: HeldLease, phase: Phase) -> None:
        """Set the phase of a lease."""
        if lease.phase != phase:
            lease.phase = phase
            self.revision += 1

    def release(self, key: MemberKey, *, ran: bool, done: bool = False) -> None:
        """Remove a lease and add a tombstone for its member.

        A gang member that is done stays listed until its whole gang has ended, so that
        the others do not take it for lost.
        """
        lease = self.leases.pop(key, None)
        if lease is not None:
            self.revision += 1
            if done and lease.is_gang:
                self._done_members[key] = lease
        self.add_tombstone(key, ran=ran)

    def confirm_gangs(self, attempts: list[str], as_of_s: float) -> None:
        """Record that gangs were complete when this agent's clock showed `as_of_s`."""
        confirmed = set(attempts)
        for lease in (*self.leases.values(), *self._done_members.values()):
            if lease.order.attempt in confirmed:
                lease.gang_confirmed_s = max(lease.gang_confirmed_s, as_of_s)
                lease.changed.set()

    @property
    def free(self) -> Resources:
        """Capacity that no lease occupies."""
        free = self.capacity
        for lease in self.leases.values():
            free = free.minus(lease.order.spec.shape.need)
        return free

    def gang_members(self, now_s: float) -> list[GangMember]:
        """Return the gang members that hold a lease, run, or are done before others.

        Members that are being stopped are left out, and those that are done once their
        gang is no longer confirmed complete.
        """
        for key, lease in list(self._done_members.items()):
            if lease.has_lost_gang(now_s):
                del self._done_members[key]
        unfinished = [
            _gang_member(lease, done=False)
            for lease in self.leases.values()
            if lease.is_gang and lease.phase != "stopping"
        ]
        return unfinished + [
            _gang_member(lease, done=True) for lease in self._done_members.values()
        ]

    def inventory(self, now_s: float) -> list[Lease]:
        """Return all leases in the form that is sent to entries."""
        return [
            Lease(
                lease.order.attempt,
                lease.order.index,
                lease.order.spec,
                lease.order.size,
                lease.order.cell,
                now_s - lease.granted_s,
                lease.phase,
            )
            for lease in self.leases.values()
        ]

    def _refusal(
        self, order: StartOrder, conditions: GrantConditions, now_s: float
    ) -> str:
        """Return the reason to refuse an order, or '' to grant it."""
        if self.has_tombstone((order.attempt, order.index)):
            return "tombstone"
        if order.incarnation != conditions.incarnation:
            return "wrong_incarnation"
        if now_s - order.agent_clock_s > MAX_ORDER_AGE_S:
            return "late_order"
        if order.bundle_version != conditions.bundle_version:
            return "other_bundle"
        if conditions.zone_is_out:
            return "availability_zone_out"
        if not conditions.accepting:
            return "not_accepting"
        if self.free.fit_count(order.spec.shape.need) < 1:
            return "no_room"
        return ""


def _gang_member(lease: HeldLease, *, done: bool) -> GangMember:
    order = lease.order
    return GangMember(order.attempt, order.index, order.size, done)


__all__ = [
    "GANG_LEASE_S",
    "HOLD_TTL_S",
    "MAX_ORDER_AGE_S",
    "GrantConditions",
    "HeldLease",
    "LeaseTable",
    "MemberKey",
]
