"""Keeps tasks that may crash their upstream apart from other work.

Load pattern: a task crashes each upstream that starts it, and everything that runs
there is lost. Which of several tasks did it shows only when a suspect starts where no
other job's task is starting. Innocent tasks lose least when a suspect starts on an idle
upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import UpstreamView, WaitingStep


def separate_suspects(
    step: WaitingStep, candidates: list[UpstreamView]
) -> list[UpstreamView]:
    """Return the upstreams on which a start of a step could be told from others.

    A step covered by a guarantee may start beside a suspect, as it must not wait.
    """
    own = {step.job.id}
    if step.is_suspect:
        return [one for one in candidates if one.starting_jobs <= own]
    if step.within_guarantee:
        return candidates
    return [one for one in candidates if one.starting_suspects <= own]


def hold_upstream(step: WaitingStep, candidates: list[UpstreamView]) -> None:
    """Keep further starts off one upstream until a suspect can start there.

    In a busy pool, tasks of other jobs are always starting on every upstream.
    """
    able = [one for one in candidates if one.capacity.covers(step.step.need)]
    if step.is_suspect and able:
        upstream = min(able, key=lambda one: (len(one.starting_jobs), one.key))
        upstream.starting_suspects.add(step.job.id)


def record_start(step: WaitingStep, upstream: UpstreamView) -> None:
    """Record that a task of a step starts on an upstream in this round."""
    upstream.is_idle = False
    upstream.starting_jobs.add(step.job.id)
    if step.is_suspect:
        upstream.starting_suspects.add(step.job.id)


__all__ = ["hold_upstream", "record_start", "separate_suspects"]
