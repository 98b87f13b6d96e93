"""What callers got: shares of worth and of jobs in time, waits and wasted work."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..measures import percentile
from .load import CLASSES

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .model import Outcome, Result

LATE_FACTOR = 3.0
"""Up to so many times its objective a job is late; later, it is worth nothing."""
WINDOW_S = 4.0
WORST_WINDOWS = 2
LARGEST_SHARE = 0.1
WASTE_WORTH = 0.0028
"""Worth that a wasted core second takes off."""


@dataclass(frozen=True)
class Verdict:
    """What one job earned of what it was worth."""

    outcome: Outcome
    earned: float
    in_time: bool
    never: bool

    @property
    def owed(self) -> float:
        """What it was worth."""
        return self.outcome.load.worth


def judge(outcome: Outcome) -> Verdict | None:
    """Return what a job earned, or None for a cancelled one."""
    load = outcome.load
    if load.cancel_at_s < (outcome.done_s or outcome.failed_s or float("inf")):
        return None
    end_s = outcome.failed_s if load.hopeless else outcome.done_s
    if end_s is None:
        return Verdict(outcome, 0.0, False, True)
    took_s = end_s - load.at_s
    if took_s <= load.objective_s:
        return Verdict(outcome, load.worth, True, False)
    if took_s <= load.objective_s * LATE_FACTOR:
        share = load.job_class.late_worth / load.job_class.worth
        return Verdict(outcome, load.worth * share, False, False)
    return Verdict(outcome, 0.0, False, True)


def measure(results: Iterable[Result]) -> dict[str, float]:
    """Return the measures of several runs of one profile."""
    results = list(results)
    runs = [[v for v in map(judge, one.outcomes) if v] for one in results]
    verdicts = [verdict for run in runs for verdict in run]
    owed = sum(one.owed for one in verdicts)
    wasted: dict[str, float] = defaultdict(float)
    for result in results:
        for why, core_s in result.wasted_core_s.items():
            wasted[why] += core_s
    useful = sum(one.useful_core_s for one in results)
    found = {
        "worth": _share(verdicts),
        "worth_after_waste": _share(verdicts)
        - WASTE_WORTH * sum(wasted.values()) / max(owed, 1e-9),
        "worst_windows": _mean(_worst_windows(run) for run in runs),
        "worst_class": _mean(_worst(run, _class_of) for run in runs),
        "worst_workspace": _mean(_worst(run, _workspace_of) for run in runs),
        "in_time": _mean(float(one.in_time) for one in verdicts),
        "never": _mean(float(one.never) for one in verdicts),
    }
    for kind in CLASSES:
        own = [one for one in verdicts if one.outcome.load.job_class.name == kind.name]
        own.sort(key=lambda one: one.outcome.load.core_s)
        found[f"worth_{kind.name}"] = _share(own)
        largest = own[-max(1, round(len(own) * LARGEST_SHARE)) :]
        found[f"served_largest_{kind.name}"] = _mean(not x.never for x in largest)
        waits = [_wait_s(one) for one in own]
        found[f"wait_p50_s_{kind.name}"] = percentile(waits, 0.5)
        found[f"wait_p99_s_{kind.name}"] = percentile(waits, 0.99)
    found["wasted_share"] = sum(wasted.values()) / max(useful, 1e-9)
    for why in sorted(wasted):
        found[f"wasted_{why}_core_s"] = wasted[why] / len(results)
    times = [one for result in results for one in result.round_us]
    found["round_p50_ms"] = percentile(times, 0.5) / 1000
    found["round_p99_ms"] = percentile(times, 0.99) / 1000
    return {name: round(value, 4) for name, value in found.items()}


def _wait_s(verdict: Verdict) -> float:
    outcome = verdict.outcome
    if outcome.started_s is None:
        return float("inf")
    return outcome.started_s - outcome.load.at_s


def _share(verdicts: list[Verdict]) -> float:
    owed = sum(one.owed for one in verdicts)
    return sum(one.earned for one in verdicts) / owed if owed else 1.0


def _worst(run: list[Verdict], key: Callable[[Verdict], str]) -> float:
    groups: dict[str, list[Verdict]] = defaultdict(list)
    for verdict in run:
        groups[key(verdict)].append(verdict)
    return min((_share(group) for group in groups.values()), default=1.0)


def _worst_windows(run: list[Verdict]) -> float:
    windows: dict[int, list[Verdict]] = defaultdict(list)
    for verdict in run:
        windows[int(verdict.outcome.load.at_s / WINDOW_S)].append(verdict)
    ordered = sorted(windows.values(), key=_share)[:WORST_WINDOWS]
    return _share([verdict for window in ordered for verdict in window])


def _class_of(verdict: Verdict) -> str:
    return verdict.outcome.load.job_class.name


def _workspace_of(verdict: Verdict) -> str:
    return verdict.outcome.load.job.workspace


def _mean(values: Iterable[float]) -> float:
    values = list(values)
    return sum(values) / len(values) if values else 1.0


__all__ = ["Verdict", "judge", "measure"]
