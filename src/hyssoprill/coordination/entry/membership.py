"""Tracks the known entries and agents by their last heartbeats."""

from __future__ import annotations

import time
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from ..identity import rendezvous_hash

if TYPE_CHECKING:
    from ...protocol.messages import (
        AgentHeartbeat,
        EntryAddress,
        EntryHeartbeat,
        GangMember,
        Inventory,
        Lease,
        UpstreamInfo,
    )

ENTRY_SILENCE_S = 1.5
"""An entry without a heartbeat for this long does not count as live."""
AGENT_SILENCE_S = 1.2
"""An upstream whose agent sent no heartbeat for this long gets no new starts."""
LEASE_LAPSE_S = 7.0
"""Leases of an agent without a heartbeat for this long count as ended."""
AGENT_REMOVAL_S = 600.0
GANG_EVIDENCE_S = 1.1
"""A gang member counts as alive for this long after its agent's last heartbeat."""


@dataclass(slots=True)
class PeerEntry:
    """Another entry and its last heartbeat.

    Attributes
    ----------
    sent_not_before_s : float
        Earliest time, on this process's clock, at which the last heartbeat can have
        been sent: the clock value of this entry that it echoes.
    """

    address: EntryAddress
    clock_s: float = 0.0
    last_heard_s: float = 0.0
    sent_not_before_s: float = float("-inf")
    bundle_version: int = 0
    log_age_s: float = float("inf")
    eligible: bool = False


@dataclass(slots=True)
class AgentView:
    """An agent, its upstream and its last heartbeat and inventory.

    Attributes
    ----------
    sent_not_before_s : float
        Earliest time, on this process's clock, at which the last heartbeat can have
        been sent.
    sent_generation : int
        Generation of the entry list that the agent was last sent.
    """

    name: str
    incarnation: str = ""
    clock_s: float = 0.0
    last_heard_s: float = 0.0
    sent_not_before_s: float = float("-inf")
    bundle_version: int = 0
    accepting: bool = False
    inventory_revision: int = -1
    gang_members: list[GangMember] = field(default_factory=list)
    info: UpstreamInfo | None = None
    leases: list[Lease] = field(default_factory=list)
    sent_generation: int = -1

    @property
    def silence_s(self) -> float:
        """Seconds since its last heartbeat."""
        return time.monotonic() - self.last_heard_s


