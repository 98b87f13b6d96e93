"""Checks that an entry's bundle is the newest accepted one before it orders starts.

The proof is a read of the log to its end within `MAX_EVIDENCE_AGE_S`, by this entry
or by a peer. Where nobody can read the log, contact with a majority of the known
agents replaces it: a bundle counts as accepted only once it is in force on most of
them. All ages are measured on this entry's own monotonic clock, by echoed clock values.
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
    """Decides whether this entry may order starts now."""

    def __init__(
        self, follower: LogFollower, membership: Membership, bundles: BundleProjection
    ) -> None:
        self._follower = follower
        self._membership = membership
        self._bundles = bundles

    @property
    def log_age_s(self) -> float:
        """Age of the newest proof that the log holds no newer bundle."""
        now_s = time.monotonic()
        best_s = self._follower.last_read_to_end_s
        for peer in self._membership.peers.values():
            best_s = max(best_s, peer.sent_not_before_s - peer.log_age_s)
        return now_s - best_s

    def denial_reason(self) -> str:
        """Return why no start may be ordered, or '' where it may."""
        if self._newest_reported_version() > self._bundles.version:
            return "another process has a newer bundle in force"
        if self.log_age_s <= MAX_EVIDENCE_AGE_S:
            return ""
        if self._hears_agent_majority():
            return ""
        return "neither the log nor a majority of the agents answers"

    def _newest_reported_version(self) -> int:
        peers = [peer.bundle_version for peer in self._membership.peers.values()]
        agents = [agent.bundle_version for agent in self._membership.agents.values()]
        return max(peers + agents, default=0)

    def _hears_agent_majority(self) -> bool:
        agents = self._membership.agents.values()
        oldest_s = time.monotonic() - MAX_EVIDENCE_AGE_S
        heard = sum(agent.sent_not_before_s > oldest_s for agent in agents)
        return heard * 2 > len(agents)


__all__ = ["MAX_EVIDENCE_AGE_S", "StartAuthority"]
