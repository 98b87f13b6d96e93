"""Estimates how often upstreams are lost, by what was seen of them lately.

Load pattern: many upstreams are taken away at short notice, others crash, hang or lose
power, more often in some racks or availability zones than in others. Work that is lost
with one of them is placed where losses are rare. What is known of one upstream is
little, so that each estimate is drawn to that of the domain around it.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping, Sequence

MEMORY_S = 60.0
"""Losses and observed time decay by a factor of e in this time."""
FORGOTTEN_S = 5 * MEMORY_S
"""Losses that are older do not count."""
PRIOR_LIFETIME_S = 3600.0
"""Assumed lifetime of an upstream until losses are seen."""
PRIOR_WEIGHT_S = 600.0
"""Observed time, in upstream-seconds, as which that assumption counts."""
DOMAIN_WEIGHT_S = 300.0
"""The same for the rate of the surrounding domain, in that of an inner one."""
TROUBLE_S = 3.0
"""Losses may be followed by further ones soon after.

This decays by a factor of e in this time."""
WAVE_S = 1.0
"""Losses within this time are one wave, in which none follows another."""
PRIOR_FOLLOWED_SHARE = 0.5
"""Assumed share of losses that others follow, until it is seen."""
PRIOR_TROUBLES = 2.0
"""Losses as which that assumption counts."""
OUTAGE_S = 2.0
"""Losses within this time of each other may have one cause."""
MIN_OUTAGE = 2
OUTAGE_SHARE = 0.5
"""If this share of a pool is lost within that time, it counts as a single loss."""


class Place(NamedTuple):
    """Where an upstream runs: what stays the same over its incarnations."""

    name: str
    rack: str
    zone: str
    group: str

    @property
    def domains(self) -> tuple[tuple[str, ...], ...]:
        """Its domains, the outermost first."""
        group, zone, rack = self.group, self.zone, self.rack
        return (group,), (group, zone), (group, zone, rack), (*self,)


@dataclass(frozen=True, slots=True)
class Loss:
    """The end of an upstream's use: it left, was lost, or hung.

    Attributes
    ----------
    is_announced : bool
        Whether its runs could start elsewhere at once, as it had announced that it
        leaves. After a sudden loss they wait until its leases have lapsed.
    """

    place: Place
    at_s: float
    is_announced: bool = False


@dataclass(frozen=True, slots=True)
class Lifetimes:
    """Rates of loss per second of an upstream.

    Attributes
    ----------
    rates : mapping
        By place; all have the rate of the prior while nothing was lost.
    troubles : mapping
        Expected further sudden losses of an upstream by the trouble under way, by
        group.
    """

    rates: Mapping[str, float]
    troubles: Mapping[str, float]

    def rate(self, place: str) -> float:
        """Return the rate of loss of an upstream."""
        return self.rates.get(place, 1 / PRIOR_LIFETIME_S)


def estimate_lifetimes(
    since_s: Mapping[Place, float], losses: Sequence[Loss], now_s: float
) -> Lifetimes:
    """Return the rates of loss by what was seen.

    Parameters
    ----------
    since_s : mapping
        Since when each upstream is observed.
    losses : sequence of Loss
        In the order of their times.
    """
    if not losses:
        return Lifetimes({}, {})
    sizes = Counter([one.group for one in since_s])
    observed_s: dict[tuple[str, ...], float] = defaultdict(float)
    for place, began_s in since_s.items():
        weight_s = MEMORY_S * (1 - math.exp((began_s - now_s) / MEMORY_S))
        for domain in place.domains:
            observed_s[domain] += weight_s
    lost: dict[tuple[str, ...], float] = defaultdict(float)
    troubles: dict[str, float] = defaultdict(float)
    times: dict[str, list[float]] = defaultdict(list)
    sudden_s: dict[str, list[float]] = defaultdict(list)
    for loss in losses:
        times[loss.place.group].append(loss.at_s)
        if not loss.is_announced:
            sudden_s[loss.place.group].append(loss.at_s)
    followed = {one: _followed_share(sudden_s[one], now_s) for one in sudden_s}
    for loss in losses:
        group = loss.place.group
        weight = _weight(loss.at_s, times[group], sizes[group])
        recent = weight * math.exp((loss.at_s - now_s) / MEMORY_S)
        for domain in loss.place.domains:
            lost[domain] += recent
        if loss.is_announced:
            continue
        burst = weight * math.exp((loss.at_s - now_s) / TROUBLE_S)
        troubles[group] += followed[group] * burst / max(sizes[group], 1)
    rates = {one.name: _rate(one, lost, observed_s) for one in since_s}
    return Lifetimes(rates, dict(troubles))


def _rate(
    place: Place,
    lost: Mapping[tuple[str, ...], float],
    observed_s: Mapping[tuple[str, ...], float],
) -> float:
    """Return the rate of an upstream, each domain drawn to the one around it."""
    rate, weight_s = 1 / PRIOR_LIFETIME_S, PRIOR_WEIGHT_S
    for domain in place.domains:
        seen = lost.get(domain, 0.0) + rate * weight_s
        rate = seen / (observed_s.get(domain, 0.0) + weight_s)
        weight_s = DOMAIN_WEIGHT_S
    return rate


def _weight(at_s: float, times: Sequence[float], size: int) -> float:
    """Return the weight of a loss: those of one outage count as one together."""
    near = bisect_right(times, at_s + OUTAGE_S) - bisect_left(times, at_s - OUTAGE_S)
    is_outage = near >= MIN_OUTAGE and near >= OUTAGE_SHARE * size
    return 1 / near if is_outage else 1.0


def _followed_share(times: Sequence[float], now_s: float) -> float:
    """Return the expected share of losses that others follow soon after.

    Where upstreams are only ever lost all at once, waiting avoids nothing.
    """
    seen, followed = PRIOR_TROUBLES, PRIOR_TROUBLES * PRIOR_FOLLOWED_SHARE
    for at_s in times:
        in_wave = bisect_right(times, at_s + WAVE_S)
        is_followed = bisect_right(times, at_s + TROUBLE_S) > in_wave
        followed += is_followed
        seen += is_followed or now_s - at_s > TROUBLE_S
    return followed / seen


__all__ = ["FORGOTTEN_S", "Lifetimes", "Loss", "Place", "estimate_lifetimes"]
