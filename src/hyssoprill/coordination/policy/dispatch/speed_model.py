"""Estimates the relative speeds of upstreams from the paces of runs.

Load pattern: a quarter of the upstreams is half as fast as the others, estimates are
off by a factor of two and more, some tasks take seven times as long as others of their
step, and an upstream may hang or be slow for some seconds. What a pace says of its
upstream shows against the tasks of the same step on other upstreams. A gang runs at the
pace of its slowest member.
"""

from __future__ import annotations

from collections import defaultdict
from math import exp, log
from statistics import fmean, median
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Hashable, Sequence

HALF_LIFE_S = 30.0
"""Observations count half after this time."""
PRIOR_WEIGHT = 0.5
"""Weight of the prior, in completed runs: that an upstream is of average speed."""
MAX_STEP_WEIGHT = 1.5
"""Weight of all tasks of one step on an upstream; their errors are alike."""
GANG_WEIGHT = 0.4
"""Weight of a gang, which is compared with its estimate only."""
MAX_LOG_RATIO = log(3.5)
"""A pace that is farther from the expected one says nothing of the upstream."""
PASSES = 2
"""Passes of estimating the work of steps and the speeds in turn."""


class PaceObservation(NamedTuple):
    """The pace of a run, as the run time of its whole task at that pace.

    Attributes
    ----------
    group : hashable
        The same for runs of one step, or of one gang.
    expected_log_s : float
        Logarithm of the run time that the history of the queue tells.
    log_s : float
        Logarithm of the run time at the observed pace.
    weight : float
        Share of the task that was observed.
    at_s : float
        When it was observed.
    """

    upstream: str
    group: Hashable
    expected_log_s: float
    log_s: float
    weight: float
    at_s: float
    is_gang: bool = False


class _Pace(NamedTuple):
    """Paces of one step or gang on one upstream, as one."""

    log_s: float
    weight: float


def estimate_speeds(
    observations: Sequence[PaceObservation], known: dict[str, float], now_s: float
) -> dict[str, float]:
    """Return the speed of each upstream relative to the mean of all.

    Parameters
    ----------
    known : dict
        Speeds estimated before, from which to begin.
    """
    steps, gangs, expected = _group(observations, now_s)
    upstreams = {one.upstream for one in observations}
    speeds = {key: log(known.get(key, 1.0)) for key in upstreams}
    for _ in range(PASSES):
        speeds = _improve(speeds, steps, gangs, expected)
    mean = fmean(speeds.values()) if speeds else 0.0
    return {key: exp(value - mean) for key, value in speeds.items()}


def _group(
    observations: Sequence[PaceObservation], now_s: float
) -> tuple[
    dict[Hashable, dict[str, _Pace]],
    dict[Hashable, dict[str, _Pace]],
    dict[Hashable, float],
]:
    """Return the paces of steps and of gangs by upstream, and their expected ones."""
    lists: dict[tuple[bool, Hashable], dict[str, list[PaceObservation]]]
    lists = defaultdict(lambda: defaultdict(list))
    for one in observations:
        lists[one.is_gang, one.group][one.upstream].append(one)
    steps: dict[Hashable, dict[str, _Pace]] = {}
    gangs: dict[Hashable, dict[str, _Pace]] = {}
    expected: dict[Hashable, float] = {}
    for (is_gang, group), by_upstream in lists.items():
        paces = {
            key: _Pace(
                median([one.log_s for one in found]),
                sum(
                    one.weight * 0.5 ** ((now_s - one.at_s) / HALF_LIFE_S)
                    for one in found
                ),
            )
            for key, found in by_upstream.items()
        }
        (gangs if is_gang else steps)[group] = paces
        expected[group] = next(iter(by_upstream.values()))[-1].expected_log_s
    return steps, gangs, expected


def _improve(
    speeds: dict[str, float],
    steps: dict[Hashable, dict[str, _Pace]],
    gangs: dict[Hashable, dict[str, _Pace]],
    expected: dict[Hashable, float],
) -> dict[str, float]:
    """Return speeds by the work of steps that follows from the given speeds."""
    sums = dict.fromkeys(speeds, 0.0)
    weights = dict.fromkeys(speeds, PRIOR_WEIGHT)

    def add(upstream: str, ratio: float, weight: float) -> None:
        if abs(ratio) <= MAX_LOG_RATIO:
            sums[upstream] += weight * ratio
            weights[upstream] += weight

    for group, paces in steps.items():
        works = [pace.log_s + speeds[key] for key, pace in paces.items()]
        work = median([expected[group], *works])
        trust = len(works) / (len(works) + 1)
        for key, pace in paces.items():
            add(key, work - pace.log_s, min(pace.weight, MAX_STEP_WEIGHT) * trust)
    for group, paces in gangs.items():
        ratio = expected[group] - median([pace.log_s for pace in paces.values()])
        slowest = min(speeds[key] for key in paces)
        for key, pace in paces.items():
            if ratio > speeds[key] or speeds[key] == slowest:
                add(key, ratio, min(pace.weight, 1.0) * GANG_WEIGHT)
    return {key: sums[key] / weights[key] for key in speeds}


__all__ = ["PaceObservation", "estimate_speeds"]
