"""Quarantines upstreams on which all tasks fail, with exponential backoff."""

from __future__ import annotations

from dataclasses import dataclass, field

QUICK_FAILURE_S = 10.0
"""Failures after a longer run do not count against the upstream."""
FIRST_BACKOFF_S = 5.0
"""Length of the first quarantine; it doubles with each further one."""
MAX_BACKOFF_S = 600.0
"""Longest quarantine."""


@dataclass(slots=True)
class _FailureRecord:
    """Consecutive failures on one upstream and its quarantine.

    `sources` are the workspaces and kinds that failed; `probing` is set from the first
    quarantine until a success.
    """

    failures: int = 0
    sources: set[tuple[str, str]] = field(default_factory=set)
    until_s: float = 0.0
    backoff_s: float = FIRST_BACKOFF_S
    probing: bool = False


class Quarantine:
    """Distinguishes upstreams that fail all tasks from tasks that fail everywhere.

    An upstream is quarantined after consecutive quick failures of several sources
    (workspace and kind), or of one source that succeeded elsewhere. After the backoff
    it is on probation: the next failure quarantines it for twice as long, and a
    success clears it.

    Parameters
    ----------
    threshold : int
        Consecutive failures that quarantine an upstream. A source that failed on as
        many upstreams is not counted against further ones.
    """

    def __init__(self, threshold: int = 3) -> None:
        self.threshold = threshold
        self._records: dict[str, _FailureRecord] = {}
        self._failed_upstreams: dict[tuple[str, str], set[str]] = {}
        self._succeeded_sources: set[tuple[str, str]] = set()

    def record_success(self, upstream: str, source: tuple[str, str]) -> None:
        """Clear the failures of an upstream and a source after a success."""
        self._records.pop(upstream, None)
        self._failed_upstreams.pop(source, None)
        self._succeeded_sources.add(source)

    def record_failure(
        self, upstream: str, source: tuple[str, str], ran_s: float, now_s: float
    ) -> bool:
        """Count a failure; return whether it put the upstream into quarantine."""
        if ran_s > QUICK_FAILURE_S:
            return False
        failed_upstreams = self._failed_upstreams.setdefault(source, set())
        failed_upstreams.add(upstream)
        if len(failed_upstreams) >= self.threshold:
            return False
        record = self._records.setdefault(upstream, _FailureRecord())
        record.failures += 1
        record.sources.add(source)
        is_suspect = len(record.sources) > 1 or source in self._succeeded_sources
        is_failing = record.failures >= self.threshold and is_suspect
        if not (is_failing or record.probing) or now_s < record.until_s:
            return False
        if record.probing:
            record.backoff_s = min(record.backoff_s * 2, MAX_BACKOFF_S)
        record.probing = True
        record.until_s = now_s + record.backoff_s
        return True

    def is_quarantined(self, upstream: str, now_s: float) -> bool:
        """Return whether an upstream may get no jobs at present."""
        record = self._records.get(upstream)
        return record is not None and now_s < record.until_s

    def is_on_probation(self, upstream: str) -> bool:
        """Return whether an upstream may get only one job at a time.

        That holds from its first quarantine until a success.
        """
        record = self._records.get(upstream)
        return record is not None and record.probing

    def forget(self, upstream: str) -> None:
        """Drop the failures of an upstream that left the pool."""
        self._records.pop(upstream, None)


__all__ = ["Quarantine"]
