"""Orders waiting steps by what is lost when they wait longer.

Load pattern: bursts of short urgent jobs beside long ones. Priorities come first;
within one, the job that is next to miss its objective; jobs that have missed it come
after those that can still meet it, the longest waiting first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import WaitingStep


def rank(step: WaitingStep) -> tuple[bool, int, bool, float]:
    """Return the sort key of a waiting step; lower goes first."""
    late = step.slack_s < 0
    urgency = -step.waited_s if late else step.slack_s
    return not step.within_guarantee, step.job.priority, late, urgency


__all__ = ["rank"]
