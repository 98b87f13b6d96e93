"""Leases that an agent has granted on its upstream, and its refusals.

The agent alone grants; every check of an order against its own clock, bundle and
capacity is made here.
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
HOLD_TTL_S = 3.0
GANG_LEASE_S = 3.0
MAX_TOMBSTONES = 20_000

MemberKey = tuple[str, int]
Phase = Literal["held", "running", "stopping"]


@dataclass(slots=True)
class HeldLease:
    """A lease as its agent keeps it.

    Attributes
    ----------
    whole_s : float
        The agent's time as of which the gang was last known to be whole.
    changed : asyncio.Event
        Set when a stop was ordered or the gang became whole.
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
        """Order the member to stop; return False where it was ordered before."""
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
        """Whether other members are needed for it to run."""
        return self.order.size > 1

    def has_lost_gang(self, now_s: float) -> bool:
        """Tell whether the gang has not been known whole for one lease."""
        since = max(self.gang_confirmed_s, self.granted_s)
        return self.is_gang and now_s - since > GANG_LEASE_S


@dataclass(slots=True)
class GrantConditions:
    """What the agent knows at the moment of an order."""

    incarnation: str
    bundle_version: int
    zone_is_out: bool
    accepting: bool


@dataclass(slots=True)
class LeaseTable:
    """Leases and tombstones of one upstream."""

    capacity: Resources = ZERO_RESOURCES
    leases: dict[MemberKey, HeldLease] = field(default_factory=dict)
    revision: int = 0
    _done: dict[MemberKey, HeldLease] = field(default_factory=dict)
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
            Whether the member holds a lease now.
        code : str
            `granted`, `repeat`, or why not.
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
        """Leave a tombstone, so that the member can never start here again."""
        self._tombstones[key] = self._tombstones.get(key, False) or ran
        self._tombstones.move_to_end(key)
        while len(self._tombstones) > MAX_TOMBSTONES:
            self._tombstones.popitem(last=False)

    def has_tombstone(self, key: MemberKey) -> bool:
        """Tell whether a member can never start here again."""
        return key in self._tombstones

    def has_ended(self, key: MemberKey) -> bool:
        """Tell whether a member ran here and has ended."""
        return self._tombstones.get(key, False)

    def adopt(self, lease: HeldLease) -> None:
        """Take over a lease found on the worker after a restart."""
        self.leases.setdefault(lease.key, lease)
        self.revision += 1

    def set_phase(self, lease: HeldLease, phase: Phase) -> None:
        """Move a lease to another phase."""
        if lease.phase != phase:
            lease.phase = phase
            self.revision += 1

    def release(self, key: MemberKey, *, ran: bool, done: bool = False) -> None:
        """Drop a lease; the member can never start here again.

        A gang member that is done stays listed until its whole gang has ended.
        """
        lease = self.leases.pop(key, None)
        if lease is not None:
            self.revision += 1
            if done and lease.is_gang:
                self._done[key] = lease
        self.add_tombstone(key, ran=ran)

    def confirm_gangs(self, attempts: list[str], as_of_s: float) -> None:
        """Note that gangs were whole when this agent's clock showed `as_of_s`."""
        known = set(attempts)
        for lease in (*self.leases.values(), *self._done.values()):
            if lease.order.attempt in known:
                lease.gang_confirmed_s = max(lease.gang_confirmed_s, as_of_s)
                lease.changed.set()

    @property
    def free(self) -> Resources:
        """Resources without a lease."""
        left = self.capacity
        for lease in self.leases.values():
            left = left.minus(lease.order.spec.shape.need)
        return left

    def gang_members(self, now_s: float) -> list[GangMember]:
        """Return the gang members that are held, run, or done beside running ones."""
        for key, lease in list(self._done.items()):
            if lease.has_lost_gang(now_s):
                del self._done[key]
        open_seats = [
            _seat(lease, done=False)
            for lease in self.leases.values()
            if lease.is_gang and lease.phase != "stopping"
        ]
        return open_seats + [_seat(lease, done=True) for lease in self._done.values()]

    def inventory(self, now_s: float) -> list[Lease]:
        """Return all leases as other processes see them."""
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

    def _refusal(self, order: StartOrder, rules: GrantConditions, now_s: float) -> str:
        if self.has_tombstone((order.attempt, order.index)):
            return "tombstone"
        if order.incarnation != rules.incarnation:
            return "wrong_incarnation"
        if now_s - order.agent_clock_s > MAX_ORDER_AGE_S:
            return "late_order"
        if order.bundle_version != rules.bundle_version:
            return "other_bundle"
        if rules.zone_is_out:
            return "availability_zone_out"
        if not rules.accepting:
            return "not_accepting"
        if self.free.fit_count(order.spec.shape.need) < 1:
            return "no_room"
        return ""


def _seat(lease: HeldLease, *, done: bool) -> GangMember:
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
