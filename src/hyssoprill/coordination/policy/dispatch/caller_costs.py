"""Tells what a delay and a stop cost callers.

Load pattern: there is too little room for all jobs to be in time. What waits, and what
is stopped, is then what costs callers least, by priority, deadline and work.

All costs are in core seconds, weighted by priority. Callers may give numbers of any
size: each function returns a finite number for them.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import lru_cache
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .terms import DispatchTerms

HIGHEST_WEIGHT = 4.0
"""Weight of the highest priority, 0; each further one weighs half of the one before."""
MAX_HALVINGS = 6
BASE_WORK_CORE_S = 100.0
"""Worth of a job beside its work: also the smallest has a caller who waits for it."""
LATE_FACTOR = 3.0
"""Up to this multiple of its objective a late job is still worth something; from RULES,
"Payoff"."""
LATE_SHARE = 0.25
"""Part of its worth that a late job still has."""
RUN_TIME_SPREAD = 0.25
"""Scale of the error of expected run times, as a share of them."""
MIN_SPREAD_S = 0.25
"""Scale of the error of any expected end; covers starts and reports."""
AGING_SHARE = 0.05
"""Part of its worth for which each further objective of waiting counts."""
MAX_AMOUNT = 1e12
"""Largest time or work in the account; more changes no decision."""
MAX_STOP_DOUBLINGS = 10
"""Limit of the doublings of a stop's price by earlier stops."""


@dataclass(frozen=True, slots=True)
class CallerStake:
    """What a job is worth to its caller, and until when.

    Attributes
    ----------
    worth : float
        If it ends within its objective.
    objective_s : float
        Length of its objective.
    slack_s : float
        Time until it can no longer end within its objective; negative once late.
    remaining_s : float
        Expected run time of what is not done yet.
    """

    worth: float = 0.0
    objective_s: float = 0.0
    slack_s: float = 0.0
    remaining_s: float = 0.0


NO_STAKE = CallerStake()
"""Of a job whose stake is not asked for."""


def stake_of(
    priority: int,
    work_core_s: float,
    *,
    objective_s: float,
    slack_s: float,
    remaining_s: float,
) -> CallerStake:
    """Return the stake of a job from what its caller and its history tell."""
    weight = HIGHEST_WEIGHT * 0.5 ** min(max(priority, 0), MAX_HALVINGS)
    return CallerStake(
        weight * (BASE_WORK_CORE_S + _bounded(work_core_s, 0.0)),
        _bounded(objective_s, 0.0),
        _bounded(slack_s, -MAX_AMOUNT),
        _bounded(remaining_s, 0.0),
    )


@lru_cache(maxsize=1024)
def delay_cost(stake: CallerStake, delay_s: float) -> float:
    """Return what a job's caller is expected to lose by a further delay."""
    delay_s = _bounded(delay_s, 0.0)
    return max(_expected_worth(stake, 0.0) - _expected_worth(stake, delay_s), 0.0)


def aging_cost(stake: CallerStake) -> float:
    """Return what the further waiting of a job counts that has waited for too long.

    0 until it can no longer earn anything. It grows without a bound from there on, so
    that the job comes before others of its class after a bounded time.
    """
    objective_s = max(stake.objective_s, MIN_SPREAD_S)
    late_by = -stake.slack_s / objective_s - (LATE_FACTOR - 1.0)
    return max(late_by, 0.0) * AGING_SHARE * stake.worth


def stop_cost(
    stake: CallerStake,
    *,
    lost_core_s: float,
    cores: float,
    earlier_stops: int,
    waits_s: float,
    has_checkpoints: bool,
    terms: DispatchTerms,
) -> float:
    """Return what a stop of a running unit costs.

    Parameters
    ----------
    lost_core_s, cores : float
        Work since the last save, and the room of the unit.
    earlier_stops : int
        How often it was stopped before; each doubles the price of the next stop.
    waits_s : float
        Time for which its room is expected to be taken.
    """
    restore_s = terms.restore_s if has_checkpoints else 0.0
    cores = min(max(cores, 1e-3), MAX_AMOUNT)
    lost_core_s = _bounded(lost_core_s, 0.0)
    overhead_core_s = (terms.stop_s + restore_s) * cores
    price = (lost_core_s + overhead_core_s) * 2.0 ** min(
        max(earlier_stops, 0), MAX_STOP_DOUBLINGS
    )
    delay_s = _bounded(waits_s, 0.0) + terms.stop_s + restore_s + lost_core_s / cores
    return price + delay_cost(stake, delay_s)


def _expected_worth(stake: CallerStake, delay_s: float) -> float:
    spread_s = max(stake.remaining_s * RUN_TIME_SPREAD, MIN_SPREAD_S)
    left_s = stake.slack_s - delay_s
    late_left_s = left_s + (LATE_FACTOR - 1.0) * stake.objective_s
    in_time = _chance(left_s / spread_s)
    not_too_late = _chance(late_left_s / spread_s)
    return stake.worth * ((1 - LATE_SHARE) * in_time + LATE_SHARE * not_too_late)


def _chance(margin: float) -> float:
    """Return the chance of an end in time, with the margin in units of the spread."""
    return 1.0 / (1.0 + math.exp(-min(max(margin, -50.0), 50.0)))


def _bounded(amount: float, least: float) -> float:
    """Return the amount within the limits of the account; the least for no number."""
    if amount != amount:  # noqa: PLR0124 - not a number
        return least
    return float(min(max(amount, least), MAX_AMOUNT))


__all__ = [
    "NO_STAKE",
    "CallerStake",
    "aging_cost",
    "delay_cost",
    "stake_of",
    "stop_cost",
]
