"""Counters of one process, published by aioprometheus."""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram, Registry, render
from loguru import logger

_PREFIX = "hyssoprill_"
LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0]


class Metrics:
    """Named counters, gauges and histograms, labelled with role and name."""

    def __init__(self, role: str, name: str) -> None:
        self._registry = Registry()
        self._histograms: dict[str, Histogram] = {}
        self._labels = {"role": role, "name": name}
        self._counters: dict[str, Counter] = {}
        self._gauges: dict[str, Gauge] = {}
        self.totals: dict[str, int] = {}
        self.busy_s = 0.0

    def count(self, name: str, size: int | None = None) -> None:
        """Add one to a counter, and a size to its `_bytes` twin if given."""
        self._add(name, 1)
        if size is not None:
            self._add(f"{name}_bytes", size)

    def failure(self, where: str, exc: Exception) -> None:
        """Count an unexpected error; log the first of each kind."""
        name = f"errors_{where}"
        if name not in self.totals:
            logger.opt(exception=exc).error("unexpected error in {}", where)
        self._add(name, 1)

    def gauge(self, name: str, value: float) -> None:
        """Set a gauge."""
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

    def busy(self, seconds: float) -> None:
        """Add time spent in message handlers."""
        self.busy_s += seconds

    def text(self) -> bytes:
        """Return the Prometheus text exposition."""
        self.gauge("handler_busy_seconds", self.busy_s)
        return render(self._registry, ["text/plain"])[0]

    def _add(self, name: str, amount: int) -> None:
        metric = self._counters.get(name)
        if metric is None:
            text = name.replace("_", " ")
            full_name = f"{_PREFIX}{name}_total"
            metric = Counter(full_name, text, registry=self._registry)
            self._counters[name] = metric
        metric.add(self._labels, amount)
        self.totals[name] = self.totals.get(name, 0) + amount


__all__ = ["Metrics"]
