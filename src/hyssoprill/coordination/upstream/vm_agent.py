"""Runs the agent of one VM: reports its upstreams and executes the planner's orders."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from functools import singledispatchmethod
from typing import TYPE_CHECKING, Self

from msgspec.structs import replace

from ...clock import boottime_s
from ...logs import decision
from ...protocol.message import Message
from ...protocol.upstream_key import UpstreamKey, parse_upstream_key
from ...protocol.upstream_messages import (
    Grant,
    Referral,
    UpstreamReport,
    VmHeartbeat,
    VmOrders,
    VmReport,
)
from ...tasks import TaskSet
from ...transport.frame import FrameCodec
from ...transport.link import LinkHub
from ..entry_watcher import EntryWatcher
from ..identity import new_incarnation
from .answer_delay import AnswerDelay
from .answer_limit import AnswerLimit
from .late_starts import MAX_LOGGED_RUNS, LateStarts
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
SEARCH_INTERVAL_S = 0.15
"""Interval between the first reports while no planner has answered.

A restarted or newly elected planner answers within tenths of a second, and jobs wait
for it."""
MAX_QUICK_SEARCHES = 14
"""Number of reports at that interval, which outlast a claim of the term.

Another entry claims it only after `CLAIM_AFTER_S` where the planner has stepped down
without a record of it."""
MAX_SEARCH_PEERS = 3
"""Entries that are asked in each of these; all others know who plans as well."""
MAX_ANSWERING_REPORTS = 3
"""Most reports within a heartbeat's interval that answer messages of entries.

