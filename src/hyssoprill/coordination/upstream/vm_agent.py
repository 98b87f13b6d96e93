"""The agent of one VM: reports its upstreams and passes the planner's orders on."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Self

from ...clock import boottime_s
from ...logs import decision
from ...protocol.message import Message
from ...protocol.upstream_key import UpstreamKey, parse_upstream_key
from ...protocol.upstream_messages import (
    Grant,
    Referral,
    VmHeartbeat,
    VmOrders,
    VmReport,
)
from ...tasks import TaskSet
from ...transport.frame import FrameCodec
from ...transport.link import LinkHub
from ..entry_watcher import EntryWatcher
from ..identity import new_incarnation
from .planner_grant import PlannerGrant
from .session import UpstreamSession

if TYPE_CHECKING:
    from collections.abc import Callable

    from ...ports.store import StorePort
    from ...ports.upstream import CheckIn, UpstreamPort
    from ...protocol.messages import Envelope
    from ...transport.metrics import Metrics

    PortFactory = Callable[[CheckIn], UpstreamPort]

HEARTBEAT_INTERVAL_S = 0.6
PLANNER_SILENCE_S = 1.0
"""After this without an answer all entries are asked who plans."""


class VmAgent:
    """Everything that runs beside the upstreams of one VM.

    Parameters
    ----------
    vm : str
        Name of the VM.
    cluster_key : str
        Seals the links.
    store : StorePort
        Lists the entries.
    open_port : callable
        Opens the port of an upstream from its check-in.
    max_lease_s : float
        Longest lease that an upstream takes.
    """

    def __init__(
        self,
        vm: str,
        cluster_key: str,
        store: StorePort,
        open_port: PortFactory,
        metrics: Metrics,
        *,
        max_lease_s: float,
    ) -> None:
        self.vm = vm
        self.metrics = metrics
        self._cluster_key = cluster_key
        self._open_port = open_port
        self._max_lease_s = max_lease_s
        self._authority = PlannerGrant()
        self._sessions: dict[UpstreamKey, UpstreamSession] = {}
        self._gone: list[UpstreamKey] = []
        self._members = EntryWatcher(store, self._entry_found)
        self._planner = ""
        self._planner_heard_s = boottime_s()
        self._searching = True
        self._number = 1
        self._orders = (0, 0)
        self._news = asyncio.Event()
        metrics.watch("upstreams", lambda: len(self._sessions))
        metrics.watch("lease_left_seconds", lambda: self._authority.lease_left_s)
        self._stack = AsyncExitStack()
        self._tasks = TaskSet()

    async def __aenter__(self) -> Self:
        codec = FrameCodec(self._cluster_key, self.vm, new_incarnation())
        self._hub = await self._stack.enter_async_context(
            LinkHub(codec, self._receive, self.metrics)
        )
        for work in (self._members.run(), self._report_loop()):
            self._tasks.spawn(work)
        return self

    async def __aexit__(self, *_exc_info: object) -> None:
        await self._tasks.close()
        for session in self._sessions.values():
            await session.close()
        await self._stack.aclose()

    def set_max_lease(self, max_lease_s: float) -> None:
        """Put another longest lease in force, for upstreams found from now on."""
        self._max_lease_s = max_lease_s

    # Check-ins

    def handle_check_in(self, check_in: CheckIn) -> bool:
        """Take in a check-in; return False where it is of an ended lifetime."""
        key = UpstreamKey(self.vm, check_in.address, check_in.started_ms, check_in.id)
        if key in self._gone or any(one.supersedes(key) for one in self._sessions):
            return False
        session = self._sessions.get(key)
        if session is not None:
            if check_in.sequence > session.check_in.sequence:
                session.checked_in(check_in)
            return True
        for older in [one for one in self._sessions if key.supersedes(one)]:
            self._end(older, "a later lifetime checked in")
        decision("upstream_found", upstream=str(key), zone=check_in.zone)
        self._sessions[key] = UpstreamSession(
            key,
            check_in,
            self._open_port(check_in),
            self._authority,
            self._max_lease_s,
            self._changed,
        )
        self._changed()
        return True

    def remove_upstream(self, upstream_id: str) -> None:
        """Take in that an upstream has left; everything on it has ended."""
        for key in [one for one in self._sessions if one.id == upstream_id]:
            self._end(key, "it left")

    def _end(self, key: UpstreamKey, why: str) -> None:
        decision("upstream_ended", upstream=str(key), why=why)
        session = self._sessions.pop(key)
        session.gone = True
        self._gone.append(key)
        del self._gone[:-8]
        self._tasks.spawn(session.close())
        self._changed()

    def _changed(self) -> None:
        self._number += 1
        self._news.set()

    # The planner

    async def _receive(self, envelope: Envelope) -> None:
        await self._handle(envelope.body, envelope.sender)

    @singledispatchmethod
    async def _handle(self, _message: Message, _sender: str) -> None:
        self.metrics.count("messages_unexpected")

    @_handle.register
    async def _(self, message: Grant, sender: str) -> None:
        if not self._authority.update(message.term, message.echoed_clock_s):
            return
        self._heard(sender)
        if message.report_number != self._number:
            await self._send_report()

    @_handle.register
    async def _(self, message: VmOrders, sender: str) -> None:
        if (message.term, message.number) <= self._orders:
            return
        if not self._authority.update(message.term, message.echoed_clock_s):
            return
        self._heard(sender)
        self._orders = (message.term, message.number)
        for orders in message.upstreams:
            session = self._sessions.get(parse_upstream_key(orders.key))
            if session is not None:
                session.ordered(orders)

    @_handle.register
    async def _(self, message: Referral, sender: str) -> None:
        if not message.planner or message.planner in (sender, self._planner):
            return
        if message.term < self._authority.term:
            return
        self._members.update(message.planner, message.link_url)
        self._choose(message.planner)
        await self._send_report()

    def _heard(self, sender: str) -> None:
        """Note that an entry answers as the planner."""
        self._planner_heard_s = boottime_s()
        if self._planner == sender and not self._searching:
            return
        decision("planner_found", planner=sender, term=self._authority.term)
        self._planner = sender
        self._searching = False
        for other in self._hub.dialled_urls:
            if other != sender:
                self._hub.hang_up(other)

    def _choose(self, name: str) -> None:
        """Report to one entry from now on."""
        self._planner = name
        self._planner_heard_s = boottime_s()
        self._hub.dial(name, self._members.link_urls[name])

    def _search(self) -> None:
        """Ask all entries who plans."""
        if not self._searching:
            decision("planner_lost", planner=self._planner, term=self._authority.term)
        self._searching = True
        self._planner = ""
        for name, url in self._members.link_urls.items():
            self._hub.dial(name, url)

    async def _report_loop(self) -> None:
        """Report changes at once, and otherwise that nothing has changed."""
        while True:
            try:
                await asyncio.wait_for(self._news.wait(), HEARTBEAT_INTERVAL_S)
            except TimeoutError:
                pass
            if any(
                one.progress.has_unreported_progress for one in self._sessions.values()
            ):
                self._changed()
            changed = self._news.is_set()
            self._news.clear()
            self._drop_gone()
            if boottime_s() - self._planner_heard_s > PLANNER_SILENCE_S:
                self._search()
            if changed or not self._planner:
                await self._send_report()
            else:
                await self._send(
                    VmHeartbeat(self.vm, boottime_s(), self._number, *self._orders)
                )

    def _drop_gone(self) -> None:
        for key in [key for key, one in self._sessions.items() if one.gone]:
            self._end(key, "its lifetime is over")

    async def _send_report(self) -> None:
        await self._send(
            VmReport(
                self.vm,
                boottime_s(),
                self._number,
                [session.report() for session in self._sessions.values()],
                [str(key) for key in self._gone],
            )
        )

    async def _send(self, message: Message) -> None:
        """Send to the planner, or to all entries while it is not known."""
        if self._planner:
            await self._hub.send(self._planner, message)
            return
        for name in self._members.link_urls:
            self._tasks.spawn(self._hub.send(name, message))

    # Entries

    def _entry_found(self, name: str) -> None:
        if name in self._hub.dialled_urls or not self._planner:
            self._hub.dial(name, self._members.link_urls[name])
        if not self._planner:
            self._news.set()


__all__ = ["VmAgent"]
