"""Orders waiting steps so that the least is lost by the waiting of the others.

Load pattern: bursts of short urgent jobs among long ones. Steps covered by a guarantee
come first, then lower priority numbers. Within a priority, steps for which runs were
stopped come first, as others would take their room. Then come steps that can still meet
their objective, the least slack before others, and after them those that can no longer
meet it, the longest waiting first.

Where the terms call for it, steps of workspaces above their share come after others of
the same priority, and next those whose delay costs their callers most, for the room
that they take. Urgent steps stay in the order of their slack: for them a wait of the
length of a run is a loss in any case.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from .caller_costs import aging_cost, delay_cost

if TYPE_CHECKING:
    from collections.abc import Callable

    from .model import WaitingStep
    from .terms import DispatchTerms

    SchedulingKey = tuple[bool, int, bool, int, float, bool, float]

ORDER_DELAY_S = 2.0
"""Delay whose cost is compared: a time in which some room becomes free."""
MIN_WORK_CORE_S = 1.0


def scheduling_order(terms: DispatchTerms) -> Callable[[WaitingStep], SchedulingKey]:
    """Return the function that gives the sort key of a waiting step.

    The step with the lowest key is scheduled first.
    """
    return partial(_sort_key, terms)


def _sort_key(terms: DispatchTerms, step: WaitingStep) -> SchedulingKey:
    is_open = not step.within_guarantee
    by_cost = terms.caller_costs and is_open and not step.is_urgent
    is_late = step.slack_s < 0
    urgency = -step.waited_s if is_late else step.slack_s
    return (
        not step.within_guarantee,
        step.job.priority,
        not step.awaits_room,
        step.share_bucket if terms.fair_shares and is_open else 0,
        -cost_density(step) if by_cost else 0.0,
        is_late,
        urgency,
    )


def cost_density(step: WaitingStep) -> float:
    """Return what a short delay of a step costs, per core second of room it takes."""
    cost = delay_cost(step.stake, ORDER_DELAY_S) + aging_cost(step.stake)
    return cost / max(step.work_core_s, MIN_WORK_CORE_S)


def order_inputs(step: WaitingStep, terms: DispatchTerms) -> dict[str, float]:
    """Return what the terms in force add to the order of a step, for the log."""
    found: dict[str, float] = {}
    if terms.fair_shares:
        found["share_bucket"] = step.share_bucket
    if terms.caller_costs:
        found["delay_cost"] = round(cost_density(step), 4)
    return found


__all__ = ["cost_density", "order_inputs", "scheduling_order"]
