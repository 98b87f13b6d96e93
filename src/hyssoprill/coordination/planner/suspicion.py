"""Upstreams whose runs fail or stand still are spared for a while.

Load pattern: one upstream fails all that it starts and is therefore always the one
with free room, or a job fails wherever it runs. Failures count against an upstream
only while the job has not failed on another one. Where several upstreams fail all they
start, a job may meet two of them: runs that failed at once speak against both.
"""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.job_table import StepKey

SPARE_S = 6.0
"""How long a failure counts against an upstream."""
REFUSAL_DELAY_S = 0.1
"""After a refused start a step waits so long, doubled with each further one."""
MAX_REFUSAL_DELAY_S = 3.0
MAX_BAD_UPSTREAMS = 2
"""A job that failed at once on more upstreams than this fails at once everywhere."""
EXCLUDE_MARKS = 2
"""With so many failures in a row within `SPARE_S`, it gets no starts at all."""


class Suspicion:
    """Failures since the last success on each upstream, by the job that failed."""

    def __init__(self) -> None:
        self._failures: dict[str, dict[str, dict[int, float]]] = defaultdict(dict)
        self._failed_on: dict[str, dict[str, set[int]]] = defaultdict(dict)
        self._refusals: dict[StepKey, tuple[int, float]] = {}

    def failed(
        self,
        upstream: str,
        job_id: str,
        run: int,
        now_s: float,
        *,
        at_once: bool = False,
    ) -> None:
        """Note that a run of a job failed or stood still.

        Tasks that were started together, as those of a gang, count once. A run that
        failed at once counts twice: so do those of an upstream that fails them all.
        """
        failed_on = self._failed_on[job_id]
        marks = {run, -run} if at_once else {run}
        failed_on.setdefault(upstream, set()).update(marks)
        known = self._failures[upstream].setdefault(job_id, {})
        known.update(dict.fromkeys(marks, now_s))
        if len(failed_on) > 1:
            self._dismiss(job_id, failed_on)

    def _dismiss(self, job_id: str, failed_on: dict[str, set[int]]) -> None:
        """Forget failures that are probably the job's own fault."""
        at_once = {one for one, marks in failed_on.items() if min(marks) < 0}
        if len(at_once) > MAX_BAD_UPSTREAMS:
            at_once = set()
        for upstream in failed_on.keys() - at_once:
            self._failures[upstream].pop(job_id, None)

    def succeeded(self, upstream: str, began_s: float) -> None:
        """Note that a run was done: the upstream worked when it began.

        Runs that began before the failures end well also on an upstream that fails
        all it starts.
        """
        for runs in self._failures.get(upstream, {}).values():
            for mark in [one for one, at in runs.items() if at < began_s]:
                del runs[mark]

    def marks(self, upstream: str, now_s: float) -> int:
        """Return how many failures speak against an upstream."""
        known = self._failures.get(upstream, {})
        times = (at for runs in known.values() for at in runs.values())
        return sum(now_s - at < SPARE_S for at in times)

    def failed_on(self, job_id: str, *, least: int = 1) -> frozenset[str]:
        """Return the upstreams where at least so many runs of a job have failed."""
        known = self._failed_on.get(job_id, {})
        return frozenset(one for one, runs in known.items() if len(runs) >= least)

    def refused(self, step: StepKey, now_s: float) -> None:
        """Note that an upstream refused to start a task of a step."""
        times, _until_s = self._refusals.get(step, (0, 0.0))
        delay_s = min(REFUSAL_DELAY_S * 2**times, MAX_REFUSAL_DELAY_S)
        self._refusals[step] = (times + 1, now_s + delay_s)

    def has_to_wait(self, step: StepKey, now_s: float) -> bool:
        """Tell whether a step was refused too lately to try again."""
        return now_s < self._refusals.get(step, (0, 0.0))[1]

    def keep_only(self, job_ids: set[str], now_s: float) -> None:
        """Forget where jobs failed that are over, and failures that no longer count."""
        for upstream, known in list(self._failures.items()):
            for job_id, runs in list(known.items()):
                if all(now_s - at >= SPARE_S for at in runs.values()):
                    del known[job_id]
            if not known:
                del self._failures[upstream]
        for job_id in self._failed_on.keys() - job_ids:
            del self._failed_on[job_id]
        for step in [one for one in self._refusals if one.job_id not in job_ids]:
            del self._refusals[step]


__all__ = ["EXCLUDE_MARKS", "Suspicion"]
