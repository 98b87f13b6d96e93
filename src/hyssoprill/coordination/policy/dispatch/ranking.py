"""Orders waiting steps so that the least is lost by the waiting of the others.

Load pattern: bursts of short urgent jobs among long ones. Steps covered by a guarantee
come first, then lower priority numbers. Within a priority, steps for which runs were
stopped come first, as others would take their room. Then come steps that can still meet
their objective, the least slack before others, and after them those that can no longer
meet it, the longest waiting first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .model import WaitingStep


def scheduling_order(step: WaitingStep) -> tuple[bool, int, bool, bool, float]:
    """Return the sort key of a waiting step; the lowest is scheduled first."""
    is_late = step.slack_s < 0
    urgency = -step.waited_s if is_late else step.slack_s
    return (
        not step.within_guarantee,
        step.job.priority,
        not step.awaits_room,
        is_late,
        urgency,
    )


__all__ = ["scheduling_order"]
