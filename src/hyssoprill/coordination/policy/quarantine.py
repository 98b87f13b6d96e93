"""Keeps work away from upstreams that fail everything."""

from __future__ import annotations

from dataclasses import dataclass, field

QUICK_FAILURE_S = 10.0
FIRST_BACKOFF_S = 5.0
MAX_BACKOFF_S = 600.0


@dataclass(slots=True)
class _FailureRecord:
    """Failures in a row on one upstream."""

    failures: int = 0
    sources: set[tuple[str, str]] = field(default_factory=set)
    until_s: float = 0.0
    backoff_s: float = FIRST_BACKOFF_S
    probing: bool = False


class Quarantine:
    """Tells upstreams that fail everything from kinds that fail everywhere.

    An upstream is quarantined after quick failures in a row of several sources
    (workspace and kind), or of one that succeeded elsewhere. When the backoff is
    over, the next failure quarantines it for twice as long and a success clears it.

    Parameters
    ----------
    threshold : int
        Failures in a row that quarantine an upstream.
    """

    def __init__(self, threshold: int = 3) -> None:
        self.threshold = threshold
        self._records: dict[str, _FailureRecord] = {}
        self._failed_upstreams: dict[tuple[str, str], set[str]] = {}
        self._succeeded_sources: set[tuple[str, str]] = set()

    def record_success(self, upstream: str, source: tuple[str, str]) -> None:
        """Note a success, which clears upstream and source."""
        self._records.pop(upstream, None)
        self._failed_upstreams.pop(source, None)
        self._succeeded_sources.add(source)

    def record_failure(
        self, upstream: str, source: tuple[str, str], ran_s: float, now_s: float
    ) -> bool:
        """Note a failure; return whether it put the upstream into quarantine."""
        if ran_s > QUICK_FAILURE_S:
            return False
        places = self._failed_upstreams.setdefault(source, set())
        places.add(upstream)
        if len(places) >= self.threshold:
            return False
        record = self._records.setdefault(upstream, _FailureRecord())
        record.failures += 1
        record.sources.add(source)
        is_suspect = len(record.sources) > 1 or source in self._succeeded_sources
        enough = record.failures >= self.threshold and is_suspect
        if not (enough or record.probing) or now_s < record.until_s:
            return False
        if record.probing:
            record.backoff_s = min(record.backoff_s * 2, MAX_BACKOFF_S)
        record.probing = True
        record.until_s = now_s + record.backoff_s
        return True

    def is_quarantined(self, upstream: str, now_s: float) -> bool:
        """Tell whether no work may be placed on an upstream."""
        record = self._records.get(upstream)
        return record is not None and now_s < record.until_s

    def is_on_probation(self, upstream: str) -> bool:
        """Tell whether an upstream may get one task at a time only."""
        record = self._records.get(upstream)
        return record is not None and record.probing

    def forget(self, upstream: str) -> None:
        """Drop the record of an upstream that left."""
        self._records.pop(upstream, None)


__all__ = ["Quarantine"]
