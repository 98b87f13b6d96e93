"""State machine: an agent grants what it may, and never starts a buried member."""

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
    """Orders come late, twice, and for other versions and incarnations."""

    def __init__(self) -> None:
        super().__init__()
        self.table = LeaseTable(CAPACITY)
        self.rules = GrantConditions("run-1", 1, False, True)
        self.now_s = 100.0
        self.over: set[tuple[str, int]] = set()

    @rule(
        key=st.sampled_from(ORDERS),
        age_s=st.sampled_from([0.0, 0.9, 1.1, 5.0]),
        newer=st.sampled_from([-1, 0, 0, 1]),
        incarnation=st.sampled_from(["run-0", "run-1"]),
        accelerators=st.sampled_from([0, 1, 3]),
    )
    def order(
        self,
        key: tuple[str, int],
        age_s: float,
        newer: int,
        incarnation: str,
        accelerators: int,
    ) -> None:
        spec = JobSpec(key[0].partition("~")[0], "crews", Shape(2, accelerators))
        tick = self.now_s - age_s
        version = self.rules.bundle_version + newer
        order = StartOrder(*key, 2, spec, "", incarnation, tick, version, b"")
        held = key in self.table.leases
        granted, code = self.table.process_order(order, self.rules, self.now_s)
        if code == "granted":
            assert not held
            assert key not in self.over
            assert age_s <= MAX_ORDER_AGE_S
            assert version == self.rules.bundle_version
            assert incarnation == self.rules.incarnation
            assert self.rules.accepting
            assert not self.rules.zone_is_out
        if not granted:
            self.over.add(key)

    @rule(index=st.integers(0, 7), ran=st.booleans(), done=st.booleans())
    def end(self, index: int, ran: bool, done: bool) -> None:
        keys = sorted(self.table.leases)
        if keys:
            key = keys[index % len(keys)]
            self.table.release(key, ran=ran, done=ran and done)
            self.over.add(key)

    @rule(key=st.sampled_from(ORDERS))
    def stop_before_it_came(self, key: tuple[str, int]) -> None:
        if key not in self.table.leases:
            self.table.add_tombstone(key, ran=False)
            self.over.add(key)

    @rule(seconds=st.sampled_from([0.1, 1.0, 4.0]))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @rule(zone_is_out=st.booleans(), accepting=st.booleans())
    def change(self, zone_is_out: bool, accepting: bool) -> None:
        version = self.rules.bundle_version + (zone_is_out != self.rules.zone_is_out)
        self.rules = GrantConditions("run-1", version, zone_is_out, accepting)

    @rule(attempt=st.sampled_from([key[0] for key in ORDERS]))
    def hear_that_gang_is_whole(self, attempt: str) -> None:
        self.table.confirm_gangs([attempt], self.now_s)

    @invariant()
    def leases_fit(self) -> None:
        assert all(amount >= 0 for amount in self.table.free)

    @invariant()
    def lost_gangs_are_told(self) -> None:
        for lease in self.table.leases.values():
            known_s = max(lease.gang_confirmed_s, lease.granted_s)
            lost = self.now_s - known_s > GANG_LEASE_S
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
def test_order_is_refused_for_good_when_wrong(change: dict, code: str) -> None:
    table = LeaseTable(CAPACITY)
    rules = GrantConditions("run-1", 1, False, True)
    right = make_order()
    wrong = msgspec.structs.replace(right, **change)
    assert table.process_order(wrong, rules, 100.0) == (False, code)
    assert table.process_order(right, rules, 100.0) == (False, "tombstone")


def test_order_is_refused_when_zone_is_out_or_worker_leaves() -> None:
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
