"""Decides which runs to migrate off a draining upstream before it shuts down.

Load pattern: upstreams are drained and removed, one or many at once, sometimes long
after the minimum time that they announce. Runs with checkpoints are migrated at once,
others only if they would certainly be cut off.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ....protocol.job import Step

EXPECTED_OVERSTAY_S = 8.0
"""Draining upstreams often stay this much longer than the time they announce."""
NEARLY_DONE_S = 1.0
"""Runs with less than this remaining are not migrated."""


def should_migrate(
    step: Step, run_remaining_s: float, upstream_remaining_s: float
) -> bool:
    """Return whether to stop a run on a draining upstream and start it elsewhere."""
    upstream_remaining_s = max(upstream_remaining_s, 0.0)
    if run_remaining_s < min(NEARLY_DONE_S, upstream_remaining_s):
        return False
    if step.checkpoints:
        return True
    return run_remaining_s > upstream_remaining_s + EXPECTED_OVERSTAY_S


__all__ = ["should_migrate"]
