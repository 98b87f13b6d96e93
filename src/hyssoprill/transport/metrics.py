"""Prometheus metrics of one process, rendered with aioprometheus."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from loguru import logger

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

_PREFIX = "hyssoprill_"
DURATION_FIELDS = ("took_s", "waited_s", "ran_s")
"""Fields of decision log lines that are recorded as histograms."""
LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]


class Metrics:
    """Counters, gauges and histograms, labelled with the process's role and name."""

    def __init__(self, role: str, name: str) -> None:
        self._registry = Registry()
        self._histograms: dict[str, Histogram] = {}
        self._watched: dict[str, Callable[[], float]] = {}
        self._decisions = Counter(
            f"{_PREFIX}decisions_total", "decisions by kind", registry=self._registry
        )
        self.role = role
        self._labels = {"role": role, "name": name}
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self.totals: dict[str, int] = {}
        self.busy_s = 0.0

    def count(self, name: str, size: int | None = None) -> None:
        """Increment a counter, and add a size to its `_bytes` counter if given."""
        self._add(name, 1)
        if size is not None:
            self._add(f"{name}_bytes", size)

    def failure(self, where: str, exc: Exception) -> None:
        """Count an unexpected error; log only the first one of each place."""
        name = f"errors_{where}"
        if name not in self.totals:
            logger.opt(exception=exc).error("unexpected error in {}", where)
        self._add(name, 1)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge to a value."""
        metric = self._gauges.get(name)
        if metric is None:
            text = name.replace("_", " ")
            metric = Gauge(_PREFIX + name, text, registry=self._registry)
            self._gauges[name] = metric
        metric.set(self._labels, value)

    def observe(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        metric = self._histograms.get(name)
        if metric is None:
            metric = Histogram(
                f"{_PREFIX}{name}_seconds",
                name.replace("_", " "),
                buckets=LATENCY_BUCKETS_S,
                registry=self._registry,
            )
            self._histograms[name] = metric
        metric.observe({**self._labels, **labels}, seconds)

    def decided(self, event: str, fields: Mapping[str, Any]) -> None:
        """Count a decision by event, and record its durations in histograms."""
        self._decisions.add({**self._labels, "event": event}, 1)
        for name in DURATION_FIELDS:
            if name in fields:
                self.observe(f"{event}_{name.removesuffix('_s')}", fields[name])

    def watch(self, name: str, value: Callable[[], float]) -> None:
        """Register a gauge whose value is computed at each scrape."""
        self._watched[name] = value

    def busy(self, seconds: float) -> None:
        """Add to the total time spent in message handlers."""
        self.busy_s += seconds

    def text(self) -> bytes:
        """Return all metrics in Prometheus text format."""
        self.gauge("handler_busy_seconds", self.busy_s)
        for name, value in self._watched.items():
            self.gauge(name, value())
        for name, total in self.totals.items():
            self._counter(name).set_value(self._labels, total)
        return render(self._registry, ["text/plain"])[0]

    def _add(self, name: str, amount: int) -> None:
        self.totals[name] = self.totals.get(name, 0) + amount

    def _counter(self, name: str) -> Counter:
        metric = self._counters.get(name)
        if metric is None:
            text = name.replace("_", " ")
            full_name = f"{_PREFIX}{name}_total"
            metric = Counter(full_name, text, registry=self._registry)
            self._counters[name] = metric
        return metric


__all__ = ["Metrics"]
