"""Finds the term that an upstream asks for, where no planner has named one.

An upstream does nothing for a term below the highest that it has seen, and does not
name it. A new process of the agent that is out of contact has to find it, or it can
neither read what runs there nor stop it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from .planner_grant import PlannerGrant

PROBE_INTERVAL_S = 0.01
"""Pause between probes; upstreams answer refused calls within milliseconds."""


class FenceSearch:
    """Searches the highest term that one incarnation of an upstream has seen.

    Terms are tried in ascending order, and each until it is answered. So the first one
    that is accepted is the highest seen, that of a planner which an earlier process of
    the agent obeyed: a probe never raises it, and no planner's orders are refused
    because of one. Lower terms belong to planners whose time is over.

    The search ends for good once a planner has granted leases to this process. A
    refusal then means that this process or its planner is outdated.

    Parameters
    ----------
    grant : PlannerGrant
        Names the term of the planner, if one has answered this process.
    """

    def __init__(self, grant: PlannerGrant) -> None:
        self._grant = grant
        self._lowest = 0

    @property
    def term(self) -> int:
        """Term for reading the listing and for stops.

        It is the planner's, if one is known. Any other permits neither to start runs
        nor to extend leases nor to acknowledge ends.
        """
        return self._grant.term or self._lowest

    def record_refused(self, term: int) -> bool:
        """Record that the upstream has seen a higher term.

        Returns
        -------
        bool
            Whether a higher one may be tried.
        """
        self._lowest = max(self._lowest, term + 1)
        return not self._grant.term


__all__ = ["PROBE_INTERVAL_S", "FenceSearch"]
