"""The VMs that the planner hears from, and since when it does not."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...protocol.upstream_key import parse_upstream_key
from ..upstream.planner_grant import (
    LEASE_EXPIRY_MARGIN_S,
    LEASE_EXPIRY_S,
    MAX_CLOCK_DRIFT,
)

if TYPE_CHECKING:
    from collections.abc import Iterator

    from ...protocol.upstream_messages import RunReport, UpstreamReport, VmReport

SETTLE_S = 0.4
"""A new planner starts nothing for this long after the first report, so that what is
urgent finds the whole fleet and not just the upstreams that reported first."""
FRESH_S = 1.6
"""A VM that was not heard for this long gets no new starts."""


@dataclass(slots=True)
class VmState:
    """One VM by its newest report.

    Attributes
    ----------
    tick_s : float
        The agent's clock at its newest message.
    heard_s : float
        The planner's clock at that message.
    reported_s : float
        The planner's clock at the newest whole report.
    granted_s : float
        The planner's clock when it last let the agent extend leases.
    """

    number: int = 0
    tick_s: float = 0.0
    heard_s: float = float("-inf")
    reported_s: float = float("-inf")
    granted_s: float = float("-inf")
    upstreams: dict[str, UpstreamReport] = field(default_factory=dict)
    gone: frozenset[str] = frozenset()


class Fleet:
    """All VMs, and which lifetimes may still run something."""

    def __init__(self) -> None:
        self.vms: dict[str, VmState] = {}
        self.began_s = boottime_s()
        self._held_s: dict[str, float] = {}
        self._first_report_s = float("inf")

    @property
    def is_settled(self) -> bool:
        """Whether the VMs had the time to report in this term."""
        return boottime_s() - self._first_report_s > SETTLE_S

    def restart(self) -> None:
        """Forget all reports, at the start of a term."""
        self.vms.clear()
        self._held_s.clear()
        self.began_s = boottime_s()
        self._first_report_s = float("inf")

    def reported(self, report: VmReport) -> VmState:
        """Take in a whole report."""
        vm = self.heard(report.vm, report.clock_s)
        self._first_report_s = min(self._first_report_s, boottime_s())
        vm.number = report.number
        vm.reported_s = vm.heard_s
        self._held_s.update(dict.fromkeys(vm.upstreams, vm.heard_s))
        vm.upstreams = {one.key: one for one in report.upstreams}
        vm.gone = frozenset(report.ended_keys)
        return vm

    def heard(self, name: str, tick_s: float) -> VmState:
        """Note that a VM was heard."""
        vm = self.vms.setdefault(name, VmState())
        vm.heard_s = boottime_s()
        vm.tick_s = tick_s
        return vm

    def is_fresh(self, name: str) -> bool:
        """Tell whether a VM was heard lately enough to be given work."""
        vm = self.vms.get(name)
        return vm is not None and boottime_s() - vm.heard_s < FRESH_S

    def reports(self) -> Iterator[UpstreamReport]:
        """Yield the newest reports of all upstreams."""
        for vm in self.vms.values():
            yield from vm.upstreams.values()

    def find(self, key: str) -> UpstreamReport | None:
        """Return the report of a lifetime that is present."""
        vm = self.vms.get(key.partition("|")[0])
        return vm.upstreams.get(key) if vm is not None else None

    def saved(self, key: str, task: str, run: int) -> str:
        """Return the newest progress of a run that its upstream has listed."""
        row = self._row(key, task, run)
        return row.checkpoint if row is not None else ""

    def percent(self, key: str, task: str, run: int) -> int:
        """Return how far a run was when its upstream last listed it."""
        row = self._row(key, task, run)
        return row.percent if row is not None else 0

    def _row(self, key: str, task: str, run: int) -> RunReport | None:
        report = self.find(key)
        for row in report.running if report is not None else ():
            if (row.task, row.run) == (task, run):
                return row
        return None

    def why_over(self, key: str) -> str:
        """Return why nothing can run on a lifetime any more, or ''."""
        name = parse_upstream_key(key)
        vm = self.vms.get(name.vm)
        if vm is not None:
            if key in vm.gone:
                return "gone"
            if any(parse_upstream_key(one).supersedes(name) for one in vm.upstreams):
                return "replaced"
        if boottime_s() > self._lapses_s(key, vm):
            return "lapsed"
        return ""

    def _lapses_s(self, key: str, vm: VmState | None) -> float:
        """Return the planner's time from which no lease can be left on a lifetime."""
        last_s = self._held_s.get(key, self.began_s)
        report = vm.upstreams.get(key) if vm is not None else None
        if vm is None or report is None:
            return last_s + LEASE_EXPIRY_S
        lapses_s = max(last_s, vm.granted_s) + LEASE_EXPIRY_S
        if report.lease_uncertainty_s:
            doubt_s = (
                report.lease_uncertainty_s * (1 + MAX_CLOCK_DRIFT)
                + LEASE_EXPIRY_MARGIN_S
            )
            lapses_s = max(lapses_s, vm.reported_s + doubt_s)
        return lapses_s


__all__ = ["Fleet", "VmState"]
