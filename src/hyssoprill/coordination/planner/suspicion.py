"""Upstreams whose runs fail or stand still are spared for a while.

A job that fails everywhere is at fault itself: one failure for each job counts, and
none once the job has failed on other upstreams before.
"""

from __future__ import annotations

from collections import defaultdict

SPARE_S = 6.0
"""How long an upstream is used last after its newest mark."""
EXCLUDE_MARKS = 2
"""With so many marks within `SPARE_S`, it gets no starts at all."""


class Suspicion:
    """Marks against upstreams, with the jobs that caused them."""

    def __init__(self) -> None:
        self._marks: dict[str, dict[str, float]] = defaultdict(dict)
        self._failed_on: dict[str, set[str]] = defaultdict(set)

    def failed(self, upstream: str, job_id: str, now_s: float) -> None:
        """Note that a run of a job failed or stood still."""
        failed_on = self._failed_on[job_id]
        failed_on.add(upstream)
        if len(failed_on) == 1:
            self._marks[upstream][job_id] = now_s
            return
        for other in failed_on:
            self._marks[other].pop(job_id, None)

    def succeeded(self, upstream: str) -> None:
        """Note that a run was done: the upstream works."""
        self._marks.pop(upstream, None)

    def marks(self, upstream: str, now_s: float) -> int:
        """Return how many jobs speak against an upstream."""
        known = self._marks.get(upstream)
        if not known:
            return 0
        return sum(now_s - at < SPARE_S for at in known.values())

    def failed_on(self, job_id: str) -> frozenset[str]:
        """Return where runs of a job have failed."""
        return frozenset(self._failed_on.get(job_id, ()))


__all__ = ["EXCLUDE_MARKS", "Suspicion"]
