"""Tracks failed and stalled runs and attributes them to the upstream or the job.

Upstreams with recent failures are avoided for a while. Load pattern: one upstream fails
everything it starts, so it is always the one with free capacity; or a job fails
wherever it runs. Failures therefore count against an upstream only while the job has
not failed on another one. If several upstreams fail everything they start, a job may
run on two of them, so immediate failures count against both.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.job_table import StepKey

FAILURE_TTL_S = 6.0
"""How long a failure counts against an upstream."""
REFUSAL_BACKOFF_S = 0.1
"""Delay of a step after its first refused start; doubled with each further one."""
MAX_REFUSAL_BACKOFF_S = 3.0
MAX_BAD_UPSTREAMS = 2
"""A job that fails immediately on more upstreams than this is taken to be at fault."""
EXCLUDE_AT_FAILURES = 2
"""Failures in a row within `FAILURE_TTL_S` after which an upstream gets no starts."""


@dataclass(slots=True)
class StepRefusals:
    """Refused starts of a step since one of its runs has started."""

    count: int = 0
    until_s: float = 0.0
    newest_run: int = 0


class FailureTracker:
    """Failures on each upstream since its last success, and refused starts of steps."""

    def __init__(self) -> None:
        self._failures: dict[str, dict[str, dict[int, float]]] = defaultdict(dict)
        self._failed_upstreams: dict[str, dict[str, set[int]]] = defaultdict(dict)
        self._refusals: dict[StepKey, StepRefusals] = {}

    def record_failure(
        self,
        upstream: str,
        job_id: str,
        run: int,
        now_s: float,
        *,
        immediate: bool = False,
    ) -> None:
        """Record that a run of a job failed or stalled.

        Tasks started together, such as those of a gang, share a run number and count
        once. An immediate failure counts twice, as it is typical of an upstream that
        fails everything it starts.
        """
        failed_upstreams = self._failed_upstreams[job_id]
        # The negative run number marks an immediate failure.
        marks = {run, -run} if immediate else {run}
        failed_upstreams.setdefault(upstream, set()).update(marks)
        failure_times = self._failures[upstream].setdefault(job_id, {})
        failure_times.update(dict.fromkeys(marks, now_s))
        if len(failed_upstreams) > 1:
            self._discard_job_faults(job_id, failed_upstreams)

    def _discard_job_faults(
        self, job_id: str, failed_upstreams: dict[str, set[int]]
    ) -> None:
        """Discard failures of a job that are probably its own fault.

        These are all but immediate ones on at most `MAX_BAD_UPSTREAMS` upstreams.
        """
        immediate = {one for one, marks in failed_upstreams.items() if min(marks) < 0}
        if len(immediate) > MAX_BAD_UPSTREAMS:
            immediate = set()
        for upstream in failed_upstreams.keys() - immediate:
            self._failures[upstream].pop(job_id, None)

    def record_success(self, upstream: str, started_s: float) -> None:
        """Discard failures of an upstream from before a successful run began there.

        Later failures are kept: a run that began before them also succeeds on an
        upstream that has since begun to fail everything it starts.
        """
        for runs in self._failures.get(upstream, {}).values():
            for mark in [one for one, at in runs.items() if at < started_s]:
                del runs[mark]

    def recent_failures(self, upstream: str, now_s: float) -> int:
        """Return how many recent failures count against an upstream."""
        by_job = self._failures.get(upstream)
        if not by_job:
            return 0
        times = (at for runs in by_job.values() for at in runs.values())
        return sum(now_s - at < FAILURE_TTL_S for at in times)

    def failed_upstreams(self, job_id: str, *, at_least: int = 1) -> frozenset[str]:
        """Return the upstreams on which `at_least` runs of a job have failed.

        An immediate failure counts as two.
        """
        by_upstream = self._failed_upstreams.get(job_id, {})
        return frozenset(
            one for one, runs in by_upstream.items() if len(runs) >= at_least
        )

    def record_refusal(self, step: StepKey, now_s: float, run: int = 0) -> None:
        """Record that an upstream refused to start a task of a step.

        `run` is the number of the refused run.
        """
        refusals = self._refusals.setdefault(step, StepRefusals())
        delay_s = min(REFUSAL_BACKOFF_S * 2**refusals.count, MAX_REFUSAL_BACKOFF_S)
        refusals.count += 1
        refusals.until_s = now_s + delay_s
        refusals.newest_run = max(refusals.newest_run, run)

    @property
    def refused_steps(self) -> dict[StepKey, int]:
        """Steps with refused starts, and the newest run of each that was refused."""
        return {step: one.newest_run for step, one in self._refusals.items()}

    def forget_refusals(self, step: StepKey) -> None:
        """Forget the refusals of a step, as one of its later runs has started."""
        self._refusals.pop(step, None)

    def is_backing_off(self, step: StepKey, now_s: float) -> bool:
        """Return whether a step must wait after a refusal before it is tried again."""
        return step in self._refusals and now_s < self._refusals[step].until_s

    def retain(self, job_ids: set[str], now_s: float) -> None:
        """Drop expired failures, and what is known of jobs not in `job_ids`."""
        for upstream, by_job in list(self._failures.items()):
            for job_id, runs in list(by_job.items()):
                if all(now_s - at >= FAILURE_TTL_S for at in runs.values()):
                    del by_job[job_id]
            if not by_job:
                del self._failures[upstream]
        for job_id in self._failed_upstreams.keys() - job_ids:
            del self._failed_upstreams[job_id]
        for step in [one for one in self._refusals if one.job_id not in job_ids]:
            del self._refusals[step]


__all__ = ["EXCLUDE_AT_FAILURES", "FailureTracker"]
