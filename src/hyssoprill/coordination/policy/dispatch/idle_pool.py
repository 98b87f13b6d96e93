"""Ends the wait for a better placement beside a pool that is mostly idle.

Load pattern: after a loss of power the queue is short and small tasks are spread over
all racks, so that no rack is free for a gang, or the upstreams left free are headroom.
Waiting for a better placement then keeps a job from running beside idle upstreams.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .placement import with_room

if TYPE_CHECKING:
    from .model import UpstreamView, WaitingStep

MAX_IDLE_WAIT_S = 2.4
"""Longest wait beside an idle pool.

RULES, LOST, allows 3 s; the rest is for the round, the order and the start."""
IDLE_SHARE = 0.5
"""A pool is idle if less than this share of one of its resources is in use."""
FIT_TIMES = 2
"""A pool is idle for a step if all its waiting tasks fit this many times."""


def has_waited_beside_idle_pool(
    step: WaitingStep, upstreams: list[UpstreamView], *, fit_times: int = FIT_TIMES
) -> bool:
    """Return whether a step has waited long enough although the pool is idle.

    Parameters
    ----------
    upstreams : list of UpstreamView
        All upstreams of the pool.
    fit_times : int
        How often all its waiting tasks have to fit.
    """
    if step.waited_s < MAX_IDLE_WAIT_S:
        return False
    group = [one for one in upstreams if one.group == step.job.group]
    if not _is_idle(group):
        return False
    wanted = fit_times * len(step.indices)
    need = step.step.need
    fits = [free.fit_count(need, wanted) for _one, free in with_room(need, group)]
    return sum(fits) >= wanted


def _is_idle(group: list[UpstreamView]) -> bool:
    """Return whether less than `IDLE_SHARE` of one resource of a group is in use."""
    capacity = map(sum, zip(*[one.capacity for one in group], strict=True))
    free = map(sum, zip(*[one.free for one in group], strict=True))
    return any(
        left > (1 - IDLE_SHARE) * whole
        for left, whole in zip(free, capacity, strict=True)
        if whole
    )


__all__ = ["MAX_IDLE_WAIT_S", "has_waited_beside_idle_pool"]
