"""Runs one entry process: connects its parts and dispatches messages to them."""

from __future__ import annotations

import asyncio
import secrets
import time
from contextlib import AsyncExitStack
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Any, Self

import msgspec
from loguru import logger

from ...errors import BundleError
from ...protocol.bundle import parse_signed_bundle
from ...protocol.messages import (
    AgentHeartbeat,
    BundleOffer,
    CancelRequest,
    EntryAddress,
    EntryHeartbeat,
    Envelope,
    HeartbeatReply,
    Inventory,
    InventoryRequest,
    MemberResult,
    Message,
    OutcomeAnswer,
    OutcomeQuery,
    PlacementGrant,
    PlacementRequest,
    PlacementStatus,
    PlacementWithdrawal,
    ResultAck,
    StartReply,
    StopReply,
)
from ...state.bundle_projection import BundleProjection
from ...state.job_projection import JobProjection
from ...tasks import cancel_all
from ...transport.frame import FrameCodec
from ...transport.link import LinkHub
from ...transport.metrics import Metrics
from ...transport.platform_log import PlatformLog
from ..agent.entry_links import ENTRY_STREAM
from ..identity import new_incarnation
from .authority import StartAuthority
from .caller_service import CallerService, outcome_record
from .coordinator import Coordinator
from .job_supervisor import JobSupervisor
from .log_access import LogFollower, LogWriter
from .membership import AgentView, Membership
from .renewal import LogRenewal
from .requests import RequestTable

if TYPE_CHECKING:
    from ...protocol.messages import AnyMessage
    from ...protocol.outcome import Outcome
    from ...protocol.request import JobSpec
    from ...settings import EntrySettings
    from ...transport.platform_log import StoredRecord

HEARTBEAT_INTERVAL_S = 0.5
ELIGIBLE_AFTER_S = 1.5
"""An entry may coordinate this long after its start."""
FULL_ENTRY_LIST_INTERVAL = 20
BALANCER_REACTION_S = 1.0


