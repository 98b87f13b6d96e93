"""Keeps some upstreams clear of work that would be lost at a stop.

Load pattern: wide steps of long work that cannot save its progress come while the pool
is empty, and urgent jobs of several whole upstreams a few seconds later. With that work
on every upstream, each urgent job throws some of it away. While such a step has time
left, it leaves a part of the pool to work that can be stopped for nothing; a step wider
than that runs in waves.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import UpstreamView, WaitingStep

CLEAR_SHARE = 0.3
"""Part of a group's upstreams that is kept clear."""
SPARING_SLACK_SHARE = 1.0
"""A step leaves upstreams clear while it can still wait this part of its run time."""


def spare_clear(
    step: WaitingStep,
    candidates: list[UpstreamView],
    upstreams: list[UpstreamView],
) -> list[UpstreamView]:
    """Leave out candidates that are to stay clear of a step's work.

    Parameters
    ----------
    candidates : list of UpstreamView
        Where the step may run.
    upstreams : list of UpstreamView
        All of the pool.
    """
    patience_s = step.step.estimate_ms / 1000 * SPARING_SLACK_SHARE
    if not step.is_dear or step.step.gang or step.slack_s < patience_s:
        return candidates
    group = [one for one in upstreams if one.group == step.job.group]
    clear = sum(not one.holds_dear_work for one in group)
    usable = max(clear - int(CLEAR_SHARE * len(group)), 0)
    dear = Counter(one.rack for one in group if one.holds_dear_work)
    found = [one for one in candidates if one.holds_dear_work]
    others = [one for one in candidates if not one.holds_dear_work]
    others.sort(
        key=lambda one: (
            one.key in step.avoid,
            one.penalty,
            -dear[one.rack],
            one.free.accelerators,
            one.key,
        )
    )
    roomy = [one for one in others if one.free.covers(step.step.need)]
    return found + roomy[:usable]


__all__ = ["CLEAR_SHARE", "spare_clear"]
