from __future__ import annotations

import pytest

from hyssoprill.coordination.planner import fleet as fleet_module
from hyssoprill.coordination.planner.fleet import Fleet
from hyssoprill.coordination.upstream.planner_grant import LEASE_EXPIRY_S
from hyssoprill.protocol.upstream_messages import UpstreamReport, VmReport

KEY = "vm-1|10.0.0.1:80|100|i-1"


class Clock:
    def __init__(self) -> None:
        self.now_s = 1000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def clock(monkeypatch) -> Clock:
    clock = Clock()
    monkeypatch.setattr(fleet_module, "boottime_s", clock)
    return clock


def report(
    fleet: Fleet,
    *keys: str,
    gone: tuple[str, ...] = (),
    last: tuple[UpstreamReport, ...] = (),
    **fields,
) -> None:
    upstreams = [UpstreamReport(key, "g", "z", True, **fields) for key in keys]
    vm = fleet.apply_report(VmReport("vm-1", 1.0, 1, upstreams, list(gone), list(last)))
    vm.last_grant_s = vm.last_contact_s


def test_lease_of_an_unknown_upstream_lapses_from_the_start_of_the_term(clock):
    fleet = Fleet()
    clock.now_s += LEASE_EXPIRY_S - 0.1
    assert fleet.end_reason(KEY) == ""
    clock.now_s += 0.2
    assert fleet.end_reason(KEY) == "lapsed"


def test_lease_of_a_silent_upstream_lapses_from_its_last_grant(clock):
    fleet = Fleet()
    clock.now_s += 5.0
    report(fleet, KEY)
    clock.now_s += LEASE_EXPIRY_S - 0.1
    assert fleet.end_reason(KEY) == ""
    clock.now_s += 0.2
    assert fleet.end_reason(KEY) == "lapsed"


def test_call_in_doubt_delays_the_lapse_of_a_silent_upstream(clock):
    fleet = Fleet()
    report(fleet, KEY, lease_uncertainty_s=18.0)
    clock.now_s += LEASE_EXPIRY_S + 0.1
    assert fleet.end_reason(KEY) == ""
    clock.now_s += 10.0
    assert fleet.end_reason(KEY) == "lapsed"


def test_incarnation_that_is_gone_or_replaced_has_ended_at_once(clock):
    fleet = Fleet()
    report(fleet, KEY)
    report(fleet, gone=(KEY,))
    assert fleet.end_reason(KEY) == "gone"
    report(fleet, KEY.replace("|100|", "|200|"))
    assert fleet.end_reason(KEY) == "replaced"


def test_unsettled_run_lapses_when_its_vm_stays_silent(clock):
    fleet = Fleet()
    last = UpstreamReport(KEY, "g", "z", False, unsettled=[("t", 1)])
    report(fleet, gone=(KEY,), last=(last,))
    clock.now_s += fleet_module.UNSETTLED_EXPIRY_S - 0.1
    assert fleet.unsettled_runs(KEY) == {("t", 1)}
    clock.now_s += 0.2
    assert fleet.unsettled_runs(KEY) == frozenset()
    assert fleet.end_reason(KEY) == "lapsed"


def test_upstream_that_is_not_reported_may_still_run_tasks(clock):
    fleet = Fleet()
    report(fleet, KEY)
    report(fleet)
    assert fleet.end_reason(KEY) == ""


def test_fleet_settles_once_the_vms_with_runs_have_reported(clock):
    fleet = Fleet()
    report(fleet, KEY)
    assert not fleet.is_settled(lambda: {"vm-1"})
    clock.now_s += fleet_module.SETTLE_QUIET_S + 0.01
    assert fleet.is_settled(lambda: {"vm-1"})
    assert not fleet.is_settled(lambda: {"vm-1", "vm-2"})
    clock.now_s += fleet_module.SETTLE_TIME_S
    assert fleet.is_settled(lambda: {"vm-1", "vm-2"})


def test_fleet_is_not_settled_before_a_report(clock):
    fleet = Fleet()
    clock.now_s += 10.0
    assert not fleet.is_settled(set)


def test_upstream_that_is_not_listed_keeps_leases_granted_to_its_vm(clock):
    # A lease that was granted after the newest report may be in force.
    fleet = Fleet()
    clock.now_s += 5.0
    report(fleet)
    clock.now_s += LEASE_EXPIRY_S - 0.1
    assert fleet.end_reason(KEY) == ""
    clock.now_s += 0.2
    assert fleet.end_reason(KEY) == "lapsed"


def test_upstream_that_its_vm_no_longer_lists_lapses_while_grants_go_on(clock):
    fleet = Fleet()
    report(fleet, KEY)
    for _ in range(12):
        clock.now_s += 1.0
        report(fleet)
    assert fleet.end_reason(KEY) == "lapsed"


def test_upstream_of_a_vm_whose_report_is_lost_does_not_lapse_while_grants_go_on(clock):
    fleet = Fleet()
    for _ in range(12):
        clock.now_s += 1.0
        vm = fleet.record_contact("vm-1", 1.0)
        vm.last_grant_s = clock.now_s
    assert fleet.end_reason(KEY) == ""


def test_upstream_of_a_vm_whose_heartbeat_is_delayed_keeps_its_lease(clock):
    # The heartbeat does not tell what the VM lists by the time that it arrives.
    fleet = Fleet()
    clock.now_s += 3.0
    fleet.apply_report(VmReport("vm-1", 3.0, 1, [], [], []))
    fleet.record_grant("vm-1")
    clock.now_s += LEASE_EXPIRY_S - 2.9
    fleet.record_contact("vm-1", 3.6, 1)
    assert fleet.end_reason(KEY) == ""
