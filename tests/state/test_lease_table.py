"""Lease table: grants only valid orders, and never starts a member with a tombstone."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from hyssoprill.protocol.messages import StartOrder
from hyssoprill.protocol.request import JobSpec
from hyssoprill.protocol.shape import Resources, Shape
from hyssoprill.state.lease_table import (
    GANG_LEASE_S,
    MAX_ORDER_AGE_S,
    GrantConditions,
    LeaseTable,
)

CAPACITY = Resources(4, 4, 16, 64)
ORDERS = [(f"job-{number}~a", index) for number in range(4) for index in (0, 1)]


class LeaseTableMachine(RuleBasedStateMachine):
    """Start orders arrive late, twice, and for other versions and incarnations."""

    def __init__(self) -> None:
        super().__init__()
        self.table = LeaseTable(CAPACITY)
        self.conditions = GrantConditions("run-1", 1, False, True)
        self.now_s = 100.0
        # Members that were refused or have ended, so that they may not start.
        self.barred: set[tuple[str, int]] = set()

    @rule(
        key=st.sampled_from(ORDERS),
        age_s=st.sampled_from([0.0, 0.9, 1.1, 5.0]),
        version_offset=st.sampled_from([-1, 0, 0, 1]),
        incarnation=st.sampled_from(["run-0", "run-1"]),
        accelerators=st.sampled_from([0, 1, 3]),
    )
    def order(
        self,
        key: tuple[str, int],
        age_s: float,
        version_offset: int,
        incarnation: str,
        accelerators: int,
    ) -> None:
        spec = JobSpec(key[0].partition("~")[0], "crews", Shape(2, accelerators))
        clock_s = self.now_s - age_s
        version = self.conditions.bundle_version + version_offset
        order = StartOrder(*key, 2, spec, "", incarnation, clock_s, version, b"")
        held = key in self.table.leases
        granted, code = self.table.process_order(order, self.conditions, self.now_s)
        if code == "granted":
            assert not held
            assert key not in self.barred
            assert age_s <= MAX_ORDER_AGE_S
            assert version == self.conditions.bundle_version
            assert incarnation == self.conditions.incarnation
            assert self.conditions.accepting
            assert not self.conditions.zone_is_out
        if not granted:
            self.barred.add(key)

    @rule(index=st.integers(0, 7), ran=st.booleans(), done=st.booleans())
    def release(self, index: int, ran: bool, done: bool) -> None:
        keys = sorted(self.table.leases)
        if keys:
            key = keys[index % len(keys)]
            self.table.release(key, ran=ran, done=ran and done)
            self.barred.add(key)

    @rule(key=st.sampled_from(ORDERS))
    def stop_before_order(self, key: tuple[str, int]) -> None:
        if key not in self.table.leases:
            self.table.add_tombstone(key, ran=False)
            self.barred.add(key)

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(zone_is_out=st.booleans(), accepting=st.booleans())
    def change_conditions(self, zone_is_out: bool, accepting: bool) -> None:
        version = self.conditions.bundle_version + (
            zone_is_out != self.conditions.zone_is_out
        )
        self.conditions = GrantConditions("run-1", version, zone_is_out, accepting)

    @rule(attempt=st.sampled_from([key[0] for key in ORDERS]))
    def confirm_gang(self, attempt: str) -> None:
        self.table.confirm_gangs([attempt], self.now_s)

    @invariant()
    def leases_fit_capacity(self) -> None:
        assert all(amount >= 0 for amount in self.table.free)

    @invariant()
    def lost_gangs_are_detected(self) -> None:
        for lease in self.table.leases.values():
            confirmed_s = max(lease.gang_confirmed_s, lease.granted_s)
            lost = self.now_s - confirmed_s > GANG_LEASE_S
            assert lease.has_lost_gang(self.now_s) == lost


TestLeaseTableMachine = LeaseTableMachine.TestCase


@pytest.mark.parametrize(
    ("change", "code"),
    [
        ({"agent_clock_s": 98.9}, "late_order"),
        ({"bundle_version": 0}, "other_bundle"),
        ({"incarnation": "run-0"}, "wrong_incarnation"),
        ({"spec": JobSpec("job", "crews", Shape(1, 5))}, "no_room"),
    ],
)
def test_refused_member_stays_refused(change: dict, code: str) -> None:
    """A valid order for the same member is refused after an invalid one."""
    table = LeaseTable(CAPACITY)
    conditions = GrantConditions("run-1", 1, False, True)
    valid = make_order()
    invalid = msgspec.structs.replace(valid, **change)
    assert table.process_order(invalid, conditions, 100.0) == (False, code)
    assert table.process_order(valid, conditions, 100.0) == (False, "tombstone")


def test_order_is_refused_if_zone_is_out_or_agent_does_not_accept() -> None:
    table = LeaseTable(CAPACITY)
    out = GrantConditions("run-1", 1, True, True)
    assert table.process_order(make_order(), out, 100.0) == (
        False,
        "availability_zone_out",
    )
    leaving = GrantConditions("run-1", 1, False, False)
    order = make_order(index=1)
    assert table.process_order(order, leaving, 100.0) == (False, "not_accepting")


def make_order(index: int = 0) -> StartOrder:
    spec = JobSpec("job", "crews", Shape(1, 1))
    return StartOrder("job~1", index, 2, spec, "", "run-1", 100.0, 1, b"")
