"""Agent of one upstream: grants leases, runs members and reports to all entries."""

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
MAX_COMPLETED_TASKS = 32


class Agent:
    """Controls one upstream and reports its state to all entries of the region.

    Parameters
    ----------
    cfg : AgentSettings
        Validated settings.
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
        self._completed_tasks: list[CompletedTask] = []
        self._entry_clocks_s: dict[str, float] = {}
        self._report_due = asyncio.Event()
        self._draining = False

    async def __aenter__(self) -> Self:
        return self

    async def start(self, http_url: str) -> None:
        """Open the links and the worker session; call once after entering the context.

        Parameters
        ----------
        http_url : str
            Address of this agent's HTTP server, which is reported to the entries.
        """
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
        self._spawn(self._heartbeat_loop())
        self._spawn(self._report_loop())
        self._spawn(self._adoption_loop())
        self._spawn(self._resend_loop())
        self._spawn(self._discovery_loop())

    async def __aexit__(self, *_exc_info: object) -> None:
        await cancel_all(self._tasks)
        await self._stack.aclose()
        self.log.close()
        self.worker.close()

    async def drain(self) -> None:
        """Refuse new work, and wait until no attached job or result is left.

        The tasks of detached jobs stay on the worker for the next agent process.
        """
        self._draining = True
        self._report_due.set()
        while self._has_attached_work() or len(self.outbox):
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)

    def dump(self) -> dict[str, Any]:
        """Return the whole state for operators to read, without secrets."""
        now_s = time.monotonic()
        return {
            "role": "agent",
            "name": self.cfg.name,
            "incarnation": self.incarnation,
            "bundle_version": self.bundles.version,
            "accepting": not self._start_blocker(),
            "why_no_start": self._start_blocker(),
            "capacity": self.table.capacity._asdict(),
            "free": self.table.free._asdict(),
            "leases": to_builtins(self.table.inventory(now_s)),
            "unacknowledged_results": len(self.outbox),
            "entries": self.hub.dialled_urls,
            "worker_silence_s": round(self.session.silence_s, 3),
            "counters": self.metrics.totals,
        }

    def _has_attached_work(self) -> bool:
        """Tell whether a job that is not detached holds a lease."""
        return any(
            not lease.order.spec.detached for lease in self.table.leases.values()
        )

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _start_blocker(self) -> str:
        """Return why no task may start on this upstream now, or ''."""
        if self.cfg.availability_zone in self.bundles.bundle.zones_out:
            return "availability_zone_out"
        if self._draining or not self.session.is_accepting:
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
        self.entries.record_answer(sender)
        self._entry_clocks_s[sender] = message.clock_s
        self.entries.dial(message.entries)
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
            self._report_due.set()

    @_handle.register
    async def _(self, message: StartOrder, sender: str) -> None:
        conditions = GrantConditions(
            self.incarnation,
            self.bundles.version,
            self.cfg.availability_zone in self.bundles.bundle.zones_out,
            not self._start_blocker(),
        )
        if await self._may_have_started_before(message):
            reply = StartReply(message.attempt, message.index, False, "unproven")
            await self.hub.send(sender, reply)
            return
        granted, code = self.table.process_order(
            message, conditions, time.monotonic(), owner=sender
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
            state = await self._prevent_start(key)
        await self.hub.send(sender, StopReply(*key, state))

    @_handle.register
    async def _(self, message: ResultAck, sender: str) -> None:
        self.outbox.acknowledge((message.attempt, message.index))

    async def _may_have_started_before(self, order: StartOrder) -> bool:
        """Tell whether an earlier process of this agent may have executed an order."""
        key = (order.attempt, order.index)
        if order.incarnation == self.incarnation or self.table.has_tombstone(key):
            return False
        return not await self.session.proves_never_started(key)

    async def _prevent_start(self, key: MemberKey) -> str:
        """Prevent a member without a lease from starting, and return its state.

        Returns
        -------
        str
            `ended`, `never_started`, or `unproven` if an earlier process of this agent
            may have started it.
        """
        if self.table.has_ended(key):
            return "ended"
        if self.table.has_tombstone(key):
            return "never_started"
        self.table.add_tombstone(key, ran=False)
        if await self.session.proves_never_started(key):
            return "never_started"
        return "unproven"

    def _stop_lease(self, lease: HeldLease, order: StopOrder) -> None:
        """Order a member to stop, unless it is stopping already."""
        if lease.stop(order.grace_s, order.reason):
            self.metrics.count("stops_ordered")

    async def _offer_bundle(self, name: str) -> None:
        """Send the bundle in force to an entry that has an older one."""
        signed = self.bundles.signed
        if signed is not None:
            raw = msgspec.json.encode(signed)
            await self.hub.send(name, BundleOffer(self.bundles.offset, raw))

    # Members

    def _run_member(self, lease: HeldLease) -> None:
        """Run a member in the background."""
        self._report_due.set()
        self._spawn(self._complete_member(lease))

    async def _complete_member(self, lease: HeldLease) -> None:
        """Run a member to its result, release its lease and send the result."""
        runner = MemberRunner(lease, self.session, self.table, self._start_blocker)
        result = await runner.run()
        self._record_completed_task(lease, result)
        done = result.outcome.status == "done"
        self.table.release(lease.key, ran=result.ran, done=done)
        self._report_due.set()
        self.metrics.count(f"members_{result.outcome.status}")
        await self.outbox.add(result, lease.owner)

    def _record_completed_task(self, lease: HeldLease, result: MemberResult) -> None:
        """Record the run time of a task that ended by itself, for later inventories."""
        if result.preempted or not result.ran:
            return
        number = self._completed_tasks[-1].number + 1 if self._completed_tasks else 1
        ran_s = time.monotonic() - lease.granted_s
        succeeded = result.outcome.status == "done"
        self._completed_tasks.append(
            CompletedTask(number, lease.order.spec, ran_s, succeeded)
        )
        del self._completed_tasks[:-MAX_COMPLETED_TASKS]

    async def _adoption_loop(self) -> None:
        """Run the members whose tasks an earlier agent process started."""
        while True:
            lease = await self.session.adopted.get()
            logger.info("adopted running task {}", lease.key)
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
        return Inventory(self.table.revision, info, leases, list(self._completed_tasks))

    async def _send_heartbeats(self) -> None:
        accepting = not self._draining and self.session.is_accepting
        for name in self.entries.names():
            heartbeat = AgentHeartbeat(
                time.monotonic(),
                self._entry_clocks_s.get(name, 0.0),
                self.table.revision,
                self.bundles.version,
                accepting,
                self.table.gang_members(time.monotonic()),
            )
            await self.hub.send(name, heartbeat)

    async def _heartbeat_loop(self) -> None:
        while True:
            await self._send_heartbeats()
            self.entries.close_silent()
            await asyncio.sleep(HEARTBEAT_INTERVAL_S)

    async def _report_loop(self) -> None:
        """Report to all entries as soon as leases or the worker's state change."""
        while True:
            changed = {
                asyncio.ensure_future(self._report_due.wait()),
                asyncio.ensure_future(self.session.changed.wait()),
            }
            await asyncio.wait(changed, return_when=asyncio.FIRST_COMPLETED)
            for future in changed:
                future.cancel()
            self._report_due.clear()
            self.session.changed.clear()
            inventory = self._inventory()
            for name in self.entries.names():
                await self.hub.send(name, inventory)
            await self._send_heartbeats()
            await asyncio.sleep(MIN_REPORT_INTERVAL_S)

    async def _resend_loop(self) -> None:
        """Resend unacknowledged results."""
        while True:
            await asyncio.sleep(RESEND_INTERVAL_S)
            await self.outbox.resend(self.entries.names())

    async def _discovery_loop(self) -> None:
        """Look for entries in the settings and the log while no entry answers."""
        while True:
            await asyncio.sleep(DISCOVERY_INTERVAL_S)
            if self.entries.all_silent:
                self.entries.dial_seeds()
                await self.entries.discover_from_log(self.log)


__all__ = ["Agent"]
