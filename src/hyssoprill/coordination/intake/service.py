"""Runs the durable-job part of an entry: job intake, config, replica and planner."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import partial, singledispatchmethod
from typing import TYPE_CHECKING, Self

from ...errors import StoreError
from ...job_settings import SchedulingSettings
from ...logs import decision
from ...ports.store import DEFAULT_RECORD_BYTES, Record
from ...protocol.message import Message
from ...protocol.placement_query import PlacementAnswer, PlacementQuery
from ...protocol.superseding import supersedes
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
from ...transport.mailbox import Mailbox
from ..entry_watcher import EntryWatcher
from ..identity import new_incarnation
from ..planner.election import PlannerElection
from ..planner.fitness import EntrySpeeds, SpeedMeter
from ..planner.hand_over import HandOver
from ..planner.planner import Planner
from ..planner.replica import Replica
from ..policy.dispatch.terms import find_terms
from .intake import JobIntake
from .operator_config_watcher import OperatorConfigWatcher
from .placement_service import PlacementService
from .relay import AppendRelay

if TYPE_CHECKING:
    from ...job_settings import JobBounds
    from ...ports.store import StorePort
    from ...protocol.messages import Envelope
    from ...state.operator_config import OperatorConfig
    from ...transport.metrics import Metrics
    from ..policy.dispatch.terms import DispatchTerms
    from .operator_config_watcher import BuildConfig

KEY_REVOCATION_MARGIN_MS = 700
"""API keys are no longer trusted this long before their age reaches the bound."""
READY_AGE_S = 2.0
"""Above this age of the config or the jobs, the entry reports not ready."""
PUBLISH_RETRY_S = 0.3
MAX_PENDING_SENDS = 200


class DurableJobService:
    """Runs all durable-job components of one entry and dispatches messages to them.

    The planner acts only while this entry holds the term.

    Parameters
    ----------
    name, address : str
        Name of this entry, and the address where it listens on `link_port`.
    cluster_key : str
        Key that seals the links between entries and agents.
    store : StorePort
        Holds all durable state.
    build_config : callable
        Builds the config from the operator's records.
    bounds : JobBounds
        Time bounds that the operator promises to callers.
    record_bytes : int
        Largest size of a record that the store accepts.
    scheduling : SchedulingSettings or None
        Decisions under hard load; None for none of them.

    Attributes
    ----------
    is_draining : bool
        Whether callers are told to close their connections.
    """

    def __init__(
        self,
        name: str,
        address: str,
        link_port: int,
        cluster_key: str,
        store: StorePort,
        build_config: BuildConfig,
        metrics: Metrics,
        *,
        bounds: JobBounds,
        record_bytes: int = DEFAULT_RECORD_BYTES,
        scheduling: SchedulingSettings | None = None,
    ) -> None:
        self.name = name
        self._scheduling = scheduling or SchedulingSettings()
        self.metrics = metrics
        self.is_draining = False
        self._address = address
        self._link_port = link_port
        self._incarnation = new_incarnation()
        self._codec = FrameCodec(cluster_key, name, self._incarnation)
        self._store = store
        self._bounds = bounds
        self._record_bytes = record_bytes
        self.replica = Replica(store, self._wake_planner)
        self.config_watcher = OperatorConfigWatcher(
            store, build_config, self._wake_planner
        )
        self._speeds = EntrySpeeds(name)
        self._speed_meter = SpeedMeter(
            name, store, self._speeds, lambda: self.election.term > 0
        )
        self._entry_watcher = EntryWatcher(
            store, lambda _name: None, self._speeds.update
        )
        self._planner: Planner | None = None
        self._outboxes: dict[str, Mailbox[Message]] = {}
        metrics.watch("config_age_seconds", lambda: self.config_watcher.age_s)
        metrics.watch("jobs_age_seconds", lambda: self.replica.age_s)
        metrics.watch("jobs_active", lambda: len(self.replica.job_table.active))
        metrics.watch("term", lambda: self.election.term)
        metrics.watch("entry_speed", lambda: self._speeds.own)
        self._stack = AsyncExitStack()
        self._tasks = TaskSet()

    async def __aenter__(self) -> Self:
        self._hub = await self._stack.enter_async_context(
            LinkHub(self._codec, self._receive, self.metrics)
        )
        self._relay = AppendRelay(
            self.name, self._hub, self._entry_watcher, self._store, self.replica
        )
        self.intake = JobIntake(
            self._store, self.replica, self._relay, record_bytes=self._record_bytes
        )
        self.link_url = self._hub.listen(self._address, self._link_port)
        self.election = PlannerElection(
            self.name,
            self._incarnation,
            self.link_url,
            self._store,
            self.replica,
            append_through_peer=self._relay.append,
            claim_delay_s=self._speeds.claim_delay_s,
        )
        self._planner = Planner(
            self.replica,
            self.election,
            lambda: self.config_watcher.current,
            self._send,
            bounds=self._bounds,
            record_bytes=self._record_bytes,
            terms=self._find_terms,
        )
        self.placement_service = PlacementService(
            self.name,
            self._hub,
            self.replica,
            self._relay.open_link,
            self._planner.place,
        )
        delays = self._planner.answer_delays
        self.metrics.watch("answer_delay_seconds", lambda: delays.median_s)
        hand_over = HandOver(
            self.election, self.replica.job_table, self._speeds, delays
        )
        for name, loop in (
            ("replica", self.replica.run),
            ("config", self.config_watcher.run),
            ("intake", self.intake.run),
            ("announcement", self._publish_address),
            ("entry_list", self._entry_watcher.run),
            ("speed", self._speed_meter.run),
            ("hand_over", hand_over.run),
        ):
            self._tasks.supervise(name, loop)
        # Another entry plans while this one cannot.
        for name, loop in (
            ("election", self.election.run),
            ("planner", self._planner.run),
        ):
            self._tasks.supervise(name, loop, self.election.give_up)
        return self

    async def __aexit__(self, *_exc_info: object) -> None:
        await self._tasks.close()
        await self._stack.aclose()

    async def start_draining(self) -> None:
        """Report not ready, have callers' connections closed, and give up the term."""
        self.is_draining = True
        await self.election.resign()

    def set_bounds(self, bounds: JobBounds) -> None:
        """Apply new bounds."""
        self._bounds = bounds
        if self._planner is not None:
            self._planner.set_bounds(bounds)

    def set_scheduling(self, scheduling: SchedulingSettings) -> None:
        """Apply other decisions under hard load, from the next round on."""
        self._scheduling = scheduling

    def _find_terms(self, operator_config: OperatorConfig) -> DispatchTerms:
        return find_terms(self._scheduling, operator_config)

    @property
    def api_keys_are_fresh(self) -> bool:
        """Whether the keys were read recently enough to honour revocations in time."""
        max_age_ms = self._bounds.key_revocation_ms - KEY_REVOCATION_MARGIN_MS
        return self.config_watcher.age_s * 1000 < max_age_ms

    @property
    def is_ready(self) -> bool:
        """Whether the balancer may send new callers to this entry."""
        has_config = self.config_watcher.current.version > 0
        is_fresh = max(self.config_watcher.age_s, self.replica.age_s) < READY_AGE_S
        return has_config and is_fresh and not self.is_draining

    def _wake_planner(self) -> None:
        if self._planner is not None:
            self._planner.request_round()

    async def _publish_address(self) -> None:
        """Store this entry's link address, where agents and peers read it."""
        record = Record(self.name, self.link_url.encode())
        while True:
            try:
                await self._store.append("members", [record])
            except StoreError as exc:
                decision("announcement_retried", why=str(exc))
                await asyncio.sleep(PUBLISH_RETRY_S)
                continue
            return

    async def _receive(self, envelope: Envelope) -> None:
        await self._handle(envelope.body, envelope.sender)

    @singledispatchmethod
    async def _handle(self, _message: Message, _sender: str) -> None:
        self.metrics.count("messages_unexpected")

    @_handle.register
    async def _(self, message: VmReport, sender: str) -> None:
        if self.election.term and self._planner is not None:
            self._planner.handle_report(message)
        else:
            self._send_referral(sender)

    @_handle.register
    async def _(self, message: VmHeartbeat, sender: str) -> None:
        if self.election.term and self._planner is not None:
            self._planner.handle_heartbeat(message)
        else:
            self._send_referral(sender)

    @_handle.register
    async def _(self, message: RelayAppend, sender: str) -> None:
        self._tasks.spawn(self._answer_append_request(message, sender))

    @_handle.register
    async def _(self, message: RelayResult, _sender: str) -> None:
        self._relay.handle_result(message)

    @_handle.register
    async def _(self, message: PlacementQuery, sender: str) -> None:
        self._send(sender, self.placement_service.answer(message))

    @_handle.register
    async def _(self, message: PlacementAnswer, _sender: str) -> None:
        self.placement_service.handle_answer(message)

    async def _answer_append_request(self, message: RelayAppend, sender: str) -> None:
        self._send(sender, await self._relay.handle_request(message))

    def _send_referral(self, sender: str) -> None:
        """Name the planner, or none where the newest known term has ended."""
        term = self.replica.job_table.term
        if term is None:
            return
        has_ended = (
            term.incarnation == self._incarnation and self.election.has_stepped_down
        )
        if has_ended or self.replica.job_table.is_term_vacant:
            self._send(sender, Referral(term.term, "", ""))
        else:
            self._send(sender, Referral(term.term, term.planner, term.link_url))

    def _send(self, peer: str, message: Message) -> None:
        """Queue a message; each peer has a queue and task, so none delays another."""
        outbox = self._outboxes.get(peer)
        if outbox is None:
            outbox = Mailbox(MAX_PENDING_SENDS, supersedes)
            self._outboxes[peer] = outbox
            self._tasks.supervise("sender", partial(self._send_queued, peer, outbox))
        try:
            outbox.put(message)
        except asyncio.QueueFull:
            self.metrics.count("messages_dropped")

    async def _send_queued(self, peer: str, outbox: Mailbox[Message]) -> None:
        while True:
            message = await outbox.get()
            if not await self._hub.send(peer, message):
                self.metrics.count("messages_unsent")


__all__ = ["DurableJobService"]
