"""Fixtures that check runs against the workers' own records."""

from __future__ import annotations

from concurrent.futures import Future, ThreadPoolExecutor
from typing import TYPE_CHECKING, Any

import pytest

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator


@pytest.fixture
def in_background() -> Iterator[Callable[..., Future]]:
    """Yield a function that runs a call in a thread and returns its future."""
    with ThreadPoolExecutor(32) as pool:
        yield pool.submit


class RunRecords:
    """Queries over the start and end events that all workers recorded."""

    def __init__(self, records: dict[str, list[dict[str, Any]]]) -> None:
        self._events = [
            {"upstream": name, **event}
            for name, events in records.items()
            for event in events
        ]

    def starts(self, job: str | None = None) -> list[dict[str, Any]]:
        """Return the start events of one job, or of all jobs."""
        return [
            event
            for event in self._events
            if event["event"] == "start" and job in (None, event["meta"]["job"])
        ]

    def runs_by_job(self) -> dict[str, int]:
        """Return the number of started attempts by job."""
        attempts: dict[str, set[str]] = {}
        for event in self.starts():
            meta = event["meta"]
            attempts.setdefault(meta["job"], set()).add(meta["attempt"])
        return {job: len(found) for job, found in attempts.items()}

    def longest_partial_run(self, now: float) -> float:
        """Return the longest time for which a gang ran without all its members.

        A member that is done counts as present; a lost one does not.
        """
        gangs: dict[str, list[dict[str, Any]]] = {}
        for event in self._events:
            if event["event"] in ("start", "end") and event["meta"]["size"] > 1:
                gangs.setdefault(event["meta"]["attempt"], []).append(event)
        return max(
            (_partial_run_s(events, now) for events in gangs.values()), default=0.0
        )


def _partial_run_s(events: list[dict[str, Any]], now: float) -> float:
    size = events[0]["meta"]["size"]
    present: set[int] = set()
    running: set[int] = set()
    partial_s = previous_s = 0.0
    for event in [*sorted(events, key=lambda event: event["at"]), {"at": now}]:
        if running and len(present) < size:
            partial_s += event["at"] - previous_s
        previous_s = event["at"]
        if event.get("event") == "start":
            present.add(event["meta"]["index"])
            running.add(event["meta"]["index"])
        elif event.get("event") == "end":
            running.discard(event["meta"]["index"])
            if event["state"] != "done":
                present.discard(event["meta"]["index"])
    return partial_s


@pytest.fixture
def run_records() -> type[RunRecords]:
    """Return the class that queries worker records."""
    return RunRecords
