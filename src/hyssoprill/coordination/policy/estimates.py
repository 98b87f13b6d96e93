"""Run times learned from usage, since declared ones are far off."""

from __future__ import annotations

import math

LEARNING_RATE = 0.2
MAX_FACTOR = 1000.0


class RuntimeEstimates:
    """Ratio of actual to declared run time, by workspace and kind.

    The ratio is a geometric moving average; an unknown kind takes that of its
    workspace, and an unknown workspace that of all.
    """

    def __init__(self) -> None:
        self._log_ratio: dict[tuple[str, str], float] = {}

    def record_run(
        self, workspace: str, kind: str, declared_s: float, actual_s: float
    ) -> None:
        """Take in one completed run."""
        ratio = math.log(max(actual_s, 1e-3) / max(declared_s, 1e-3))
        for key in ((workspace, kind), (workspace, ""), ("", "")):
            old = self._log_ratio.get(key, ratio)
            self._log_ratio[key] = old + LEARNING_RATE * (ratio - old)

    def expected_s(self, workspace: str, kind: str, declared_s: float) -> float:
        """Return the expected run time in seconds."""
        for key in ((workspace, kind), (workspace, ""), ("", "")):
            found = self._log_ratio.get(key)
            if found is not None:
                factor = min(math.exp(found), MAX_FACTOR)
                return max(declared_s * factor, 1e-3)
        return max(declared_s, 1e-3)


__all__ = ["RuntimeEstimates"]
