"""Keeps a share of the pool free of work that is costly to preempt.

Load pattern: wide steps of long work without checkpoints arrive while the pool is
empty, and a few seconds later urgent jobs that need several whole upstreams. With such
work on every upstream, each urgent job destroys some of it. While a step of such work
has slack, it therefore leaves a share of the pool to work that can be preempted at no
loss. A step wider than the rest of the pool runs in several waves.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING

from .placement import with_room

if TYPE_CHECKING:
    from .model import UpstreamView, WaitingStep

HEADROOM_SHARE = 0.3
"""Share of a group's upstreams that is kept free of work that is costly to preempt."""
HEADROOM_SLACK_SHARE = 1.0
"""A step leaves headroom while its slack is at least this multiple of its run time."""


def exclude_headroom(
    step: WaitingStep,
    candidates: list[UpstreamView],
    upstreams: list[UpstreamView],
) -> list[UpstreamView]:
    """Return the candidates without those that a step has to leave as headroom.

    Upstreams that already host costly work stay candidates. Of the others a step may
    use those beyond `HEADROOM_SHARE`, on racks with much costly work first.

    Parameters
    ----------
    candidates : list of UpstreamView
        Upstreams on which the step may run.
    upstreams : list of UpstreamView
        All upstreams of the pool.
    """
    min_slack_s = step.expected_s * HEADROOM_SLACK_SHARE
    if not step.is_costly_to_preempt or step.step.gang or step.slack_s < min_slack_s:
        return candidates
    group = [one for one in upstreams if one.group == step.job.group]
    costly_per_rack = Counter([one.rack for one in group if one.hosts_costly_work])
    clear = len(group) - costly_per_rack.total()
    usable = max(clear - int(HEADROOM_SHARE * len(group)), 0)
    hosts = [one for one in candidates if one.hosts_costly_work]
    others = [one for one in candidates if not one.hosts_costly_work]
    fitting = [one for one, _free in with_room(step.step.need, others)]
    fitting.sort(
        key=lambda one: (
            one.key in step.deprioritized_upstreams,
            one.penalty,
            -costly_per_rack.get(one.rack, 0),
            one.free.accelerators,
            one.key,
        )
    )
    return hosts + fitting[:usable]


__all__ = ["HEADROOM_SHARE", "exclude_headroom"]
