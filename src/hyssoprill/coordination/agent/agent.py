"""The agent process: grants leases, runs members and reports to all entries."""

from __future__ import annotations

import asyncio
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
    CompletedTask,
    HeartbeatReply,
    Inventory,
    InventoryRequest,
    MemberResult,
    Message,
    ResultAck,
    StartOrder,
    StartReply,
    StopOrder,
    StopReply,
    UpstreamInfo,
    to_builtins,
)
from ...state.bundle_projection import BundleProjection
from ...state.lease_table import GrantConditions, HeldLease, LeaseTable
from ...tasks import cancel_all
from ...transport.frame import FrameCodec
from ...transport.link import LinkHub
from ...transport.metrics import Metrics
from ...transport.platform_log import PlatformLog
from ...transport.worker import Worker
from ..identity import new_incarnation
from .entry_links import EntryLinks
from .member import MemberRunner
from .outbox import RESEND_INTERVAL_S, ResultOutbox
from .worker_session import WorkerSession

if TYPE_CHECKING:
    from ...protocol.messages import Envelope
    from ...settings import AgentSettings
    from ...state.lease_table import MemberKey

HEARTBEAT_INTERVAL_S = 0.5
MIN_REPORT_INTERVAL_S = 0.02
DISCOVERY_INTERVAL_S = 1.0
MAX_ENDINGS = 32


