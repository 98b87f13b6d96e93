"""Tracks the VMs that report to the planner and when their runs may have ended."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...protocol.upstream_key import parse_upstream_key
from ..upstream.planner_grant import (
    LEASE_EXPIRY_MARGIN_S,
    LEASE_EXPIRY_S,
    MAX_CALL_DELAY_S,
    MAX_CLOCK_DRIFT,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from ...protocol.upstream_key import UpstreamKey
    from ...protocol.upstream_messages import RunReport, UpstreamReport, VmReport

SETTLE_TIME_S = 0.4
"""A new planner starts nothing for this long after the first report, so that urgent
steps can use the whole fleet and not just the upstreams that reported first."""
SETTLE_QUIET_S = 0.1
"""It starts earlier once all VMs with open runs have reported and no other VM has
reported for the first time for this long."""
UNSETTLED_EXPIRY_S = LEASE_EXPIRY_S + MAX_CALL_DELAY_S
"""On a VM that has been silent for this long, no unsettled run can be left."""
MAX_SILENCE_S = 1.6
"""A VM that has been silent for this long gets no new starts."""


@dataclass(slots=True)
class VmState:
    """State of one VM by its newest messages.

    Attributes
    ----------
    report_number : int
        Number of the newest report.
    agent_clock_s : float
        The agent's clock at its newest message.
    last_contact_s : float
        The planner's clock at the newest message.
    last_report_s : float
        The planner's clock at the newest report.
    report_clock_s : float
        The agent's clock at the newest report.
    confirmed_s : float
        The planner's clock when the newest message that names that report was sent, at
        the latest.
    last_grant_s : float
        The planner's clock when it last allowed the agent to extend leases.
    granted_clock_s : float or None
        The agent's clock from which it may extend them, None before the first grant.
    granted_contact_s : float
        The planner's clock when it received the message with that clock.
    upstreams : dict
        Newest reports of the upstreams, by key.
    ended_upstreams : frozenset of str
        Keys of upstream incarnations that are known to have ended.
    last_reports : dict
        Last reports of some of these, by key.
    """

    report_number: int = 0
    agent_clock_s: float = 0.0
    last_contact_s: float = float("-inf")
    last_report_s: float = float("-inf")
    report_clock_s: float = 0.0
    confirmed_s: float = float("-inf")
    last_grant_s: float = float("-inf")
    granted_clock_s: float | None = None
    granted_contact_s: float = float("-inf")
    upstreams: dict[str, UpstreamReport] = field(default_factory=dict)
    ended_upstreams: frozenset[str] = frozenset()
    last_reports: dict[str, UpstreamReport] = field(default_factory=dict)
    _newest: dict[tuple[str, str], UpstreamKey] = field(default_factory=dict)
    _listed: dict[str, dict[tuple[str, int], RunReport]] = field(default_factory=dict)

    def set_reports(
        self, upstreams: Iterable[UpstreamReport], last: Iterable[UpstreamReport]
    ) -> None:
        """Replace the newest and the last reports."""
        self.upstreams = {one.key: one for one in upstreams}
        self.last_reports = {one.key: one for one in last}
        self._listed.clear()
        self._newest.clear()

    def is_responsive(self, now_s: float) -> bool:
        """Return whether the VM was in contact recently enough to get starts."""
        return now_s - self.last_contact_s < MAX_SILENCE_S

    def find(self, key: str) -> UpstreamReport | None:
        """Return the newest, or the last, report of an upstream incarnation."""
        return self.upstreams.get(key) or self.last_reports.get(key)

    def lists_successor_of(self, key: UpstreamKey) -> bool:
        """Return whether an upstream is listed that proves that another has ended."""
        if not self._newest:
            for one in sorted(map(parse_upstream_key, self.upstreams)):
                self._newest[one.vm, one.address] = one
        newest = self._newest.get((key.vm, key.address), key)
        return newest != key and newest.supersedes(key)

    def find_run(self, key: str, task: str, run: int) -> RunReport | None:
        """Return a run as that report lists it, None if it does not."""
        listed = self._listed.get(key)
        if listed is None:
            report = self.find(key)
            rows = report.running if report is not None else ()
            listed = {(one.task, one.run): one for one in reversed(rows)}
            self._listed[key] = listed
        return listed.get((task, run))


class Fleet:
    """All VMs, and which incarnations of upstreams may still run tasks."""

    def __init__(self) -> None:
        self.vms: dict[str, VmState] = {}
        self.term_began_s = boottime_s()
        self._lease_expires_s: dict[str, float] = {}
        self._first_report_s = float("inf")
        self._last_new_vm_s = float("inf")
        self._reported_vms: set[str] = set()
        self._reports: list[UpstreamReport] | None = None

    def is_settled(self, expected_vms: Callable[[], set[str]]) -> bool:
        """Return whether the VMs have had time to report in this term.

        Parameters
        ----------
        expected_vms : callable
            Returns the VMs that are known to be there from their runs.
        """
        now_s = boottime_s()
        if now_s - self._first_report_s > SETTLE_TIME_S:
            return True
        is_quiet = now_s - self._last_new_vm_s > SETTLE_QUIET_S
        return is_quiet and expected_vms() <= self._reported_vms

    def reset(self) -> None:
        """Drop all reports, at the start of a term."""
        self.vms.clear()
        self._reports = None
        self._lease_expires_s.clear()
        self.term_began_s = boottime_s()
        self._first_report_s = float("inf")
        self._last_new_vm_s = float("inf")
        self._reported_vms.clear()

    @property
    def term_age_s(self) -> float:
        """Time since this planner's term began, in seconds."""
        return boottime_s() - self.term_began_s

    def apply_report(self, report: VmReport) -> VmState:
        """Apply a report and return the state of its VM."""
        vm = self.record_contact(report.vm, report.clock_s)
        self._first_report_s = min(self._first_report_s, boottime_s())
        if report.vm not in self._reported_vms:
            self._reported_vms.add(report.vm)
            self._last_new_vm_s = boottime_s()
        vm.report_number = report.number
        vm.last_report_s = vm.confirmed_s = vm.last_contact_s
        vm.report_clock_s = report.clock_s
        for key in vm.upstreams:
            self._extend_lease(key, LEASE_EXPIRY_S)
        for one in report.upstreams:
            if one.lease_uncertainty_s:
                in_doubt_s = one.lease_uncertainty_s * (1 + MAX_CLOCK_DRIFT)
                self._extend_lease(one.key, in_doubt_s + LEASE_EXPIRY_MARGIN_S)
        vm.ended_upstreams = frozenset(report.ended_keys)
        vm.set_reports(report.upstreams, report.last_reports)
        self._reports = None
        return vm

    def record_grant(self, name: str) -> float:
        """Record that a VM may extend leases from its newest message; return its clock.

        Any message that extends leases has to carry a clock recorded here, as others
        are not counted.
        """
        vm = self.vms[name]
        vm.last_grant_s = boottime_s()
        vm.granted_clock_s = vm.agent_clock_s
        vm.granted_contact_s = vm.last_contact_s
        return vm.granted_clock_s

    def _extend_lease(self, key: str, duration_s: float) -> None:
        expires_s = boottime_s() + duration_s
        known_s = self._lease_expires_s.get(key, expires_s)
        self._lease_expires_s[key] = max(known_s, expires_s)

    def record_contact(
        self, name: str, agent_clock_s: float, report_number: int = 0
    ) -> VmState:
        """Record a message from a VM and return the VM's state.

        `report_number` is the number of its newest report, or 0 if it does not say.
        """
        vm = self.vms.setdefault(name, VmState())
        vm.last_contact_s = boottime_s()
        vm.agent_clock_s = agent_clock_s
        if report_number and report_number == vm.report_number:
            sent_s = vm.last_report_s + agent_clock_s - vm.report_clock_s
            vm.confirmed_s = min(sent_s, vm.last_contact_s)
        return vm

    def reports(self) -> list[UpstreamReport]:
        """Return the newest report of each upstream."""
        if self._reports is None:
            vms = self.vms.values()
            self._reports = [one for vm in vms for one in vm.upstreams.values()]
        return self._reports

    def last_reports(self) -> Iterator[UpstreamReport]:
        """Yield the last reports of upstream incarnations that have ended."""
        for vm in self.vms.values():
            yield from vm.last_reports.values()

    def find(self, key: str) -> UpstreamReport | None:
        """Return the newest, or the last, report of an upstream incarnation."""
        vm = self.vms.get(key.partition("|")[0])
        return vm.find(key) if vm is not None else None

    def latest_checkpoint(self, key: str, task: str, run: int) -> str:
        """Return the checkpoint of a run by the newest report, '' if unknown."""
        row = self._find_run(key, task, run)
        return row.checkpoint if row is not None else ""

    def progress_percent(self, key: str, task: str, run: int) -> int:
        """Return the progress of a run by the newest report, 0 if unknown."""
        row = self._find_run(key, task, run)
        return row.percent if row is not None else 0

    def lists_running(self, key: str, task: str, run: int) -> bool:
        """Return whether an upstream listed a run as running in its newest report."""
        return self._find_run(key, task, run) is not None

    def _find_run(self, key: str, task: str, run: int) -> RunReport | None:
        vm = self.vms.get(key.partition("|")[0])
        return vm.find_run(key, task, run) if vm is not None else None

    def end_reason(self, key: str) -> str:
        """Return why an upstream incarnation can no longer run tasks, or ''.

        Its unsettled runs may still be executed by a later one.
        """
        name = parse_upstream_key(key)
        vm = self.vms.get(name.vm)
        if vm is not None:
            if key in vm.ended_upstreams:
                return "lapsed" if _is_long_silent(vm) else "gone"
            if vm.lists_successor_of(name):
                return "replaced"
        if boottime_s() > self._lease_expiry_s(key, vm):
            return "lapsed"
        return ""

    def unsettled_runs(self, key: str) -> frozenset[tuple[str, int]]:
        """Return the runs of an ended incarnation that a later one may execute."""
        vm = self.vms.get(key.partition("|")[0])
        last = vm.last_reports.get(key) if vm is not None else None
        if vm is None or last is None or _is_long_silent(vm):
            return frozenset()
        return frozenset(last.unsettled)

    def restarted_keys(self, key: str) -> list[str]:
        """Return the ended incarnations whose calls may have reached this one."""
        name = parse_upstream_key(key)
        vm = self.vms.get(name.vm)
        ended = vm.ended_upstreams if vm is not None else ()
        return [one for one in ended if name.restarts(parse_upstream_key(one))]

    def lease_evidence(self, key: str) -> dict[str, float | bool | None]:
        """Return what the expiry of an upstream's leases is counted from, for the log.

        Times are ages in seconds, None for what has not happened in this term.
        """
        vm = self.vms.get(key.partition("|")[0])
        report = vm.upstreams.get(key) if vm is not None else None
        return {
            "expired_s": _age_s(self._lease_expiry_s(key, vm)),
            "term_s": _age_s(self.term_began_s),
            "contact_s": _age_s(vm.last_contact_s) if vm is not None else None,
            "grant_s": _age_s(vm.last_grant_s) if vm is not None else None,
            "report_s": _age_s(vm.last_report_s) if vm is not None else None,
            "confirmed_s": _age_s(vm.confirmed_s) if vm is not None else None,
            "in_report": report is not None,
            "uncertainty_s": report.lease_uncertainty_s if report is not None else None,
        }

    def _lease_expiry_s(self, key: str, vm: VmState | None) -> float:
        """Return the planner's time after which no lease of an upstream can be valid.

        A VM applies its grants to all of its upstreams, those included that it lists
        only after them. One that is still not listed once earlier leases have expired
        holds no lease.
        """
        expiry_s = self.term_began_s + LEASE_EXPIRY_S
        expiry_s = max(expiry_s, self._lease_expires_s.get(key, expiry_s))
        if vm is None or (key not in vm.upstreams and vm.confirmed_s >= expiry_s):
            return expiry_s
        return max(expiry_s, vm.last_grant_s + LEASE_EXPIRY_S)


def _age_s(since_s: float) -> float | None:
    """Return for how long a time has passed; None for a time that never was."""
    return round(boottime_s() - since_s, 3) if since_s > float("-inf") else None


def _is_long_silent(vm: VmState) -> bool:
    """Tell whether a VM has been silent for so long that no unsettled run is left."""
    return boottime_s() - vm.last_contact_s > UNSETTLED_EXPIRY_S


__all__ = ["Fleet", "VmState"]
