"""One lifetime of an upstream: holds its lease and carries out its orders."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

from ...clock import boottime_s
from ...errors import (
    UpstreamGoneError,
    UpstreamSilentError,
    UpstreamUnreachedError,
)
from ...logs import decision
from ...ports.upstream import RUN_ALREADY_ENDED
from ...protocol.upstream_messages import UpstreamOrders, UpstreamReport
from ...tasks import TaskSet
from .lease import MIN_LEASE_S, LeaseWatch
from .progress import ProgressTracker, RunKey, run_key

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from ...ports.upstream import CheckIn, RunListing, UpstreamPort
    from ...protocol.upstream_key import UpstreamKey
    from ...protocol.upstream_messages import RunOrder
    from .planner_grant import PlannerGrant

HOLD_WAIT_S = 1.0
"""Leases are extended at least this often, a sixth of the shortest longest lease."""
HOLD_TIMEOUT_S = 2.5
"""For a hold that waits, with room for a slow VM."""
CALL_TIMEOUT_S = 1.0
"""For starts and stops, which upstreams answer within milliseconds."""
RETRY_DELAY_S = 0.15
MIN_HOLD_INTERVAL_S = 0.05
"""Upstreams answer holds at once while they list ends that are not acknowledged."""


class UpstreamSession:
    """Everything that the agent does with one lifetime of an upstream.

    Parameters
    ----------
    key : UpstreamKey
        Names the lifetime.
    check_in : CheckIn
        Newest check-in of the lifetime.
    port : UpstreamPort
        Calls the upstream.
    authority : Authority
        Bounds leases and starts.
    on_change : callable
        Called where the report has changed.
    """

    def __init__(
        self,
        key: UpstreamKey,
        check_in: CheckIn,
        port: UpstreamPort,
        authority: PlannerGrant,
        max_lease_s: float,
        on_change: Callable[[], None],
    ) -> None:
        self.key = key
        self.check_in = check_in
        self.gone = False
        self.progress = ProgressTracker()
        self._port = port
        self._authority = authority
        self._lease = LeaseWatch(authority, max_lease_s)
        self._on_change = on_change
        self._orders: UpstreamOrders | None = None
        self._wanted: dict[RunKey, RunOrder] = {}
        self._calls: dict[RunKey, tuple[str, asyncio.Task[None]]] = {}
        self._started: set[RunKey] = set()
        self._stop_answered_s: dict[RunKey, float] = {}
        self._closed: set[RunKey] = set()
        self._refused: dict[RunKey, str] = {}
        self._uncertain: set[RunKey] = set()
        self._listing: RunListing | None = None
        self._listing_sent_s = float("-inf")
        self._tasks = TaskSet()
        self._tasks.spawn(self._hold_loop())

    async def close(self) -> None:
        """End all calls."""
        await self._tasks.close()
        self._port.close()

    def checked_in(self, check_in: CheckIn) -> None:
        """Take in a newer check-in of the same lifetime."""
        changed = not check_in.says_the_same(self.check_in)
        self.check_in = check_in
        if changed:
            self._on_change()

    def report(self) -> UpstreamReport:
        """Return what the planner is told."""
        self.progress.mark_reported(self._listing)
        listing, check_in = self._listing, self.check_in
        running = list(listing.running) if listing is not None else []
        return UpstreamReport(
            str(self.key),
            check_in.group,
            check_in.zone,
            not check_in.draining and listing is not None,
            check_in.capacity,
            list(check_in.labels),
            running,
            list(listing.ended) if listing is not None else [],
            sorted(self._closed),
            [(task, run, why) for (task, run), why in sorted(self._refused.items())],
            self.progress.stalled_runs(),
            check_in.remaining_ms,
            check_in.draining,
            self._lease.doubt_s,
        )

    # Orders

    def ordered(self, orders: UpstreamOrders) -> None:
        """Take in what is to run, replacing earlier orders."""
        is_first = self._orders is None
        self._orders = orders
        self._wanted = {(run.task, run.run): run for run in orders.runs}
        if is_first:
            # An agent that ran here before may have called for them.
            self._uncertain |= self._wanted.keys()
        self._uncertain &= self._wanted.keys()
        stopping = set(orders.stopping)
        self._closed &= stopping
        self._stop_answered_s = {
            key: at for key, at in self._stop_answered_s.items() if key in stopping
        }
        for key in [one for one in self._refused if one not in self._wanted]:
            del self._refused[key]
        self._started &= self._wanted.keys()
        for key, order in self._wanted.items():
            if key not in self._started and key not in self._refused:
                self._call(key, "start", self._start, order)
        for key in stopping:
            if key not in self._stop_answered_s:
                self._call(key, "stop", self._stop)
        self._stop_strangers()

    def _stop_strangers(self) -> None:
        """Stop what runs without an order."""
        if self._orders is None or self._listing is None:
            return
        known = self._wanted.keys() | set(self._orders.stopping)
        for row in self._listing.running:
            key = run_key(row)
            if key not in known and key not in self._calls:
                decision("run_stopped", task=row.task, run=row.run, why="no order")
                self._call(key, "stop", self._stop)

    def _call(
        self,
        key: RunKey,
        kind: str,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: Any,
    ) -> None:
        """Begin calls about a run; a stop takes the place of a start."""
        under_way = self._calls.get(key)
        if under_way is not None:
            if under_way[0] == kind:
                return
            under_way[1].cancel()
        task = self._tasks.spawn(work(key, *args))
        self._calls[key] = (kind, task)
        task.add_done_callback(lambda done: self._call_ended(key, done))

    def _call_ended(self, key: RunKey, task: asyncio.Task[None]) -> None:
        if key in self._calls and self._calls[key][1] is task:
            del self._calls[key]

    async def _start(self, key: RunKey, order: RunOrder) -> None:
        """Start a run until it is accepted or refused, or no longer wanted."""
        while key in self._wanted and not self.gone:
            reason = self._why_not_now()
            if reason == "draining":
                await self._give_up(key, reason)
                return
            if reason:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            sent_s, lease_s = boottime_s(), self._lease_s
            try:
                answer = await self._port.start(
                    order,
                    term=self._authority.term,
                    lease_until_ms=self._lease_until_ms(),
                    timeout_s=CALL_TIMEOUT_S,
                )
            except UpstreamUnreachedError:
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except UpstreamSilentError as exc:
                decision("start_in_doubt", task=key[0], run=key[1], why=str(exc))
                self._uncertain.add(key)
                self._note_doubt(sent_s, lease_s)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except UpstreamGoneError:
                self._lost("another lifetime answered a start")
                return
            if answer.accepted:
                self._started.add(key)
                decision("run_started", task=key[0], run=key[1], term=self.term)
                return
            if answer.reason == "late":
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            await self._give_up(key, answer.reason)
            return

    async def _give_up(self, key: RunKey, reason: str) -> None:
        """Report a run as refused as soon as it cannot have been started.

        The upstream's refusal speaks of one call only. An earlier one without an answer
        may have been carried out, or be carried out later, until the run is stopped.
        """
        if key in self._uncertain or reason == RUN_ALREADY_ENDED:
            await self._stop(key)
            stopped_s = boottime_s()
            while self._listing_sent_s <= stopped_s or (
                self._listing is not None and self._listing.shows_running(*key)
            ):
                await asyncio.sleep(RETRY_DELAY_S)
            if self._listing is not None and self._listing.shows_ended(*key):
                return
        self._refuse(key, reason)

    def _refuse(self, key: RunKey, reason: str) -> None:
        decision("start_refused", task=key[0], run=key[1], why=reason)
        self._refused[key] = reason
        self._on_change()

    @property
    def term(self) -> int:
        """Term under which calls are made."""
        return self._authority.term

    def _why_not_now(self) -> str:
        if self.check_in.draining:
            return "draining"
        if not self._authority.may_start:
            return "planner not heard lately"
        if self._listing is None or self._lease_s < MIN_LEASE_S:
            return "no lease"
        return ""

    async def _stop(self, key: RunKey) -> None:
        """Stop a run until the upstream has confirmed it."""
        while not self.gone:
            try:
                done = await self._port.stop(
                    *key, term=self._authority.term, timeout_s=CALL_TIMEOUT_S
                )
            except UpstreamSilentError as exc:
                decision("stop_in_doubt", task=key[0], run=key[1], why=str(exc))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except UpstreamGoneError:
                self._lost("another lifetime answered a stop")
                return
            if done:
                self._stop_answered_s[key] = boottime_s()
                return
            await asyncio.sleep(RETRY_DELAY_S)

    # The lease

    async def _hold_loop(self) -> None:
        while not self.gone:
            sent_s, lease_s = boottime_s(), self._lease_s
            try:
                listing = await self._hold()
            except UpstreamGoneError:
                self._lost("another lifetime answered")
                return
            except UpstreamSilentError as exc:
                if not isinstance(exc, UpstreamUnreachedError):
                    self._lease.extended(sent_s + HOLD_TIMEOUT_S, lease_s)
                    self._note_doubt(sent_s, lease_s)
                if self._lease.has_lapsed:
                    self._lost("no answer since its lease lapsed")
                    return
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._lease.extended(sent_s + HOLD_TIMEOUT_S, lease_s)
            self._listed(listing, sent_s)
            await asyncio.sleep(MIN_HOLD_INTERVAL_S)

    async def _hold(self) -> RunListing:
        first = self._listing is None
        until_ms = None
        if not first and self._lease_s > MIN_LEASE_S:
            until_ms = self._lease_until_ms()
        return await self._port.renew_lease(
            term=self._authority.term,
            stored_upto=self._orders.stored_upto if self._orders is not None else 0,
            lease_until_ms=until_ms,
            wait_s=0.0 if first else HOLD_WAIT_S,
            timeout_s=HOLD_TIMEOUT_S,
        )

    @property
    def _lease_s(self) -> float:
        return self._lease.length_s(draining=self.check_in.draining)

    def _lease_until_ms(self) -> int:
        return self._lease.until_ms(self._lease_s)

    def _note_doubt(self, sent_s: float, lease_s: float) -> None:
        """Note that a call without an answer may be carried out later."""
        if self._lease.doubted(sent_s, lease_s):
            self._on_change()

    def _listed(self, listing: RunListing, sent_s: float) -> None:
        """Take in a list that was asked for at `sent_s`."""
        if listing.started_ms and listing.started_ms != self.key.started_ms:
            self._lost("its list names another start")
            return
        before = self._listing
        self._lease.clock_read(listing.clock_ms)
        self._listing = listing
        self._listing_sent_s = sent_s
        newly_stalled = self.progress.update(listing)
        present = {run_key(row) for row in listing.running}
        present |= {(row.task, row.run) for row in listing.ended}
        closed = {
            key
            for key, at in self._stop_answered_s.items()
            if at < sent_s and key not in present
        }
        news = closed - self._closed
        self._closed |= closed
        self._stop_strangers()
        rows_changed = before is None or (
            before.ended != listing.ended
            or {run_key(row) for row in before.running}
            != {run_key(row) for row in listing.running}
        )
        if news or rows_changed or newly_stalled:
            self._on_change()

    def _lost(self, why: str) -> None:
        decision("upstream_gone", upstream=str(self.key), why=why)
        self.gone = True
        self._on_change()


__all__ = ["UpstreamSession"]
