"""Keeps what the planner has seen of departures and losses of upstreams.

A row by the address of each upstream outlives its incarnations. The newest losses and
departures are kept, so that memory is bounded by the size of the pool.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...logs import decision
from ...protocol.upstream_key import parse_upstream_key
from ..policy.dispatch.departures import Departures
from ..policy.dispatch.lifetimes import (
    FORGOTTEN_S,
    Lifetimes,
    Loss,
    Place,
    estimate_lifetimes,
)
from .fleet import MAX_SILENCE_S
from .policy_inputs import rack_of

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobTable, StepKey
    from ..policy.dispatch.model import HeldStep
    from .fleet import Fleet

OBSERVE_INTERVAL_S = 0.25
"""The fleet is compared with what was seen at this interval."""
MAX_LOSSES = 256
MAX_DEPARTURES = 32
ESTIMATE_INTERVAL_S = 1.0
"""The rates are computed again after this time, or after a loss."""
MAX_LOGGED_HOLDS = 8
"""Holds that are logged as they begin or end, in one round."""


@dataclass(slots=True)
class _Seen:
    """What is known of the upstream at an address.

    Attributes
    ----------
    place : Place or None
        None until it has reported.
    leaves_s : float or None
        When the time is over that it announced as it began to drain.
    has_gone : bool
        Whether its end was counted.
    is_hanging : bool
        Whether its runs make no progress.
    """

    key: str
    place: Place | None = None
    since_s: float = 0.0
    leaves_s: float | None = None
    has_gone: bool = False
    is_hanging: bool = False


@dataclass(slots=True)
class UpstreamLifetimes:
    """Losses and departures of upstreams in the current term."""

    job_table: JobTable
    fleet: Fleet
    is_used: bool = False
    _seen: dict[str, _Seen] = field(default_factory=dict)
    _losses: deque[Loss] = field(default_factory=lambda: deque(maxlen=MAX_LOSSES))
    _overstays_s: deque[float] = field(
        default_factory=lambda: deque(maxlen=MAX_DEPARTURES)
    )
    _held: dict[StepKey, float] = field(default_factory=dict)
    _estimate: Lifetimes | None = None
    _estimated_s: float = float("-inf")
    _observed_s: float = float("-inf")

    def clear(self) -> None:
        """Begin a term with the incarnations on which runs are open."""
        self._seen.clear()
        self._losses.clear()
        self._overstays_s.clear()
        self._held.clear()
        self._estimate = None
        self._observed_s = float("-inf")
        for key, runs in self.job_table.open_runs.items():
            if runs:
                name = _address_of(key)
                known = self._seen.get(name)
                if known is None or _is_later(key, known.key):
                    self._seen[name] = _Seen(key)

    def use(self, *, in_force: bool) -> None:
        """Switch the account on or off.

        It begins anew: what ended while nothing was observed is not lost now.
        """
        if in_force and not self.is_used:
            self.clear()
        self.is_used = in_force

    def observe(self, zones_out: Collection[str]) -> None:
        """Compare the fleet with what was seen before, at an interval.

        Parameters
        ----------
        zones_out : collection of str
            Availability zones that operators empty: a departure there says nothing of
            how long upstreams last.
        """
        now_s = boottime_s()
        if now_s - self._observed_s < OBSERVE_INTERVAL_S:
            return
        self._observed_s = now_s
        listed = set()
        for vm in self.fleet.vms.values():
            is_silent = now_s - vm.last_contact_s > MAX_SILENCE_S
            for report in vm.upstreams.values():
                name = _address_of(report.key)
                seen = self._seen.get(name)
                if seen is not None and _is_later(seen.key, report.key):
                    continue
                listed.add(name)
                seen = self._update(name, seen, report, now_s, zones_out)
                if is_silent:
                    self._end(seen, vm.last_contact_s, now_s, zones_out)
                else:
                    seen.has_gone = False
        for name in self._seen.keys() - listed:
            seen = self._seen[name]
            self._end(seen, now_s, now_s, zones_out)
            if seen.has_gone:
                del self._seen[name]

    def _update(
        self,
        name: str,
        seen: _Seen | None,
        report: UpstreamReport,
        now_s: float,
        zones_out: Collection[str],
    ) -> _Seen:
        """Apply a report of the upstream at an address."""
        place = Place(name, rack_of(report), report.zone, report.group)
        if seen is None:
            seen = self._seen[name] = _Seen(report.key, place, now_s)
        elif seen.place is None:
            seen.place, seen.since_s = place, now_s
        if seen.key != report.key:
            seen.place = place
            self._replace(seen, report, now_s, zones_out)
        if not report.draining:
            seen.leaves_s = None
        elif seen.leaves_s is None:
            seen.leaves_s = now_s + max(report.remaining_ms, 0) / 1000
            if not seen.has_gone:
                self._add_loss(place, now_s, zones_out, is_announced=True)
        is_hanging = bool(report.running) and self._all_hang(report)
        if is_hanging and not seen.is_hanging:
            self._add_loss(place, now_s, zones_out)
        seen.is_hanging = is_hanging
        return seen

    def _replace(
        self,
        seen: _Seen,
        report: UpstreamReport,
        now_s: float,
        zones_out: Collection[str],
    ) -> None:
        """Begin a new incarnation; the end of the last one counts if it was sudden."""
        if seen.leaves_s is not None:
            self._end(seen, now_s, now_s, zones_out)
        elif not seen.has_gone and not self._crashed_at_start(seen.key):
            self._add_loss(seen.place, now_s, zones_out)
        seen.key = report.key
        seen.leaves_s, seen.has_gone, seen.is_hanging = None, False, False

    def _end(
        self, seen: _Seen, gone_s: float, now_s: float, zones_out: Collection[str]
    ) -> None:
        """Count the end of an upstream that is not listed, or whose VM is silent.

        One that did not announce it may only be out of reach, until its leases lapse.
        """
        if seen.has_gone:
            return
        if seen.leaves_s is not None:
            seen.has_gone = True
            is_emptied = seen.place is not None and seen.place.zone in zones_out
            if not is_emptied:
                overstay_s = max(gone_s - seen.leaves_s, 0.0)
                self._overstays_s.append(overstay_s)
                decision("upstream_left", upstream=seen.key, overstay_s=overstay_s)
        elif self.fleet.end_reason(seen.key):
            seen.has_gone = True
            if not self._crashed_at_start(seen.key):
                self._add_loss(seen.place, now_s, zones_out)

    def _crashed_at_start(self, key: str) -> bool:
        """Return whether an upstream crashed under a task that was yet to be listed."""
        report = self.fleet.find(key)
        return report is not None and report.crashed and bool(report.unlisted)

    def _all_hang(self, report: UpstreamReport) -> bool:
        """Return whether no run of an upstream that works alone makes progress.

        Members of a gang also stand still as another one's upstream hangs.
        """
        stalled = {(task, run) for task, run, _since_s in report.stalled}
        if not stalled:
            return False
        alone = [
            (row.task, row.run)
            for row in report.running
            if not self._is_gang_member(row.task)
        ]
        return bool(alone) and all(one in stalled for one in alone)

    def _is_gang_member(self, task: str) -> bool:
        found = self.job_table.find_task(task)
        if found is None:
            return False
        key, _index = found
        return self.job_table.jobs[key.job_id].job.steps[key.step].gang

    def _add_loss(
        self,
        place: Place | None,
        now_s: float,
        zones_out: Collection[str],
        *,
        is_announced: bool = False,
    ) -> None:
        if place is not None and place.zone not in zones_out:
            self._losses.append(Loss(place, now_s, is_announced))
            self._estimate = None
            decision("loss_counted", upstream=place.name, announced=is_announced)

    @property
    def estimate(self) -> Lifetimes:
        """Rates of loss by what was seen so far."""
        now_s = boottime_s()
        if self._estimate is None or now_s - self._estimated_s > ESTIMATE_INTERVAL_S:
            since_s = {
                one.place: one.since_s
                for one in self._seen.values()
                if one.place is not None
            }
            while self._losses and now_s - self._losses[0].at_s > FORGOTTEN_S:
                self._losses.popleft()
            self._estimate = estimate_lifetimes(since_s, self._losses, now_s)
            self._estimated_s = now_s
        return self._estimate

    @property
    def departures(self) -> Departures:
        """How much longer than announced draining upstreams stayed."""
        return Departures(tuple(self._overstays_s))

    def announced_s(self, key: str, reported_s: float) -> float:
        """Return what is left of the time that a draining upstream announced."""
        seen = self._seen.get(_address_of(key))
        if seen is None or seen.key != key or seen.leaves_s is None:
            return reported_s
        return seen.leaves_s - boottime_s()

    def rates_of(self, key: str, group: str) -> tuple[float, float]:
        """Return the rate of loss of an upstream, and the trouble in its pool."""
        if not self.is_used:
            return 0.0, 0.0
        estimate = self.estimate
        return estimate.rate(_address_of(key)), estimate.troubles.get(group, 0.0)

    def log_holds(self, held: Iterable[HeldStep]) -> None:
        """Log the steps that begin or cease to be held."""
        now_s = boottime_s()
        current = {one.step: one for one in held}
        begun = [one for key, one in current.items() if key not in self._held]
        ended = [key for key in self._held if key not in current]
        for one in begun[:MAX_LOGGED_HOLDS]:
            decision(
                "step_held",
                step=one.step.record_key,
                break_chance=round(one.chance, 3),
                slack_s=round(one.slack_s, 2),
                at_most_s=round(one.left_s, 2),
            )
        for key in ended[:MAX_LOGGED_HOLDS]:
            held_s = round(now_s - self._held[key], 2)
            decision("step_released", step=key.record_key, held_s=held_s)
        self._held = {key: self._held.get(key, now_s) for key in current}


def _address_of(key: str) -> str:
    name = parse_upstream_key(key)
    return f"{name.vm}|{name.address}"


def _is_later(key: str, other: str) -> bool:
    return parse_upstream_key(key).started_ms > parse_upstream_key(other).started_ms


__all__ = ["UpstreamLifetimes"]