class Membership:
    """Holds the known entries and agents and selects coordinators and owners.

    Parameters
    ----------
    own : EntryAddress
        Address of this entry.

    Attributes
    ----------
    generation : int
        Rises whenever the list of entries changes.
    """

    def __init__(self, own: EntryAddress) -> None:
        self.own = own
        self.peers: dict[str, PeerEntry] = {}
        self.agents: dict[str, AgentView] = {}
        self.generation = 0
        self._announced_gangs: set[str] = set()

    # Entries

    def add_entry(self, address: EntryAddress) -> bool:
        """Add an entry's address; return whether it is new.

        Another address than the known one is taken only where the known one is
        silent.
        """
        if address.name == self.own.name:
            return False
        known = self.peers.get(address.name)
        if known is not None and known.address == address:
            return False
        if known is not None and self._is_live(known):
            return False
        self.peers[address.name] = PeerEntry(address, last_heard_s=time.monotonic())
        self.generation += 1
        return True

    def record_entry_heartbeat(self, heartbeat: EntryHeartbeat) -> None:
        """Store the content of a peer's heartbeat."""
        peer = self.peers.get(heartbeat.address.name)
        if peer is None or peer.address != heartbeat.address:
            peer = PeerEntry(heartbeat.address)
            self.peers[heartbeat.address.name] = peer
            self.generation += 1
        peer.last_heard_s = time.monotonic()
        peer.clock_s = heartbeat.clock_s
        peer.sent_not_before_s = heartbeat.echoed_clock_s or float("-inf")
        peer.bundle_version = heartbeat.bundle_version
        peer.log_age_s = heartbeat.log_age_s
        peer.eligible = heartbeat.eligible

    def remove_silent_entries(self) -> list[str]:
        """Remove entries that have long been silent; return their names."""
        now_s = time.monotonic()
        removed = [
            name
            for name, peer in self.peers.items()
            if now_s - peer.last_heard_s > ENTRY_SILENCE_S * 10
        ]
        for name in removed:
            del self.peers[name]
            self.generation += 1
        return removed

    def live_peers(self) -> list[PeerEntry]:
        """Return the other entries that have sent a heartbeat recently."""
        return [peer for peer in self.peers.values() if self._is_live(peer)]

    def addresses(self) -> list[EntryAddress]:
        """Return the addresses of all live entries, this one included."""
        return [self.own, *(peer.address for peer in self.live_peers())]

    def live_incarnations(self) -> set[str]:
        """Return the incarnations of all live entries, this one included."""
        return {address.incarnation for address in self.addresses()}

    def coordinator(self, own_eligible: bool) -> str | None:
        """Return the entry that rendezvous hashing selects for this region."""
        names = [
            peer.address.name
            for peer in self.live_peers()
            if peer.eligible and peer.address.region == self.own.region
        ]
        if own_eligible:
            names.append(self.own.name)
        return rendezvous_hash(f"coordinator/{self.own.region}", names)

    def fallback_owner(self, job_id: str) -> str | None:
        """Return the entry that takes over a job whose owner is gone."""
        return rendezvous_hash(job_id, [one.name for one in self.addresses()])

    # Agents

    def record_agent_heartbeat(
        self, name: str, incarnation: str, heartbeat: AgentHeartbeat
    ) -> AgentView:
        """Store an agent's heartbeat; a new incarnation resets its inventory."""
        agent = self.agents.get(name)
        if agent is None:
            agent = self.agents[name] = AgentView(name)
        if agent.incarnation != incarnation:
            agent.incarnation = incarnation
            agent.inventory_revision = -1
            agent.sent_generation = -1
        agent.last_heard_s = time.monotonic()
        agent.clock_s = heartbeat.clock_s
        agent.sent_not_before_s = heartbeat.echoed_clock_s or float("-inf")
        agent.bundle_version = heartbeat.bundle_version
        agent.accepting = heartbeat.accepting
        agent.gang_members = heartbeat.gang_members
        return agent

    def record_inventory(
        self, name: str, incarnation: str, inventory: Inventory
    ) -> AgentView:
        """Store an agent's inventory."""
        agent = self.agents.get(name)
        if agent is None or agent.incarnation != incarnation:
            agent = self.agents[name] = AgentView(name, incarnation)
            agent.last_heard_s = time.monotonic()
        agent.inventory_revision = inventory.revision
        agent.info = inventory.info
        agent.leases = inventory.leases
        return agent

    def remove_silent_agents(self) -> None:
        """Remove agents that have been silent for `AGENT_REMOVAL_S`."""
        for name in [
            n for n, a in self.agents.items() if a.silence_s > AGENT_REMOVAL_S
        ]:
            del self.agents[name]

    def attempts_of(self, job_id: str) -> dict[str, dict[int, str]]:
        """Return the attempts of a job that hold leases: upstreams by member index."""
        found: dict[str, dict[int, str]] = {}
        for agent in self.agents.values():
            if agent.silence_s > LEASE_LAPSE_S:
                continue
            for lease in agent.leases:
                if lease.spec.id == job_id:
                    found.setdefault(lease.attempt, {})[lease.index] = agent.name
        return found

    def agents_of_newly_complete_gangs(self, agent: AgentView) -> list[AgentView]:
        """Return the other agents of gangs that this agent's heartbeat completed.

        Each gang is reported once, so that its members hear of it without waiting
        for the reply to their own next heartbeat.
        """
        complete = set(self.complete_gangs(agent.gang_members))
        new = complete - self._announced_gangs
        self._announced_gangs |= new
        if not new:
            return []
        self._announced_gangs &= {
            member.attempt
            for one in self.agents.values()
            for member in one.gang_members
        }
        return [
            other
            for other in self.agents.values()
            if other is not agent
            and any(member.attempt in new for member in other.gang_members)
        ]

    def complete_gangs(self, gang_members: list[GangMember]) -> list[str]:
        """Return which gangs of these members have all members alive or done.

        A gang whose members are all done is left out: it no longer needs evidence.
        """
        wanted = {member.attempt: member.size for member in gang_members}
        if not wanted:
            return []
        present: dict[str, set[int]] = {attempt: set() for attempt in wanted}
        unfinished: set[str] = set()
        for agent in self.agents.values():
            if agent.silence_s > GANG_EVIDENCE_S:
                continue
            for member in agent.gang_members:
                if member.attempt in present:
                    present[member.attempt].add(member.index)
                    if not member.done:
                        unfinished.add(member.attempt)
        return [
            name
            for name, size in wanted.items()
            if name in unfinished and len(present[name]) == size
        ]

    def _is_live(self, peer: PeerEntry) -> bool:
        return time.monotonic() - peer.last_heard_s < ENTRY_SILENCE_S


__all__ = [
    "AGENT_SILENCE_S",
    "LEASE_LAPSE_S",
    "AgentView",
    "Membership",
    "PeerEntry",
]