class Agent:
    """Everything that runs beside one upstream.

    Parameters
    ----------
    cfg : AgentSettings
        Checked settings.
    """

    def __init__(self, cfg: AgentSettings) -> None:
        self.cfg = cfg
        self.http_url = ""
        self.incarnation = new_incarnation()
        self.metrics = Metrics("agent", cfg.name)
        self.table = LeaseTable()
        trusted = {key.person: key.public_key for key in cfg.trusted_keys}
        self.bundles = BundleProjection(trusted, cfg.cluster_key)
        self._stack = AsyncExitStack()
        self._tasks: set[asyncio.Task[Any]] = set()
        self._endings: list[CompletedTask] = []
        self._echo: dict[str, float] = {}
        self._report = asyncio.Event()
        self._leaving = False

    async def __aenter__(self) -> Self:
        return self

    async def start(self, http_url: str) -> None:
        """Open links and the worker session; part of entering the context."""
        cfg = self.cfg
        self.http_url = http_url
        codec = FrameCodec(cfg.cluster_key, cfg.name, self.incarnation)
        self.hub = await self._stack.enter_async_context(
            LinkHub(codec, self._receive, self.metrics)
        )
        self.log = PlatformLog(cfg.log_url)
        self.worker = Worker(cfg.worker_url)
        self.session = WorkerSession(
            self.worker, self.table, self.incarnation, self.metrics
        )
        self.entries = EntryLinks(self.hub, cfg.seeds, cfg.region)
        self.outbox = ResultOutbox(self.hub)
        self._spawn(self.session.run())
        self._spawn(self._heartbeats())
        self._spawn(self._reports())
        self._spawn(self._adoptions())
        self._spawn(self._resends())
        self._spawn(self._discovery())

    async def __aexit__(self, *_exc_info: object) -> None:
        await cancel_all(self._tasks)
        await self._stack.aclose()
        self.log.close()
        self.worker.close()

    async def drain(self) -> None:
        """Refuse new work, and return when no lease and no result is left.

        The tasks of long jobs stay on the worker for the agent's next run.
        """
        self._leaving = True
        self._report.set()
        while self._has_brief_work() or len(self.outbox):
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)

    def dump(self) -> dict[str, Any]:
        """Return the whole state for people to read; it holds no secrets."""
        now_s = time.monotonic()
        return {
            "role": "agent",
            "name": self.cfg.name,
            "incarnation": self.incarnation,
            "bundle_version": self.bundles.version,
            "accepting": not self._why_no_start(),
            "why_no_start": self._why_no_start(),
            "capacity": self.table.capacity._asdict(),
            "free": self.table.free._asdict(),
            "leases": to_builtins(self.table.inventory(now_s)),
            "unacknowledged_results": len(self.outbox),
            "entries": self.hub.dialled_urls,
            "worker_silence_s": round(self.session.silence_s, 3),
            "counters": self.metrics.totals,
        }

    def _has_brief_work(self) -> bool:
        return any(
            not lease.order.spec.detached for lease in self.table.leases.values()
        )

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _why_no_start(self) -> str:
        """Return why no task may start here now, or ''."""
        if self.cfg.availability_zone in self.bundles.bundle.zones_out:
            return "availability_zone_out"
        if self._leaving or not self.session.is_accepting:
            return "not_accepting"
        return ""

    # Messages from entries

    async def _receive(self, envelope: Envelope) -> None:
        await self._handle(envelope.body, envelope.sender)

    @singledispatchmethod
    async def _handle(self, message: Message, sender: str) -> None:
        self.metrics.count("messages_unexpected")

    @_handle.register
    async def _(self, message: HeartbeatReply, sender: str) -> None:
        self.entries.heard(sender)
        self._echo[sender] = message.clock_s
        self.entries.learn(message.entries)
        if time.monotonic() - message.echoed_clock_s < HEARTBEAT_INTERVAL_S * 2:
            self.table.confirm_gangs(message.complete_gangs, message.echoed_clock_s)
        if message.bundle_version < self.bundles.version:
            await self._offer_bundle(sender)

    @_handle.register
    async def _(self, message: InventoryRequest, sender: str) -> None:
        await self.hub.send(sender, self._inventory())

    @_handle.register
    async def _(self, message: BundleOffer, sender: str) -> None:
        try:
            changed = self.bundles.adopt(
                message.offset, parse_signed_bundle(message.signed)
            )
        except BundleError:
            self.metrics.count("bundles_refused")
            return
        if changed:
            logger.info("bundle {} is in force", self.bundles.version)
            self._report.set()

    @_handle.register
    async def _(self, message: StartOrder, sender: str) -> None:
        rules = GrantConditions(
            self.incarnation,
            self.bundles.version,
            self.cfg.availability_zone in self.bundles.bundle.zones_out,
            not self._why_no_start(),
        )
        if await self._is_unproven(message):
            reply = StartReply(message.attempt, message.index, False, "unproven")
            await self.hub.send(sender, reply)
            return
        granted, code = self.table.process_order(
            message, rules, time.monotonic(), owner=sender
        )
        self.metrics.count(f"orders_{code}")
        if code == "granted":
            self._run_member(self.table.leases[message.attempt, message.index])
        reply = StartReply(message.attempt, message.index, granted, code)
        await self.hub.send(sender, reply)

    @_handle.register
    async def _(self, message: StopOrder, sender: str) -> None:
        key = (message.attempt, message.index)
        lease = self.table.leases.get(key)
        if lease is not None:
            self._stop_lease(lease, message)
            state = "stopping"
        else:
            state = await self._state_without_lease(key)
        await self.hub.send(sender, StopReply(*key, state))

    @_handle.register
    async def _(self, message: ResultAck, sender: str) -> None:
        self.outbox.acknowledge((message.attempt, message.index))

    async def _is_unproven(self, order: StartOrder) -> bool:
        """Tell whether an earlier run of this agent may have carried out an order."""
        key = (order.attempt, order.index)
        if order.incarnation == self.incarnation or self.table.has_tombstone(key):
            return False
        return not await self.session.proves_never_started(key)

    async def _state_without_lease(self, key: MemberKey) -> str:
        """Return what is known of a member that holds no lease here."""
        if self.table.has_ended(key):
            return "ended"
        if self.table.has_tombstone(key):
            return "never_started"
        self.table.add_tombstone(key, ran=False)
        if await self.session.proves_never_started(key):
            return "never_started"
        return "unproven"

    def _stop_lease(self, lease: HeldLease, order: StopOrder) -> None:
        if lease.stop(order.grace_s, order.reason):
            self.metrics.count("stops_ordered")

    async def _offer_bundle(self, name: str) -> None:
        signed = self.bundles.signed
        if signed is not None:
            raw = msgspec.json.encode(signed)
            await self.hub.send(name, BundleOffer(self.bundles.offset, raw))

    # Members

    def _run_member(self, lease: HeldLease) -> None:
        self._report.set()
        self._spawn(self._member(lease))

    async def _member(self, lease: HeldLease) -> None:
        runner = MemberRunner(lease, self.session, self.table, self._why_no_start)
        result = await runner.run()
        self._note_ending(lease, result)
        done = result.outcome.status == "done"
        self.table.release(lease.key, ran=result.ran, done=done)
        self._report.set()
        self.metrics.count(f"members_{result.outcome.status}")
        await self.outbox.add(result, lease.owner)

    def _note_ending(self, lease: HeldLease, result: MemberResult) -> None:
        if result.preempted or not result.ran:
            return
        number = self._endings[-1].number + 1 if self._endings else 1
        ran_s = time.monotonic() - lease.granted_s
        succeeded = result.outcome.status == "done"
        self._endings.append(CompletedTask(number, lease.order.spec, ran_s, succeeded))
        del self._endings[:-MAX_ENDINGS]

    async def _adoptions(self) -> None:
        """Follow the tasks that an earlier run of the agent started."""
        while True:
            lease = await self.session.adopted.get()
            logger.info("took over task {}", lease.key)
            self._run_member(lease)

    # Reports to entries

    def _inventory(self) -> Inventory:
        cfg = self.cfg
        info = UpstreamInfo(
            cfg.name,
            cfg.region,
            cfg.availability_zone,
            cfg.rack,
            self.table.capacity,
            self.http_url,
        )
        leases = self.table.inventory(time.monotonic())
        return Inventory(self.table.revision, info, leases, list(self._endings))

    async def _send_heartbeats(self) -> None:
        accepting = not self._leaving and self.session.is_accepting
        for name in self.entries.names():
            heartbeat = AgentHeartbeat(
                time.monotonic(),
                self._echo.get(name, 0.0),
                self.table.revision,
                self.bundles.version,
                accepting,
                self.table.gang_members(time.monotonic()),
            )
            await self.hub.send(name, heartbeat)

    async def _heartbeats(self) -> None:
        while True:
            await self._send_heartbeats()
            self.entries.forget_silent()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _reports(self) -> None:
        """Tell all entries at once when leases or the worker's state change."""
        while True:
            changed = {
                asyncio.ensure_future(self._report.wait()),
                asyncio.ensure_future(self.session.on_change.wait()),
            }
            await asyncio.wait(changed, return_when=asyncio.FIRST_COMPLETED)
            for fut in changed:
                fut.cancel()
            self._report.clear()
            self.session.on_change.clear()
            inventory = self._inventory()
            for name in self.entries.names():
                await self.hub.send(name, inventory)
            await self._send_heartbeats()
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)

    async def _resends(self) -> None:
        while True:
            await asyncio.sleep(RESEND_INTERVAL_S)
            await self.outbox.resend(self.entries.names())

    async def _discovery(self) -> None:
        while True:
            await asyncio.sleep(DISCOVERY_INTERVAL_S)
            if self.entries.lost_all:
                self.entries.dial_seeds()
                await self.entries.learn_from_log(self.log)


__all__ = ["Agent"]
