"""Whether an entry's bundle is surely the newest accepted one, so that it may start.

Evidence is a read of the log to its end within `MAX_EVIDENCE_AGE_S`, by this entry
or by a peer. Where the log answers nobody, contact with most of the known agents
takes its place: a bundle counts as accepted only when it is in force on most of
them. All ages are measured on this entry's own monotonic clock by echoed ticks.
"""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from ...state.bundle_projection import BundleProjection
    from .log_access import LogFollower
    from .membership import Membership

MAX_EVIDENCE_AGE_S = 1.5


class StartAuthority:
    """Tells whether starts may be ordered now."""

    def __init__(
        self, follower: LogFollower, membership: Membership, bundles: BundleProjection
    ) -> None:
        self._follower = follower
        self._membership = membership
        self._bundles = bundles

    @property
    def log_age_s(self) -> float:
        """Age of the best evidence that no newer bundle is on the log."""
        now_s = time.monotonic()
        best_s = self._follower.evidence_s
        for peer in self._membership.peers.values():
            best_s = max(best_s, peer.confirmed_s - peer.log_age_s)
        return now_s - best_s

    def why_not(self) -> str:
        """Return why no start may be ordered, or ''."""
        if self._newest_heard() > self._bundles.version:
            return "a newer bundle is in force elsewhere"
        if self.log_age_s <= MAX_EVIDENCE_AGE_S:
            return ""
        if self._hears_most_agents():
            return ""
        return "neither the log nor most of the agents answer"

    def _newest_heard(self) -> int:
        peers = [peer.bundle_version for peer in self._membership.peers.values()]
        agents = [agent.bundle_version for agent in self._membership.agents.values()]
        return max(peers + agents, default=0)

    def _hears_most_agents(self) -> bool:
        agents = self._membership.agents.values()
        oldest_s = time.monotonic() - MAX_EVIDENCE_AGE_S
        heard = sum(agent.confirmed_s > oldest_s for agent in agents)
        return heard * 2 > len(agents)


__all__ = ["MAX_EVIDENCE_AGE_S", "StartAuthority"]
