"""The entry of durable jobs: replica, directory, intake and, in its term, planner."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Self

from ...errors import StoreError
from ...logs import decision
from ...ports.store import Record
from ...protocol.message import Message
from ...protocol.upstream_messages import (
    Referral,
    RelayAppend,
    RelayResult,
    VmHeartbeat,
    VmReport,
)
from ...tasks import TaskSet
from ...transport.frame import FrameCodec
from ...transport.link import LinkHub
from ..entry_watcher import EntryWatcher
from ..identity import new_incarnation
from ..planner.election import PlannerElection
from ..planner.planner import Planner
from ..planner.replica import Replica
from .directory import DirectoryFollower
from .intake import JobIntake
from .relay import Relay

if TYPE_CHECKING:
    from ...job_settings import JobBounds
    from ...ports.store import StorePort
    from ...protocol.messages import Envelope
    from ...transport.metrics import Metrics
    from .directory import Build

REVOCATION_MARGIN_MS = 700
"""Knowledge of the keys is given up this much before its age reaches the bound."""
READY_AGE_S = 2.0
"""With older knowledge of config or jobs, the balancer is told to go elsewhere."""
ANNOUNCE_RETRY_S = 0.3
MAX_PENDING_SENDS = 200


class DurableJobService:
    """Everything that one entry does for durable jobs.

    Parameters
    ----------
    name, address : str
        This entry, and where it listens for agents on `link_port`.
    cluster_key : str
        Seals the links.
    store : StorePort
        Keeps all that must last.
    build : callable
        Makes the operator's view from his records.
    bounds : JobBounds
        What is promised to callers.
    """

    def __init__(
        self,
        name: str,
        address: str,
        link_port: int,
        cluster_key: str,
        store: StorePort,
        build: Build,
        metrics: Metrics,
        *,
        bounds: JobBounds,
    ) -> None:
        self.name = name
        self.metrics = metrics
        self.is_draining = False
        self._address = address
        self._link_port = link_port
        self._incarnation = new_incarnation()
        self._codec = FrameCodec(cluster_key, name, self._incarnation)
        self._store = store
        self._bounds = bounds
        self.replica = Replica(store, self._changed)
        self.directory = DirectoryFollower(store, build, self._changed)
        self._members = EntryWatcher(store, lambda _name: None)
        self._planner: Planner | None = None
        self._sends: dict[str, asyncio.Queue[Message]] = {}
        metrics.watch("config_age_seconds", lambda: self.directory.age_s)
        metrics.watch("jobs_age_seconds", lambda: self.replica.age_s)
        metrics.watch("jobs_active", lambda: len(self.replica.ledger.active))
        metrics.watch("term", lambda: self.keeper.term)
        self._stack = AsyncExitStack()
        self._tasks = TaskSet()

    async def __aenter__(self) -> Self:
        self._hub = await self._stack.enter_async_context(
            LinkHub(self._codec, self._receive, self.metrics)
        )
        self._relay = Relay(
            self.name, self._hub, self._members, self._store, self.replica
        )
        self.intake = JobIntake(self._store, self.replica, self._relay)
        self.link_url = self._hub.listen(self._address, self._link_port)
        self.keeper = PlannerElection(
            self.name, self._incarnation, self.link_url, self._store, self.replica
        )
        self._planner = Planner(
            self.replica,
            self.keeper,
            lambda: self.directory.current,
            self._send,
            bounds=self._bounds,
        )
        for work in (
            self.replica.run(),
            self.directory.run(),
            self.intake.run(),
            self.keeper.run(),
            self._planner.run(),
            self._announce(),
            self._members.run(),
        ):
            self._tasks.spawn(work)
        return self

    async def __aexit__(self, *_exc_info: object) -> None:
        await self._tasks.close()
        await self._stack.aclose()

    async def start_draining(self) -> None:
        """Hand the term on and take no new connections."""
        self.is_draining = True
        await self.keeper.resign()

    def set_bounds(self, bounds: JobBounds) -> None:
        """Put other bounds in force."""
        self._bounds = bounds
        if self._planner is not None:
            self._planner.set_bounds(bounds)

    @property
    def api_keys_are_fresh(self) -> bool:
        """Whether no key can have been taken away longer ago than is promised."""
        max_age_ms = self._bounds.key_revocation_ms - REVOCATION_MARGIN_MS
        return self.directory.age_s * 1000 < max_age_ms

    @property
    def is_ready(self) -> bool:
        """Whether new callers are served here."""
        known = self.directory.current.version > 0
        fresh = max(self.directory.age_s, self.replica.age_s) < READY_AGE_S
        return known and fresh and not self.is_draining

    def _changed(self) -> None:
        if self._planner is not None:
            self._planner.request_round()

    async def _announce(self) -> None:
        """Tell agents through the store where this entry listens."""
        record = Record(self.name, self.link_url.encode())
        while True:
            try:
                await self._store.append("members", [record])
            except StoreError as exc:
                decision("announcement_retried", why=str(exc))
                await asyncio.sleep(ANNOUNCE_RETRY_S)
                continue
            return

    async def _receive(self, envelope: Envelope) -> None:
        await self._handle(envelope.body, envelope.sender)

    @singledispatchmethod
    async def _handle(self, _message: Message, _sender: str) -> None:
        self.metrics.count("messages_unexpected")

    @_handle.register
    async def _(self, message: VmReport, sender: str) -> None:
        if self.keeper.term and self._planner is not None:
            self._planner.handle_report(message)
        else:
            self._refer(sender)

    @_handle.register
    async def _(self, message: VmHeartbeat, sender: str) -> None:
        if self.keeper.term and self._planner is not None:
            self._planner.handle_heartbeat(message)
        else:
            self._refer(sender)

    @_handle.register
    async def _(self, message: RelayAppend, sender: str) -> None:
        self._tasks.spawn(self._append_for(message, sender))

    @_handle.register
    async def _(self, message: RelayResult, _sender: str) -> None:
        self._relay.answered(message)

    async def _append_for(self, message: RelayAppend, sender: str) -> None:
        self._send(sender, await self._relay.append_for(message))

    def _refer(self, sender: str) -> None:
        term = self.replica.ledger.term
        if term is not None:
            self._send(sender, Referral(term.term, term.planner, term.link_url))

    def _send(self, peer: str, message: Message) -> None:
        """Queue a message, one task for each peer, so that none delays another."""
        queue = self._sends.get(peer)
        if queue is None:
            queue = asyncio.Queue(MAX_PENDING_SENDS)
            self._sends[peer] = queue
            self._tasks.spawn(self._send_all(peer, queue))
        try:
            queue.put_nowait(message)
        except asyncio.QueueFull:
            self.metrics.count("messages_dropped")

    async def _send_all(self, peer: str, queue: asyncio.Queue[Message]) -> None:
        while True:
            message = await queue.get()
            if not await self._hub.send(peer, message):
                self.metrics.count("messages_unsent")


__all__ = ["DurableJobService"]
