"""Keeps tasks that may crash their upstream apart from other work.

Load pattern: a task crashes each upstream that starts it, and everything that runs
there is lost. Which of several tasks did it shows only when a suspect starts where no
other job's task is starting. Innocent tasks lose least when a suspect starts on an idle
upstream.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .placement import count_fits_on, free_now

if TYPE_CHECKING:
    from .model import UpstreamView, WaitingStep


def separate_suspects(
    step: WaitingStep, candidates: list[UpstreamView]
) -> list[UpstreamView]:
    """Return the upstreams on which a start of a step could be told from others.

    A suspect gets idle upstreams if they can run all its tasks, but for a gang, whose
    placement has rules of its own.
    """
    apart = [one for one in candidates if _is_apart(step, one)]
    if not step.is_suspect or step.step.gang:
        return apart
    idle = [one for one in apart if one.is_idle]
    room = sum(count_fits_on(step, one, free_now) for one in idle)
    return idle if room >= len(step.indices) else apart


def record_start(step: WaitingStep, upstream: UpstreamView) -> None:
    """Record that a task of a step starts on an upstream in this round."""
    upstream.is_idle = False
    upstream.starting_jobs.add(step.job.id)
    if step.is_suspect:
        upstream.starting_suspects.add(step.job.id)


def _is_apart(step: WaitingStep, upstream: UpstreamView) -> bool:
    others = upstream.starting_jobs if step.is_suspect else upstream.starting_suspects
    return others <= {step.job.id}


__all__ = ["record_start", "separate_suspects"]