Entries answer each report at once and need not agree who plans."""
MAX_ENDED_KEYS = 8
"""Number of ended incarnations that an agent reports, the newest."""
PLANNER_SILENCE_S = 1.0
"""After this long without an answer, the agent asks all entries who plans."""


class VmAgent:
    """Connects the upstreams of one VM to the planner.

    Parameters
    ----------
    vm : str
        Name of the VM.
    cluster_key : str
        Encrypts the links to entries.
    store : StorePort
        Holds the list of entries.
    open_port : callable
        Returns the port of an upstream, given its check-in.
    max_lease_s : float
        Longest lease that an upstream accepts.
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
        self._grant = PlannerGrant()
        self._sessions: dict[UpstreamKey, UpstreamSession] = {}
        self._ended_keys: list[UpstreamKey] = []
        self._last_reports: dict[UpstreamKey, UpstreamReport] = {}
        self._late_starts = LateStarts()
        self._entries = EntryWatcher(store, self._dial_entry)
        self._planner = ""
        self._planner_heard_s = boottime_s()
        self._searching = True
        self._quick_searches = 0
        self._answer_limit = AnswerLimit(MAX_ANSWERING_REPORTS, HEARTBEAT_INTERVAL_S)
        self._answers = AnswerDelay()
        self._ended_term = 0
        self._report_number = 1
        self._newest_orders = (0, 0)
        self._report_due = asyncio.Event()
        metrics.watch("upstreams", lambda: len(self._sessions))
        metrics.watch("lease_left_seconds", lambda: self._grant.lease_left_s)
        self._stack = AsyncExitStack()
        self._tasks = TaskSet()

    async def __aenter__(self) -> Self:
        codec = FrameCodec(self._cluster_key, self.vm, new_incarnation())
        self._hub = await self._stack.enter_async_context(
            LinkHub(codec, self._receive, self.metrics)
        )
        self._tasks.supervise("entry_list", self._entries.run)
        self._tasks.supervise("reports", self._report_loop)
        return self

    async def __aexit__(self, *_exc_info: object) -> None:
        await self._tasks.close()
        for session in self._sessions.values():
            await session.close()
        await self._stack.aclose()

    def set_max_lease(self, max_lease_s: float) -> None:
        """Change the longest lease of upstreams that check in from now on."""
        self._max_lease_s = max_lease_s

    # Check-ins

    def handle_check_in(self, check_in: CheckIn) -> bool:
        """Apply a check-in; return False if its incarnation has already ended."""
        key = UpstreamKey(self.vm, check_in.address, check_in.started_ms, check_in.id)
        if key in self._ended_keys or any(
            other.supersedes(key) for other in self._sessions
        ):
            return False
        session = self._sessions.get(key)
        if session is not None:
            if check_in.sequence > session.check_in.sequence:
                session.update_check_in(check_in)
            return True
        for older in [other for other in self._sessions if key.supersedes(other)]:
            self._sessions[older].record_end(crashed=True)
            self._end_session(older, "a later incarnation checked in")
        decision("upstream_found", upstream=str(key), zone=check_in.zone)
        self._sessions[key] = UpstreamSession(
            key,
            check_in,
            self._open_port(check_in),
            self._grant,
            self._max_lease_s,
            self._mark_changed,
            self._late_starts.inherited_by(key),
            self._late_starts.lease_until_s(key),
        )
        self._mark_changed()
        return True

    def remove_upstream(self, upstream_id: str) -> None:
        """End an upstream that has left, with all of its runs.

        An upstream announces its end by draining. A removal of one that does not drain
        may be late and mean an earlier incarnation.
        """
        for key in [other for other in self._sessions if other.id == upstream_id]:
            if self._sessions[key].check_in.draining:
                self._sessions[key].has_process_ended = True
                self._sessions[key].record_end(crashed=False)
                self._end_session(key, "the upstream left")
            else:
                decision("removal_ignored", upstream=str(key), why="not draining")

    def _end_session(self, key: UpstreamKey, why: str) -> None:
        session = self._sessions.pop(key)
        starting = sorted(session.start_calls.starting)
        late_runs = session.late_runs
        late = sorted(late_runs)
        decision(
            "upstream_ended",
            upstream=str(key),
            why=why,
            starting=starting[:MAX_LOGGED_RUNS],
            starting_count=len(starting),
            crashed=session.crashed,
            unsettled=late[:MAX_LOGGED_RUNS],
            unsettled_count=len(late),
        )
        self._late_starts.record_end(key, late_runs, self._max_lease_s)
        self._ended_keys.append(key)
        self._last_reports[key] = session.report()
        for expired in self._ended_keys[:-MAX_ENDED_KEYS]:
            if expired not in self._late_starts:
                self._last_reports.pop(expired)
                self._ended_keys.remove(expired)
        self._tasks.spawn(session.close())
        self._mark_changed()

    def _mark_changed(self) -> None:
        """Number a new report and have it sent at once."""
        self._report_number += 1
        self._report_due.set()

    # The planner

    async def _receive(self, envelope: Envelope) -> None:
        await self._handle(envelope.body, envelope.sender)

    @singledispatchmethod
    async def _handle(self, _message: Message, _sender: str) -> None:
        self.metrics.count("messages_unexpected")

    @_handle.register
    async def _(self, message: Grant, sender: str) -> None:
        if not self._grant.update(message.term, message.echoed_clock_s):
            return
        self._answers.record_answer(message.term, message.echoed_clock_s)
        self._confirm_planner(sender)
        if message.report_number != self._report_number and self._answer_limit.allow():
            await self._send_report()

    @_handle.register
    async def _(self, message: VmOrders, sender: str) -> None:
        if (message.term, message.number) <= self._newest_orders:
            return
        if not self._grant.update(message.term, message.echoed_clock_s):
            return
        self._confirm_planner(sender)
        self._newest_orders = (message.term, message.number)
        self._grant.order_validity_s = message.validity_s
        for orders in message.upstreams:
            session = self._sessions.get(parse_upstream_key(orders.key))
            if session is not None:
                session.apply_orders(
                    orders, message.echoed_clock_s, message.sent_ms, message.echo_age_s
                )

    @_handle.register
    async def _(self, message: Referral, sender: str) -> None:
        if message.term < self._grant.term:
            return
        if message.planner:
            await self._follow_referral(message, sender)
        elif sender == self._planner:
            self._ended_term = max(self._ended_term, message.term)
            self._search_planner()
            if self._answer_limit.allow():
                self._report_due.set()

    async def _follow_referral(self, message: Referral, sender: str) -> None:
        """Report to the entry named, unless it has said that its term is over."""
        is_known = message.planner in (sender, self._planner)
        if is_known or message.term <= self._ended_term:
            return
        self._switch_planner(message.planner, message.link_url)
        if self._answer_limit.allow():
            await self._send_report()

    def _confirm_planner(self, sender: str) -> None:
        """Record that an entry answers as the planner, and drop links to others."""
        self._planner_heard_s = boottime_s()
        if self._planner == sender and not self._searching:
            return
        decision(
            "planner_found",
            planner=sender,
            term=self._grant.term,
            in_doubt_s=self._max_in_doubt_s(),
        )
        self._planner = sender
        self._searching = False
        self._ended_term = 0
        for other in self._hub.dialled_urls:
            if other != sender:
                self._hub.hang_up(other)

    def _switch_planner(self, name: str, link_url: str) -> None:
        """Send reports to one entry from now on, if its address is known."""
        self._entries.update(name, link_url)
        if name in self._entries.link_urls:
            self._planner, self._planner_heard_s = name, boottime_s()
            self._hub.dial(name, self._entries.link_urls[name])

    def _search_planner(self) -> None:
        """Connect to all entries to find out which one plans."""
        if not self._searching:
            decision(
                "planner_lost",
                planner=self._planner,
                term=self._grant.term,
                lease_left_s=round(self._grant.lease_left_s, 3),
                in_doubt_s=self._max_in_doubt_s(),
            )
            self._quick_searches = 0
        self._searching = True
        self._planner = ""
        for name, url in self._entries.link_urls.items():
            self._hub.dial(name, url)

    def _max_in_doubt_s(self) -> float:
        """Return for how long unanswered calls may keep a lease alive, for the log."""
        in_doubt_s = (one.in_doubt_s for one in self._sessions.values())
        return round(max(in_doubt_s, default=0.0), 3)

    async def _report_loop(self) -> None:
        """Report each change at once, and send heartbeats between changes."""
        while True:
            try:
                await asyncio.wait_for(self._report_due.wait(), self._report_interval_s)
            except TimeoutError:
                self._quick_searches += 1
            if any(
                session.progress.has_unreported_progress
                for session in self._sessions.values()
            ):
                self._mark_changed()
            if self._late_starts.settle(self._sessions):
                self._mark_changed()
            was_searching = self._searching
            changed = self._report_due.is_set()
            self._report_due.clear()
            self._remove_ended_sessions()
            if boottime_s() - self._planner_heard_s > PLANNER_SILENCE_S:
                self._search_planner()
            if changed or self._searching:
                await self._send_report()
                if was_searching:
                    self._stop_with_grant()
            else:
                await self._send(
                    VmHeartbeat(
                        self.vm,
                        boottime_s(),
                        self._report_number,
                        *self._newest_orders,
                        *self._answers.newest,
                    )
                )

    def _stop_with_grant(self) -> None:
        """Stop what must end with the grant, as no planner has answered."""
        for session in self._sessions.values():
            session.stop_with_grant()

    @property
    def _report_interval_s(self) -> float:
        """Longest time until the next report, heartbeat or end of the grant."""
        interval_s = (
            SEARCH_INTERVAL_S if self._searches_quickly else HEARTBEAT_INTERVAL_S
        )
        left_s = self._grant.runs_left_s
        ends_s = [left_s - one.stop_lead_s for one in self._sessions.values()]
        return min([interval_s, *(one for one in ends_s if one > 0)])

    @property
    def _searches_quickly(self) -> bool:
        """Whether the search for a planner has only just begun."""
        return self._searching and self._quick_searches < MAX_QUICK_SEARCHES

    def _remove_ended_sessions(self) -> None:
        for key in [key for key, session in self._sessions.items() if session.gone]:
            self._end_session(key, "its session has ended")

    async def _send_report(self) -> None:
        await self._send(
            VmReport(
                self.vm,
                boottime_s(),
                self._report_number,
                [session.report() for session in self._sessions.values()],
                [str(key) for key in self._ended_keys],
                self._reported_last_states(),
                *self._answers.newest,
            )
        )

    def _reported_last_states(self) -> list[UpstreamReport]:
        """Return the last reports of ended incarnations that tell of runs."""
        reports = [
            replace(one, unsettled=self._late_starts.unsettled(key))
            for key, one in self._last_reports.items()
        ]
        return [
            one
            for one in reports
            if one.running or one.ended or one.unsettled or one.unlisted
        ]

    async def _send(self, message: VmReport | VmHeartbeat) -> None:
        """Send to the planner, or to other entries while the planner is unknown.

        Where many entries could answer, a quick search asks only some.
        """
        self._answers.record_sent(message.clock_s)
        if self._planner:
            await self._hub.send(self._planner, message)
            return
        names = list(self._entries.link_urls)
        if self._searches_quickly:
            names = random.sample(names, min(len(names), MAX_SEARCH_PEERS))
        for name in names:
            self._tasks.spawn(self._hub.send(name, message))

    # Entries

    def _dial_entry(self, name: str) -> None:
        """Connect to a new or moved entry if it is in use or the planner is unknown."""
        if name in self._hub.dialled_urls or not self._planner:
            self._hub.dial(name, self._entries.link_urls[name])
        if not self._planner:
            self._report_due.set()


__all__ = ["VmAgent"]
