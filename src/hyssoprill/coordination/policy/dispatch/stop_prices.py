"""Prices the stops of running units by what they cost callers, and what is gained.

Load pattern: the pool is full while urgent jobs come one after the other. Work with
checkpoints loses little by one stop, so that the same units would be stopped for each
of them and never get on. A stop therefore counts the stop and the restore, more with
each earlier stop of the unit, and the delay of the unit's caller; and a unit that ends
sooner than its stop would pay is let end.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from .caller_costs import delay_cost, stop_cost

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .model import RunningUnit, WaitingStep
    from .terms import DispatchTerms

MIN_WAIT_S = 3.0
"""Least time that a step is expected to wait for room if nothing is stopped for it."""
MAX_WAIT_DOUBLINGS = 10
"""Limit of the doublings of that time; beyond it no room is expected."""
MAX_LET_END_S = 1.5
"""A unit that ends within this time may be let end; longer, room would stay idle."""
OVERRUN_FACTOR = 1.3
"""Runs are assumed to take up to this multiple of their estimated remaining time."""


@dataclass(frozen=True, slots=True)
class StopPrices:
    """What stops for one step cost, and what its caller gains by them.

    Attributes
    ----------
    units : list of RunningUnit
        Each with the price of its stop, or of the wait for its end, as its cost.
    let_end : frozenset of int
        Identities of those that are to end by themselves.
    gain : float
        What the step's caller loses if it has to wait.
    """

    units: list[RunningUnit]
    let_end: frozenset[int]
    gain: float


class StopPricing:
    """Prices of one round; the price of a unit is found once for alike waits."""

    def __init__(self, terms: DispatchTerms) -> None:
        self._terms = terms
        # Each with the unit itself, so that no other one gets its identity.
        self._priced: dict[tuple[int, float], tuple[RunningUnit, RunningUnit]] = {}

    def price(
        self,
        step: WaitingStep,
        units: Iterable[RunningUnit],
        *,
        may_let_end: bool = True,
    ) -> StopPrices:
        """Return the prices of stopping units for a step."""
        waits_s = _wait_s(step)
        found: list[RunningUnit] = []
        let_end: set[int] = set()
        for unit in units:
            key = (id(unit), waits_s)
            priced = self._priced.get(key)
            if priced is None:
                one = replace(unit, cost=_price_stop(unit, waits_s, self._terms))
                priced = self._priced[key] = (unit, one)
            one = priced[1]
            ends_s = unit.remaining_s * OVERRUN_FACTOR
            if may_let_end and ends_s < self._max_let_end_s(step):
                cost_of_wait = delay_cost(step.stake, ends_s)
                if cost_of_wait <= one.cost:
                    one = replace(unit, cost=cost_of_wait)
                    let_end.add(id(one))
            found.append(one)
        return StopPrices(found, frozenset(let_end), stop_gain(step))

    def _max_let_end_s(self, step: WaitingStep) -> float:
        """Return how long a step waits for units to end; an urgent one no longer."""
        return self._terms.stop_s if step.is_urgent else MAX_LET_END_S


def stop_gain(step: WaitingStep) -> float:
    """Return what the caller of a step gains if it has not to wait for room.

    An urgent step may lose all: an estimate that is too long feigns slack.
    """
    return step.stake.worth if step.is_urgent else delay_cost(step.stake, _wait_s(step))


def _wait_s(step: WaitingStep) -> float:
    """Return how long a step waits, or its room is taken, in doublings of a minimum."""
    multiple = min(max(1.0, step.expected_s / MIN_WAIT_S), 2.0**MAX_WAIT_DOUBLINGS)
    return MIN_WAIT_S * 2.0 ** math.ceil(math.log2(multiple))


def _price_stop(unit: RunningUnit, waits_s: float, terms: DispatchTerms) -> float:
    return stop_cost(
        unit.stake,
        lost_core_s=unit.cost,
        cores=unit.cores,
        earlier_stops=unit.earlier_stops,
        waits_s=waits_s,
        has_checkpoints=unit.has_checkpoints,
        terms=terms,
    )


__all__ = ["StopPrices", "StopPricing", "stop_gain"]
