"""Decides which runs leave a draining upstream, by how long others stayed.

Load pattern: some sites take upstreams away as soon as the time that they announced is
over, others long after it. A run that is still there when its upstream goes is lost,
and its task waits until the leases have lapsed; one that leaves loses what it has done.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from .draining import EXPECTED_OVERSTAY_S, NEARLY_DONE_S
from .stalled_runs import RESTART_S

if TYPE_CHECKING:
    from ....protocol.job import Step

PRIOR_DEPARTURES = 2.0
"""Weight of the prior, in departures: half of them stay `EXPECTED_OVERSTAY_S` longer
than announced."""


@dataclass(frozen=True, slots=True)
class Departures:
    """How much longer than announced draining upstreams stayed, in seconds."""

    overstays_s: tuple[float, ...] = ()

    def share_staying(self, overstay_s: float) -> float:
        """Return the expected share that stays so much longer than announced."""
        prior = PRIOR_DEPARTURES * 0.5 ** (max(overstay_s, 0.0) / EXPECTED_OVERSTAY_S)
        seen = sum(one >= overstay_s for one in self.overstays_s)
        return (prior + seen) / (PRIOR_DEPARTURES + len(self.overstays_s))

    def chance_to_end(self, run_remaining_s: float, announced_s: float) -> float:
        """Return the chance that an upstream stays until a run ends.

        Parameters
        ----------
        announced_s : float
            What is left of the announced time; negative once it is over.
        """
        if run_remaining_s <= announced_s:
            return 1.0
        stayed = self.share_staying(-announced_s) if announced_s < 0 else 1.0
        if not stayed:  # after hours, the share is too small for a number
            return 0.0
        return self.share_staying(run_remaining_s - announced_s) / stayed


def should_leave(
    step: Step,
    departures: Departures,
    *,
    ran_s: float,
    run_remaining_s: float,
    announced_s: float,
    lapse_s: float,
) -> bool:
    """Return whether to stop a run on a draining upstream and start it elsewhere.

    Parameters
    ----------
    ran_s : float
        Time that the run has taken so far, lost by a stop.
    announced_s : float
        What is left of the announced time; negative once it is over.
    lapse_s : float
        Time until a run on an upstream that has gone is known to have ended.
    """
    if run_remaining_s < min(NEARLY_DONE_S, max(announced_s, 0.0)):
        return False
    if step.checkpoints:
        return True
    risk = 1 - departures.chance_to_end(run_remaining_s, announced_s)
    loss_s = ran_s + max(announced_s, 0.0) + lapse_s
    return risk * loss_s > ran_s + RESTART_S


__all__ = ["Departures", "should_leave"]
