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
    step: WaitingStep, candidates: list[UpstreamView], *, may_wait: bool
) -> list[UpstreamView]:
    """Return the upstreams on which a start of a step could be told from others.

    A step covered by a guarantee may start beside a suspect, as it must not wait. A
    suspect waits for an upstream of another VM than before where only starts under way
    keep it off: a further crash of the same VM tells less of it. It does not where a
    guarantee covers it, or once it has waited beside an idle pool.

    Parameters
    ----------
    may_wait : bool
        Whether it has not waited beside an idle pool for as long as it may.
    """
    own = {step.job.id}
    if step.is_suspect:
        apart = [one for one in candidates if one.starting_jobs <= own]
        if step.within_guarantee or not may_wait:
            return apart
        fresh = _fresh_with_room(step, candidates)
        return apart if not fresh or any(one in apart for one in fresh) else []
    if step.within_guarantee:
        return candidates
    return [one for one in candidates if one.starting_suspects <= own]


def hold_upstream(step: WaitingStep, candidates: list[UpstreamView]) -> None:
    """Keep further starts off one upstream until a suspect can start there.

    In a busy pool, tasks of other jobs are always starting on every upstream.
    """
    able = [one for one in candidates if one.capacity.covers(step.step.need)]
    able = _fresh_with_room(step, candidates) or able
    if step.is_suspect and able:
        upstream = min(able, key=lambda one: (len(one.starting_jobs), one.key))
        upstream.starting_suspects.add(step.job.id)


def _fresh_with_room(
    step: WaitingStep, candidates: list[UpstreamView]
) -> list[UpstreamView]:
    """Return the upstreams with room for a task on which the job has not failed yet."""
    return [
        one
        for one in candidates
        if one.key not in step.deprioritized_upstreams
        and one.free.covers(step.step.need)
    ]


def record_start(step: WaitingStep, upstream: UpstreamView) -> None:
    """Record that a task of a step starts on an upstream in this round."""
    upstream.is_idle = False
    upstream.starting_jobs.add(step.job.id)
    if step.is_suspect:
        upstream.starting_suspects.add(step.job.id)


__all__ = ["hold_upstream", "record_start", "separate_suspects"]
