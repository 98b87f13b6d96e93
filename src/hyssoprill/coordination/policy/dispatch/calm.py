"""Holds costly gangs back while upstreams are being lost around them.

Load pattern: a wide gang that saves nothing is broken as one of its upstreams is lost
without notice, begins anew at once beside others that are about to be lost, and loses
its work again, although its objective leaves slack to wait until that is over.
Each such loss costs its caller the time until the leases have lapsed, several times the
wait. An announced departure costs no more than the wait, so that nothing waits for it.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .lifetimes import TROUBLE_S
from .model import HeldStep
from .placement import with_room

if TYPE_CHECKING:
    from .model import UpstreamView, WaitingStep

MAX_BREAK_CHANCE = 0.25
"""A gang is held if the trouble under way would break it with this chance or more.

A wait of `TROUBLE_S` then avoids a quarter of the time that the leases take to lapse,
and of the work since the start."""
MAX_HOLD_S = 6.0
"""Longest wait of a step in which it is held."""
SLACK_RESERVE_SHARE = 0.5
"""Slack that is kept, as a multiple of the expected run time.

It covers the error of estimates."""


def hold_for_calm(
    step: WaitingStep, candidates: list[UpstreamView], *, may_wait: bool
) -> HeldStep | None:
    """Return until when a step is held back, or None if it is not.

    Parameters
    ----------
    candidates : list of UpstreamView
        Upstreams on which the step may run.
    may_wait : bool
        Whether it has not waited beside an idle pool for as long as it may.
    """
    trouble = max([one.trouble for one in candidates], default=0.0)
    if not trouble or not may_wait or not _is_at_risk(step):
        return None
    reserve_s = step.expected_s * SLACK_RESERVE_SHARE
    left_s = min(MAX_HOLD_S - step.waited_s, step.slack_s - reserve_s)
    if left_s <= 0:
        return None
    chance = _break_chance(step, candidates, trouble)
    if chance < MAX_BREAK_CHANCE:
        return None
    return HeldStep(step.key, chance, step.slack_s, left_s)


def _is_at_risk(step: WaitingStep) -> bool:
    """Return whether a loss would cost a step much that it could avoid by waiting."""
    return (
        step.step.gang
        and len(step.indices) > 1
        and step.is_costly_to_preempt
        and not step.within_guarantee
        and not step.step.long_running
    )


def _break_chance(
    step: WaitingStep, candidates: list[UpstreamView], trouble: float
) -> float:
    """Return the chance that the trouble under way breaks a gang that begins now.

    It spans as few upstreams as hold it, the roomiest ones.
    """
    need, missing = step.step.need, len(step.indices)
    limit = step.step.max_per_upstream or missing
    fits = [
        min(free.fit_count(need, missing), limit)
        for _one, free in with_room(need, candidates)
    ]
    width = 0
    for count in sorted(fits, reverse=True):
        if missing <= 0:
            break
        missing -= count
        width += 1
    losses = width * trouble * (1 - math.exp(-step.expected_s / TROUBLE_S))
    return 1 - math.exp(-losses)


__all__ = ["hold_for_calm"]