class Entry:
    """An entry process: serves callers, runs their jobs and may coordinate the region.

    Parameters
    ----------
    cfg : EntrySettings
        Validated settings.

    Attributes
    ----------
    claims_in_progress : set of str
        Ids of requests whose claim is being appended to the log.
    is_draining : bool
        Whether the balancer is told to send no new callers.
    refuses_requests : bool
        Whether new requests are refused; set after the balancer could react.
    """

    def __init__(self, cfg: EntrySettings) -> None:
        self.cfg = cfg
        self.incarnation = new_incarnation()
        self.metrics = Metrics("entry", cfg.name)
        trusted = {key.person: key.public_key for key in cfg.trusted_keys}
        self.bundles = BundleProjection(trusted, cfg.cluster_key)
        self.jobs = JobProjection()
        self.claims_in_progress: set[str] = set()
        self.is_draining = False
        self.refuses_requests = False
        self._stack = AsyncExitStack()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._queries: dict[str, asyncio.Queue[OutcomeAnswer]] = {}
        self._began_s = time.monotonic()
        self._heartbeat_count = 0

    async def start(self, http_url: str) -> None:
        """Open the links and start the background tasks; call once in the context."""
        cfg = self.cfg
        codec = FrameCodec(cfg.cluster_key, cfg.name, self.incarnation)
        self.hub = await self._stack.enter_async_context(
            LinkHub(codec, self._receive, self.metrics)
        )
        self.link_url = link_url = self.hub.listen(cfg.address, cfg.link_port)
        own = EntryAddress(
            cfg.name,
            self.incarnation,
            cfg.advertised_link_url or link_url,
            http_url,
            cfg.region,
        )
        self.membership = Membership(own)
        self.log = PlatformLog(cfg.log_url)
        self.follower = LogFollower(
            self.log, self.bundles.set_first_offset, self._apply_record, self.metrics
        )
        self.writer = LogWriter(self.log, self.follower, self.metrics)
        self.authority = StartAuthority(self.follower, self.membership, self.bundles)
        self.coordinator = Coordinator(
            self.membership, self.send, self.authority.denial_reason, self.metrics
        )
        self.requests = RequestTable(self)
        self.callers = CallerService(self)
        self.job_supervisor = JobSupervisor(self)
        self.renewal = LogRenewal(self)
        for url in cfg.seeds:
            if url != link_url:
                self.hub.dial(url, url)
        self._spawn_all()

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(self, *_exc_info: object) -> None:
        await self.requests.close()
        await cancel_all(self._tasks)
        await self._stack.aclose()
        self.log.close()

    async def drain(self) -> None:
        """Fail the health check, then refuse new requests and finish running ones.

        Requests are still served for `BALANCER_REACTION_S`, as the balancer needs
        that time to stop sending them here.
        """
        self.is_draining = True
        await self._send_heartbeats()
        await asyncio.sleep(BALANCER_REACTION_S)
        self.refuses_requests = True
        while self.requests.count_waiting_callers():
            await asyncio.sleep(0.05)

    def _spawn_all(self) -> None:
        for coroutine in (
            self.follower.run(),
            self.writer.run(),
            self.coordinator.run(),
            self.job_supervisor.run(),
            self.renewal.run(),
            self._run_heartbeats(),
        ):
            task = asyncio.ensure_future(coroutine)
            self._tasks.add(task)
            task.add_done_callback(self._on_task_end)

    def _on_task_end(self, task: asyncio.Task[Any]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            self.metrics.failure("background_task", task.exception())

    # Methods that runners use (EntryServices)

    async def send(self, name: str, message: AnyMessage) -> bool:
        """Send a message to a process, which may be this one."""
        if name == self.cfg.name:
            await self._handle(message, name, self.incarnation)
            return True
        return await self.hub.send(name, message)

    async def send_to_coordinator(self, message: AnyMessage) -> None:
        """Send a message to the entry that coordinates the region."""
        name = self.membership.coordinator(self.is_eligible())
        if name is not None:
            await self.send(name, message)

    def new_attempt_id(self, job_id: str) -> str:
        """Return an id for a new attempt; ids sort by the time of the attempt."""
        now_ms = int(time.time() * 1000)
        return f"{job_id}~{now_ms:013d}{secrets.token_hex(3)}"

    def bundle_version(self) -> int:
        """Return the version of the bundle in force here."""
        return self.bundles.version

    def still_owns(self, job_id: str) -> bool:
        """Return whether this entry may make new attempts of a job."""
        job = self.jobs.open_jobs.get(job_id)
        if job is not None:
            return self.job_supervisor.owns(job)
        return job_id not in self.jobs.outcomes

    def append_outcome(self, spec: JobSpec, outcome: Outcome) -> None:
        """Store a job's outcome here, and queue it for the log."""
        self.requests.store_outcome(spec.workspace, spec.id, outcome)
        self.writer.enqueue(outcome_record(spec, outcome, self.incarnation))

    async def query_outcome(
        self, names: list[str], workspace: str, job_id: str, *, timeout_s: float
    ) -> list[OutcomeAnswer]:
        """Ask other entries for an outcome; return the answers that came in time."""
        query = secrets.token_hex(6)
        inbox: asyncio.Queue[OutcomeAnswer] = asyncio.Queue()
        self._queries[query] = inbox
        answers = []
        try:
            for name in names:
                await self.send(name, OutcomeQuery(query, workspace, job_id))
            async with asyncio.timeout(timeout_s):
                while len(answers) < len(names):
                    answers.append(await inbox.get())
        except TimeoutError:
            pass
        finally:
            del self._queries[query]
        return answers

    # Log records

    def _apply_record(self, record: StoredRecord) -> None:
        """Apply a record of the log to bundles, jobs and the list of entries."""
        if self.bundles.apply(record):
            self._bundle_changed()
        changed = self.jobs.apply(record)
        if changed is not None:
            self._release_unused_claim(changed)
        if record.stream == ENTRY_STREAM:
            self._add_entries([msgspec.convert(record.body, EntryAddress)])

    def _release_unused_claim(self, job_id: str) -> None:
        """Release a claim of this entry for which nothing ran and nothing runs.

        Such a claim was confirmed by the log only after its caller had been told
        that the log was unavailable.
        """
        holder = self.jobs.claims.get(job_id)
        if holder is None:
            self.renewal.claims_being_released.discard(job_id)
        if holder != self.incarnation or job_id in self.claims_in_progress:
            return
        if job_id in self.requests.runners or job_id in self.jobs.outcomes:
            return
        if self.requests.may_have_run(job_id):
            return
        self.renewal.release_claim(job_id)

    def _bundle_changed(self) -> None:
        logger.info("bundle {} is in force", self.bundles.version)
        self.coordinator.apply_bundle(self.bundles.bundle, self.bundles.version)
        asyncio.ensure_future(self._broadcast_bundle())

    async def _broadcast_bundle(self) -> None:
        for name in [*self.membership.agents, *self.membership.peers]:
            await self._offer_bundle(name)

    async def _offer_bundle(self, name: str) -> None:
        signed = self.bundles.signed
        if signed is not None:
            raw = msgspec.json.encode(signed)
            await self.send(name, BundleOffer(self.bundles.offset, raw))

    # Heartbeats

    def is_eligible(self) -> bool:
        """Return whether this entry may coordinate the region."""
        has_warmed_up = time.monotonic() - self._began_s > ELIGIBLE_AFTER_S
        return has_warmed_up and not self.is_draining

    async def _run_heartbeats(self) -> None:
        while True:
            self._heartbeat_count += 1
            await self._send_heartbeats()
            for name in self.membership.remove_silent_entries():
                self.hub.hang_up(name)
            self.membership.remove_silent_agents()
            self._update_coordinator()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _send_heartbeats(self) -> None:
        for name in list(self.hub.dialled_urls):
            peer = self.membership.peers.get(name)
            heartbeat = EntryHeartbeat(
                self.membership.own,
                time.monotonic(),
                peer.clock_s if peer else 0.0,
                self.bundles.version,
                self.authority.log_age_s,
                self.is_eligible(),
                self.membership.addresses(),
            )
            await self.hub.send(name, heartbeat)
            await self.hub.send_back(name, heartbeat)

    def _update_coordinator(self) -> None:
        chosen = self.membership.coordinator(self.is_eligible())
        self.coordinator.set_active(
            chosen == self.cfg.name, self.bundles.bundle, self.bundles.version
        )

    def _add_entries(self, entries: list[EntryAddress]) -> None:
        """Add entries to the membership and dial the new ones."""
        for address in entries:
            if not self.membership.add_entry(address):
                continue
            for name, url in self.hub.dialled_urls.items():
                if url == address.link_url and name != address.name:
                    self.hub.hang_up(name)
            self.hub.dial(address.name, address.link_url)

    # Messages

    async def _receive(self, envelope: Envelope) -> None:
        await self._handle(envelope.body, envelope.sender, envelope.incarnation)

    @singledispatchmethod
    async def _handle(self, message: Message, sender: str, incarnation: str) -> None:
        self.metrics.count("messages_unexpected")

    @_handle.register
    async def _(self, message: EntryHeartbeat, sender: str, incarnation: str) -> None:
        self._add_entries([message.address, *message.entries])
        self.membership.record_entry_heartbeat(message)
        if self.hub.dialled_urls.get(sender) != message.address.link_url:
            self.hub.dial(sender, message.address.link_url)
        if message.bundle_version < self.bundles.version:
            await self._offer_bundle(sender)
        self._update_coordinator()

    @_handle.register
    async def _(self, message: AgentHeartbeat, sender: str, incarnation: str) -> None:
        before = self.membership.agents.get(sender)
        was_accepting = before.accepting if before else None
        agent = self.membership.record_agent_heartbeat(sender, incarnation, message)
        for other in (agent, *self.membership.agents_of_newly_complete_gangs(agent)):
            await self.hub.send(other.name, self._heartbeat_reply(other))
        if message.bundle_version < self.bundles.version:
            await self._offer_bundle(sender)
        if agent.inventory_revision != message.inventory_revision:
            await self.hub.send(sender, InventoryRequest())
        if agent.accepting != was_accepting:
            self.coordinator.update_agent(agent)

    @_handle.register
    async def _(self, message: Inventory, sender: str, incarnation: str) -> None:
        agent = self.membership.record_inventory(sender, incarnation, message)
        if self.coordinator.is_active:
            self.coordinator.update_agent(agent)
            self.coordinator.record_completed_tasks(agent, message)

    @_handle.register
    async def _(self, message: BundleOffer, sender: str, incarnation: str) -> None:
        try:
            changed = self.bundles.adopt(
                message.offset, parse_signed_bundle(message.signed)
            )
        except BundleError:
            self.metrics.count("bundles_refused")
            return
        if changed:
            self._bundle_changed()

    @_handle.register
    async def _(self, message: PlacementRequest, sender: str, incarnation: str) -> None:
        self.coordinator.handle_request(sender, message)

    @_handle.register
    async def _(
        self, message: PlacementWithdrawal, sender: str, incarnation: str
    ) -> None:
        self.coordinator.handle_withdrawal(message)

    @_handle.register(PlacementGrant)
    @_handle.register(PlacementStatus)
    async def _(self, message: Any, sender: str, incarnation: str) -> None:
        self._forward_to_runner(message.job_id, message)

    @_handle.register(StartReply)
    @_handle.register(StopReply)
    async def _(self, message: Any, sender: str, incarnation: str) -> None:
        self._forward_to_runner(message.attempt.partition("~")[0], message)

    @_handle.register
    async def _(self, message: MemberResult, sender: str, incarnation: str) -> None:
        """Forward a result; acknowledge it unless another entry runs its job."""
        is_forwarded = self._forward_to_runner(message.job_id, message)
        is_run_elsewhere = not is_forwarded and message.job_id in self.jobs.open_jobs
        if not is_run_elsewhere:
            await self.hub.send(sender, ResultAck(message.attempt, message.index))

    @_handle.register
    async def _(self, message: OutcomeQuery, sender: str, incarnation: str) -> None:
        answer = self.requests.answer_query(
            message.query, message.workspace, message.job_id
        )
        await self.send(sender, answer)

    @_handle.register
    async def _(self, message: OutcomeAnswer, sender: str, incarnation: str) -> None:
        inbox = self._queries.get(message.query)
        if inbox is not None:
            inbox.put_nowait(message)

    @_handle.register
    async def _(self, message: CancelRequest, sender: str, incarnation: str) -> None:
        runner = self.requests.runner_of(message.workspace, message.job_id)
        if runner is not None:
            runner.cancel()

    def _heartbeat_reply(self, agent: AgentView) -> HeartbeatReply:
        """Build the reply to an agent's last heartbeat.

        It lists the entries when their list has changed since the agent was sent it,
        and during every `FULL_ENTRY_LIST_INTERVAL`-th heartbeat of this entry.
        """
        entries = []
        is_due = self._heartbeat_count % FULL_ENTRY_LIST_INTERVAL == 0
        if agent.sent_generation != self.membership.generation or is_due:
            agent.sent_generation = self.membership.generation
            entries = self.membership.addresses()
        return HeartbeatReply(
            time.monotonic(),
            agent.clock_s,
            self.bundles.version,
            self.membership.complete_gangs(agent.gang_members),
            entries,
        )

    def _forward_to_runner(self, job_id: str, message: AnyMessage) -> bool:
        runner = self.requests.runners.get(job_id)
        if runner is None:
            self.metrics.count("messages_for_ended_jobs")
            return False
        runner.inbox.put_nowait(message)
        return True


__all__ = ["Entry"]
