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


def report(fleet: Fleet, *keys: str, gone: tuple[str, ...] = (), **fields) -> None:
    upstreams = [UpstreamReport(key, "g", "z", True, **fields) for key in keys]
    vm = fleet.reported(VmReport("vm-1", 1.0, 1, upstreams, list(gone)))
    vm.granted_s = vm.heard_s


def test_unknown_lifetime_lapses_from_the_start_of_the_term(clock):
    fleet = Fleet()
    clock.now_s += LEASE_EXPIRY_S - 0.1
    assert fleet.why_over(KEY) == ""
    clock.now_s += 0.2
    assert fleet.why_over(KEY) == "lapsed"


def test_silent_lifetime_lapses_from_its_last_grant(clock):
    fleet = Fleet()
    clock.now_s += 5.0
    report(fleet, KEY)
    clock.now_s += LEASE_EXPIRY_S - 0.1
    assert fleet.why_over(KEY) == ""
    clock.now_s += 0.2
    assert fleet.why_over(KEY) == "lapsed"


def test_call_in_doubt_makes_a_silent_lifetime_last_longer(clock):
    fleet = Fleet()
    report(fleet, KEY, lease_uncertainty_s=18.0)
    clock.now_s += LEASE_EXPIRY_S + 0.1
    assert fleet.why_over(KEY) == ""
    clock.now_s += 10.0
    assert fleet.why_over(KEY) == "lapsed"


def test_lifetime_that_is_gone_or_replaced_is_over_at_once(clock):
    fleet = Fleet()
    report(fleet, KEY)
    report(fleet, gone=(KEY,))
    assert fleet.why_over(KEY) == "gone"
    report(fleet, KEY.replace("|100|", "|200|"))
    assert fleet.why_over(KEY) == "replaced"


def test_lifetime_that_is_not_listed_may_still_run(clock):
    fleet = Fleet()
    report(fleet, KEY)
    report(fleet)
    assert fleet.why_over(KEY) == ""
