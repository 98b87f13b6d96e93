"""Entries and agents as one entry sees them."""

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
AGENT_SILENCE_S = 1.2
LEASE_LAPSE_S = 7.0
FORGET_S = 600.0
GANG_EVIDENCE_S = 1.1


@dataclass(slots=True)
class PeerEntry:
    """Another entry.

    Attributes
    ----------
    confirmed_s : float
        Own time before which the peer cannot have made its last statement.
    """

    address: EntryAddress
    tick: float = 0.0
    heard_s: float = 0.0
    confirmed_s: float = float("-inf")
    bundle_version: int = 0
    log_age_s: float = float("inf")
    eligible: bool = False


@dataclass(slots=True)
class AgentView:
    """An agent and its upstream."""

    name: str
    incarnation: str = ""
    tick: float = 0.0
    heard_s: float = 0.0
    confirmed_s: float = float("-inf")
    bundle_version: int = 0
    accepting: bool = False
    inventory_number: int = -1
    seats: list[GangMember] = field(default_factory=list)
    info: UpstreamInfo | None = None
    leases: list[Lease] = field(default_factory=list)
    told_entries: int = -1

    @property
    def silence_s(self) -> float:
        """Seconds since its last heartbeat."""
        return time.monotonic() - self.heard_s


class Membership:
    """All known entries and agents, with what they last said.

    Parameters
    ----------
    own : EntryAddress
        This entry.
    """

    def __init__(self, own: EntryAddress) -> None:
        self.own = own
        self.peers: dict[str, PeerEntry] = {}
        self.agents: dict[str, AgentView] = {}
        self.generation = 0
        self._told_whole: set[str] = set()

    # Entries

    def learn_entry(self, address: EntryAddress) -> bool:
        """Note an entry's address; return whether it is new."""
        if address.name == self.own.name:
            return False
        known = self.peers.get(address.name)
        if known is not None and known.address == address:
            return False
        if known is not None and self._is_heard(known):
            return False
        self.peers[address.name] = PeerEntry(address, heard_s=time.monotonic())
        self.generation += 1
        return True

    def entry_heartbeat(self, heartbeat: EntryHeartbeat) -> None:
        """Take in a peer's heartbeat."""
        peer = self.peers.get(heartbeat.address.name)
        if peer is None or peer.address != heartbeat.address:
            peer = PeerEntry(heartbeat.address)
            self.peers[heartbeat.address.name] = peer
            self.generation += 1
        peer.heard_s = time.monotonic()
        peer.tick = heartbeat.clock_s
        peer.confirmed_s = heartbeat.echoed_clock_s or float("-inf")
        peer.bundle_version = heartbeat.bundle_version
        peer.log_age_s = heartbeat.log_age_s
        peer.eligible = heartbeat.eligible

    def forget_entries(self) -> list[str]:
        """Drop entries long silent; return their names."""
        now_s = time.monotonic()
        gone = [
            name
            for name, peer in self.peers.items()
            if now_s - peer.heard_s > ENTRY_SILENCE_S * 10
        ]
        for name in gone:
            del self.peers[name]
            self.generation += 1
        return gone

    def live_peers(self) -> list[PeerEntry]:
        """Return the other entries heard lately."""
        return [peer for peer in self.peers.values() if self._is_heard(peer)]

    def addresses(self) -> list[EntryAddress]:
        """Return the addresses of all live entries, this one included."""
        return [self.own, *(peer.address for peer in self.live_peers())]

    def live_incarnations(self) -> set[str]:
        """Return the runs of entries that are alive."""
        return {address.incarnation for address in self.addresses()}

    def coordinator(self, own_eligible: bool) -> str | None:
        """Return the name of the entry that coordinates this region."""
        names = [
            peer.address.name
            for peer in self.live_peers()
            if peer.eligible and peer.address.region == self.own.region
        ]
        if own_eligible:
            names.append(self.own.name)
        return rendezvous_hash(f"coordinator/{self.own.region}", names)

    def owner_of(self, job_id: str) -> str | None:
        """Return the entry that looks after a job whose own one is gone."""
        return rendezvous_hash(job_id, [one.name for one in self.addresses()])

    # Agents

    def agent_heartbeat(
        self, name: str, incarnation: str, heartbeat: AgentHeartbeat
    ) -> AgentView:
        """Take in an agent's heartbeat."""
        agent = self.agents.get(name)
        if agent is None:
            agent = self.agents[name] = AgentView(name)
        if agent.incarnation != incarnation:
            agent.incarnation = incarnation
            agent.inventory_number = -1
            agent.told_entries = -1
        agent.heard_s = time.monotonic()
        agent.tick = heartbeat.clock_s
        agent.confirmed_s = heartbeat.echoed_clock_s or float("-inf")
        agent.bundle_version = heartbeat.bundle_version
        agent.accepting = heartbeat.accepting
        agent.seats = heartbeat.gang_members
        return agent

    def inventory(self, name: str, incarnation: str, inventory: Inventory) -> AgentView:
        """Take in an agent's inventory."""
        agent = self.agents.get(name)
        if agent is None or agent.incarnation != incarnation:
            agent = self.agents[name] = AgentView(name, incarnation)
            agent.heard_s = time.monotonic()
        agent.inventory_number = inventory.revision
        agent.info = inventory.info
        agent.leases = inventory.leases
        return agent

    def forget_agents(self) -> None:
        """Drop agents that have been silent for very long."""
        for name in [n for n, a in self.agents.items() if a.silence_s > FORGET_S]:
            del self.agents[name]

    def attempts_of(self, job_id: str) -> dict[str, dict[int, str]]:
        """Return the visible attempts of a job: upstreams by member index."""
        found: dict[str, dict[int, str]] = {}
        for agent in self.agents.values():
            if agent.silence_s > LEASE_LAPSE_S:
                continue
            for lease in agent.leases:
                if lease.spec.id == job_id:
                    found.setdefault(lease.attempt, {})[lease.index] = agent.name
        return found

    def newly_whole(self, agent: AgentView) -> list[AgentView]:
        """Return the other agents of gangs that this one's heartbeat made whole."""
        whole = set(self.whole_gangs(agent.seats))
        new = whole - self._told_whole
        self._told_whole |= new
        if not new:
            return []
        self._told_whole &= {
            seat.attempt for one in self.agents.values() for seat in one.seats
        }
        return [
            other
            for other in self.agents.values()
            if other is not agent and any(seat.attempt in new for seat in other.seats)
        ]

    def whole_gangs(self, seats: list[GangMember]) -> list[str]:
        """Return which of an agent's gangs have all members alive or done.

        A gang of which all members are done is left out, as it needs no evidence.
        """
        wanted = {seat.attempt: seat.size for seat in seats}
        if not wanted:
            return []
        present: dict[str, set[int]] = {attempt: set() for attempt in wanted}
        unfinished: set[str] = set()
        for agent in self.agents.values():
            if agent.silence_s > GANG_EVIDENCE_S:
                continue
            for seat in agent.seats:
                if seat.attempt in present:
                    present[seat.attempt].add(seat.index)
                    if not seat.done:
                        unfinished.add(seat.attempt)
        return [
            name
            for name, size in wanted.items()
            if name in unfinished and len(present[name]) == size
        ]

    def _is_heard(self, peer: PeerEntry) -> bool:
        return time.monotonic() - peer.heard_s < ENTRY_SILENCE_S


__all__ = [
    "AGENT_SILENCE_S",
    "LEASE_LAPSE_S",
    "AgentView",
    "Membership",
    "PeerEntry",
]
