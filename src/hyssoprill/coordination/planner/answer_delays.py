"""Tells how late this planner answers, by the delays that agents measure."""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

from ...clock import boottime_s

if TYPE_CHECKING:
    from ...protocol.upstream_messages import VmHeartbeat, VmReport
    from .fleet import Fleet


class AnswerDelays:
    """Newest answer delay of each VM in the current term."""

    def __init__(self, fleet: Fleet) -> None:
        self._fleet = fleet
        self._delays_s: dict[str, float] = {}

    def clear(self) -> None:
        """Drop all delays, at the start of a term."""
        self._delays_s.clear()

    def record(self, message: VmReport | VmHeartbeat, term: int) -> None:
        """Take the delay from a message, if it is one of this term."""
        if message.answer_term == term:
            self._delays_s[message.vm] = message.answer_delay_s

    def in_contact_s(self) -> list[float]:
        """Return the delays of the VMs in contact."""
        now_s, vms = boottime_s(), self._fleet.vms
        return [
            delay_s
            for name, delay_s in self._delays_s.items()
            if name in vms and vms[name].is_responsive(now_s)
        ]

    @property
    def median_s(self) -> float:
        """Median over the VMs in contact, 0 without any."""
        return median(self.in_contact_s() or [0.0])


__all__ = ["AnswerDelays"]
