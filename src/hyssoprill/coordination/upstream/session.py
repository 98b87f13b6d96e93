"""Renews the lease of one incarnation of an upstream and carries out its orders."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING, Any

from ...clock import boottime_s
from ...errors import (
    UpstreamBrokenOffError,
    UpstreamFencedError,
    UpstreamGoneError,
    UpstreamNotListeningError,
    UpstreamSilentError,
    UpstreamUnreachedError,
)
from ...logs import decision
from ...ports.upstream import RUN_ALREADY_ENDED
from ...protocol.upstream_messages import (
    GRANT_ENDED,
    ORDER_EXPIRED,
    START_NOT_TAKEN,
    UpstreamOrders,
    UpstreamReport,
)
from ...tasks import TaskSet
from .departure import DepartureWatch
from .fence_search import PROBE_INTERVAL_S, FenceSearch
from .lease import MIN_LEASE_S, LeaseTracker
from .order_ages import OrderAges
from .planner_grant import GRANT_TTL_S, MAX_CLOCK_DRIFT
from .progress import ProgressTracker, RunKey, run_key
from .start_calls import StartCalls
from .stop_calls import StopCalls

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Mapping

    from ...ports.upstream import CheckIn, RunListing, UpstreamPort
    from ...protocol.upstream_key import UpstreamKey
    from ...protocol.upstream_messages import RunOrder
    from .planner_grant import PlannerGrant

RENEW_WAIT_S = 1.0
"""Longest wait of one renewal, so that leases are renewed at least this often.

A sixth of the smallest longest lease that an upstream may have."""
RENEW_TIMEOUT_S = 2.5
"""Timeout of a renewal including its wait, with slack for a slow VM."""
CALL_TIMEOUT_S = 1.0
"""Timeout of starts and stops, which upstreams answer within milliseconds."""
RETRY_DELAY_S = 0.15
STOP_LEAD_S = CALL_TIMEOUT_S + RETRY_DELAY_S
"""Time for a stop without an answer before it is repeated."""
MIN_RENEW_INTERVAL_S = 0.05
"""Shortest pause between renewals.

Upstreams answer renewals at once while they list unacknowledged ends."""


class UpstreamSession:
    """Manages one incarnation of an upstream: its lease, starts and stops.

    Parameters
    ----------
    key : UpstreamKey
        Identifies the incarnation.
    check_in : CheckIn
        Newest check-in of the incarnation.
    port : UpstreamPort
        Connection to the upstream; closed with the session.
    grant : PlannerGrant
        Limits leases and permits starts.
    max_lease_s : float
        Longest lease that the upstream accepts.
    on_change : callable
        Called when the report has changed.
    inherited : frozenset of tuple
        Runs that calls to earlier incarnations may start on this one. They are stopped
        before the upstream is reported as accepting starts.
    in_doubt_until_s : float
        Until when such calls may extend the lease.
    """

    def __init__(
        self,
        key: UpstreamKey,
        check_in: CheckIn,
        port: UpstreamPort,
        grant: PlannerGrant,
        max_lease_s: float,
        on_change: Callable[[], None],
        inherited: frozenset[RunKey] = frozenset(),
        in_doubt_until_s: float = 0.0,
    ) -> None:
        self.key = key
        self.check_in = check_in
        self.gone = False
        self.crashed = False
        self.progress = ProgressTracker()
        self._port = port
        self._grant = grant
        self._fence_search = FenceSearch(grant)
        self._lease_tracker = LeaseTracker(grant, max_lease_s, in_doubt_until_s)
        self._on_change = on_change
        self._orders: UpstreamOrders | None = None
        self._ordered_runs: dict[RunKey, RunOrder] = {}
        self._order_ages = OrderAges()
        self._calls: dict[RunKey, tuple[str, asyncio.Task[None]]] = {}
        self._started: set[RunKey] = set()
        self._refused: dict[RunKey, str] = {}
        self._outdated: set[RunKey] = set()
        self.start_calls = StartCalls()
        self.stop_calls = StopCalls(inherited)
        self.has_process_ended = False
        self._departure = DepartureWatch()
        self._listing: RunListing | None = None
        self._listing_sent_s = float("-inf")
        self._listing_waits = 0
        self._lapsed_upto = 0
        self._tasks = TaskSet()
        self._tasks.supervise("lease_renewals", self._renew_loop)
        for run in inherited:
            self._call(run, "stop", self._stop)

    async def close(self) -> None:
        """Cancel all calls and close the port."""
        await self._tasks.close()
        self._port.close()

    def update_check_in(self, check_in: CheckIn) -> None:
        """Apply a newer check-in of the same incarnation."""
        changed = not check_in.has_same_state(self.check_in)
        if not check_in.capacity.covers(self.check_in.capacity):
            # Ordered by a larger capacity; the planner has to decide again.
            self._outdated |= {
                key for key, (kind, _task) in self._calls.items() if kind == "start"
            }
        self.check_in = check_in
        self._departure.record_check_in()
        if changed:
            self._on_change()

    def report(self) -> UpstreamReport:
        """Return the report to the planner, and mark its progress as reported."""
        self.progress.mark_reported(self._listing)
        listing, check_in = self._listing, self.check_in
        running = list(listing.running) if listing is not None else []
        return UpstreamReport(
            str(self.key),
            check_in.group,
            check_in.zone,
            not check_in.draining
            and listing is not None
            and self.stop_calls.are_inherited_settled
            and not self._must_lapse,
            check_in.capacity,
            list(check_in.labels),
            running,
            list(listing.ended) if listing is not None else [],
            sorted(self.stop_calls.closed),
            [(task, run, why) for (task, run), why in sorted(self._refused.items())],
            self.progress.stalled_runs(),
            check_in.remaining_ms,
            check_in.draining,
            self._lease_tracker.in_doubt_s,
            self.crashed,
            self.start_calls.starting_rows() if self.crashed else [],
            lapsed_upto=self._lapsed_upto,
        )

    def record_end(self, *, crashed: bool) -> None:
        """Record that the incarnation has ended; a draining one does not crash."""
        if not self.gone:
            self.gone = True
            self.crashed = crashed and not self.check_in.draining

    @property
    def late_runs(self) -> dict[RunKey, float]:
        """Runs that an incarnation that follows under the same id may execute.

        With each is given when the newest call for it was sent, at the latest.
        """
        return self.start_calls.late_runs(has_process_ended=self.has_process_ended)

    @property
    def has_listed(self) -> bool:
        """Whether the incarnation has answered with a listing."""
        return self._listing is not None

    @property
    def in_doubt_s(self) -> float:
        """Seconds for which unanswered calls may still keep the lease alive."""
        return self._lease_tracker.in_doubt_s

    # Orders

    def apply_orders(
        self,
        orders: UpstreamOrders,
        echoed_clock_s: float,
        sent_ms: int,
        echo_age_s: float = 0.0,
    ) -> None:
        """Replace earlier orders, then start missing runs and stop surplus ones.

        The other parameters are fields of the message with the orders.
        """
        is_first = self._orders is None
        if orders.must_lapse and not self._must_lapse:
            decision("lapse_awaited", upstream=str(self.key))
        self._orders = orders
        self._order_ages.update(orders.runs, echoed_clock_s, sent_ms, echo_age_s)
        self._ordered_runs = {(run.task, run.run): run for run in orders.runs}
        if is_first:
            # An earlier agent process may already have tried to start these runs.
            self.start_calls.record_earlier(
                self._ordered_runs.keys() | set(orders.stopping), self._grant.began_s
            )
        self.start_calls.in_doubt &= self._ordered_runs.keys() | set(orders.stopping)
        for key in [one for one in self._refused if one not in self._ordered_runs]:
            del self._refused[key]
        self._started &= self._ordered_runs.keys()
        self._outdated &= self._ordered_runs.keys()
        for key, order in self._ordered_runs.items():
            if key not in self._started and key not in self._refused:
                self._call(key, "start", self._start, order)
        for key in self.stop_calls.retain(orders.stopping):
            self._call(key, "stop", self._stop)
        self._stop_unordered_runs()

    def _stop_unordered_runs(self) -> None:
        """Stop listed runs that no order names."""
        if self._orders is None or self._listing is None:
            return
        known = self._ordered_runs.keys() | self.stop_calls.inherited
        known.update(self._orders.stopping)
        for row in self._listing.running:
            key = run_key(row)
            if key not in known and key not in self._calls:
                self._stop_listed(key, "not ordered")

    def _stop_listed(self, key: RunKey, why: str) -> None:
        """Stop a listed run, unless an earlier stop is about to end it."""
        if not self.stop_calls.is_ending(key, self._listing_sent_s):
            decision("run_stopped", task=key[0], run=key[1], why=why)
            self._call(key, "stop", self._stop)

    @property
    def stop_lead_s(self) -> float:
        """How long before the end of the grant the runs are stopped, in seconds.

        Where no call is in doubt, they are only stopped once their leases, by a slow
        clock, must have expired.
        """
        left_s = max(self._grant.runs_left_s, 0.0)
        is_in_doubt = self.in_doubt_s > left_s
        return STOP_LEAD_S if is_in_doubt else -GRANT_TTL_S * MAX_CLOCK_DRIFT

    def stop_with_grant(self) -> None:
        """Stop all runs when the grant ends.

        Leases expire with it, unless an unanswered call extends them late.
        """
        listing = self._listing
        if listing is None or self._grant.runs_left_s > self.stop_lead_s:
            return
        for key in sorted(run_key(row) for row in listing.running):
            if self._calls.get(key, ("",))[0] != "stop":
                self._stop_listed(key, "the grant ends")
        in_doubt = self.start_calls.in_doubt | self.start_calls.unlisted
        in_doubt &= self._ordered_runs.keys()
        for key in sorted(in_doubt - listing.runs - self._refused.keys()):
            self._call(key, "stop", self._withdraw)

    async def _withdraw(self, key: RunKey) -> None:
        """Report an ordered run as refused once it can no longer start."""
        self.start_calls.in_doubt.add(key)
        await self._refuse_when_settled(key, GRANT_ENDED)

    def _call(
        self,
        key: RunKey,
        kind: str,
        work: Callable[..., Coroutine[Any, Any, None]],
        *args: Any,
    ) -> None:
        """Begin start or stop calls for a run, replacing calls of the other kind."""
        current = self._calls.get(key)
        if current is not None:
            if current[0] == kind:
                return
            current[1].cancel()
        task = self._tasks.supervise(f"{kind}_calls", partial(work, key, *args))
        self._calls[key] = (kind, task)
        task.add_done_callback(lambda done: self._call_ended(key, done))

    def _call_ended(self, key: RunKey, task: asyncio.Task[None]) -> None:
        if key in self._calls and self._calls[key][1] is task:
            del self._calls[key]

    async def _start(self, key: RunKey, order: RunOrder) -> None:
        """Retry starting a run until it is accepted, refused or no longer ordered.

        A start that was decided too long ago is not called for any more, as its reasons
        may be gone.
        """
        while key in self._ordered_runs and not self.gone:
            reason = self._refusal_reason(key)
            if reason:
                await self._refuse_when_settled(key, reason)
                return
            if self._order_ages.age_s(key) > self._grant.order_validity_s:
                await self._settle_expired(key)
                return
            if self._start_blocker():
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._record_lapse()
            sent_s, lease_s = boottime_s(), self._lease_length_s
            self.start_calls.begin(key)
            self._order_ages.hold(key)
            try:
                answer = await self._port.start(
                    order,
                    term=self._grant.term,
                    lease_until_ms=self._lease_expiry_ms(),
                    timeout_s=CALL_TIMEOUT_S,
                )
            except UpstreamUnreachedError:
                self.start_calls.record_not_started(key)
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except (UpstreamSilentError, asyncio.CancelledError) as exc:
                why = str(exc) or "cancelled"
                decision("start_in_doubt", task=key[0], run=key[1], why=why)
                self.start_calls.record_unanswered(
                    key, broken_off=isinstance(exc, UpstreamBrokenOffError)
                )
                self._record_unanswered_call(sent_s, lease_s)
                if isinstance(exc, asyncio.CancelledError):
                    raise
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except UpstreamGoneError:
                self.start_calls.record_not_started(key)
                self._end_incarnation("another incarnation answered a start")
                return
            except Exception:
                self.start_calls.record_unanswered(key, broken_off=False)
                self._record_unanswered_call(sent_s, lease_s)
                raise
            self._lease_tracker.record_answered_call(lease_s)
            if answer.accepted:
                self.start_calls.record_accepted(key)
                self._started.add(key)
                decision("run_started", task=key[0], run=key[1], term=self.term)
                return
            self.start_calls.record_not_started(key)
            if answer.reason == "late":
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            await self._refuse_when_settled(key, answer.reason)
            return

    async def _settle_expired(self, key: RunKey) -> None:
        """Settle a run whose order has expired: it goes on if a call has started it."""
        evidence = {
            "age_s": round(self._order_ages.age_s(key), 3),
            "echo_age_s": round(self._grant.echo_age_s, 3),
            "blocker": self._start_blocker(),
        }
        if key in self.start_calls.in_doubt:
            await self._wait_for_listing(boottime_s())
            if self._listing is not None and self._listing.lists_running(*key):
                self._started.add(key)
                decision(
                    "run_started", task=key[0], run=key[1], term=self.term, why="listed"
                )
                return
        is_late = not self._order_ages.is_held(key)
        reason = ORDER_EXPIRED if is_late else START_NOT_TAKEN
        await self._refuse_when_settled(key, reason, evidence)

    async def _wait_for_listing(
        self, after_s: float, *, without: RunKey | None = None
    ) -> None:
        """Wait for a listing that was requested after a time.

        Parameters
        ----------
        without : tuple, optional
            Run that it must not name as running any more.
        """
        self._listing_waits += 1
        try:
            while self._listing_sent_s <= after_s or (
                without is not None
                and self._listing is not None
                and self._listing.lists_running(*without)
            ):
                await asyncio.sleep(RETRY_DELAY_S)
        finally:
            self._listing_waits -= 1

    async def _refuse_when_settled(
        self, key: RunKey, reason: str, evidence: Mapping[str, object] | None = None
    ) -> None:
        """Report a run as refused once it is certain that it never ran and never will.

        A refusal concerns a single call. An earlier unanswered call may have started
        the run, or may still start it, until the run has been stopped. `evidence` is
        what the log tells beside the reason.
        """
        if key in self.start_calls.in_doubt or reason == RUN_ALREADY_ENDED:
            await self._stop(key)
            await self._wait_for_listing(boottime_s(), without=key)
            if self._listing is not None and self._listing.lists_ended(*key):
                return
        decision(
            "start_refused", task=key[0], run=key[1], why=reason, **(evidence or {})
        )
        self._refused[key] = reason
        self._on_change()

    @property
    def term(self) -> int:
        """Term of the planner, which is sent with each call."""
        return self._grant.term

    def _refusal_reason(self, key: RunKey) -> str:
        """Return why a run must not be started at all, or ''.

        A run that an unanswered call has started goes on when the capacity shrinks.
        """
        if self.check_in.draining:
            return "draining"
        listing = self._listing
        is_running = listing is not None and listing.lists_running(*key)
        return "capacity shrank" if key in self._outdated and not is_running else ""

    def _start_blocker(self) -> str:
        """Return why no run may be started now, or ''."""
        if self._must_lapse:
            return "the lease has to lapse"
        if not self._grant.may_start:
            return "no recent grant from the planner"
        if self._listing is None or self._lease_length_s < MIN_LEASE_S:
            return "no lease"
        return ""

    async def _stop(self, key: RunKey) -> None:
        """Retry stopping a run until the upstream has confirmed it."""
        while not self.gone:
            try:
                done = await self._port.stop(
                    *key, term=self._fence_search.term, timeout_s=CALL_TIMEOUT_S
                )
            except UpstreamSilentError as exc:
                decision("stop_in_doubt", task=key[0], run=key[1], why=str(exc))
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            except UpstreamGoneError:
                self._end_incarnation("another incarnation answered a stop")
                return
            if done:
                self.stop_calls.record_confirmed(key)
                return
            await asyncio.sleep(RETRY_DELAY_S)

    # The lease

    async def _renew_loop(self) -> None:
        """Renew the lease and read the listing until the incarnation has ended."""
        while not self.gone:
            self._record_lapse()
            sent_s, lease_s = boottime_s(), self._lease_length_s
            term = self._fence_search.term
            try:
                listing = await self._renew_lease(term)
            except UpstreamGoneError:
                self._end_incarnation("another incarnation answered")
                return
            except UpstreamFencedError:
                self._departure.record_call(refused=False)
                may_probe = self._fence_search.record_refused(term)
                await asyncio.sleep(PROBE_INTERVAL_S if may_probe else RETRY_DELAY_S)
                continue
            except UpstreamSilentError as exc:
                self._departure.record_call(
                    refused=isinstance(exc, UpstreamNotListeningError)
                )
                if self._departure.has_ended(self.check_in):
                    self.has_process_ended = True
                    self._end_incarnation("it no longer listens")
                    return
                if not isinstance(exc, UpstreamUnreachedError):
                    self._lease_tracker.record_extension(
                        sent_s + RENEW_TIMEOUT_S, lease_s
                    )
                    self._record_unanswered_call(sent_s, lease_s)
                if self._lease_tracker.has_expired:
                    self._end_incarnation(
                        "no answer until its lease had expired", crashed=False
                    )
                    return
                await asyncio.sleep(RETRY_DELAY_S)
                continue
            self._departure.record_call(refused=False)
            self._lease_tracker.record_extension(sent_s + RENEW_TIMEOUT_S, lease_s)
            self._lease_tracker.record_answered_call(lease_s)
            self._apply_listing(listing, sent_s)
            await asyncio.sleep(
                RETRY_DELAY_S if self._listing_waits else MIN_RENEW_INTERVAL_S
            )

    async def _renew_lease(self, term: int) -> RunListing:
        """Renew once; the first call only reads the listing and the clock.

        The answer waits for a change unless a run is settled by the listing.
        """
        is_first = self._listing is None
        stored_upto = self._orders.stored_upto if self._orders is not None else 0
        expiry_ms = None
        if not is_first and self._lease_length_s > MIN_LEASE_S:
            expiry_ms = self._lease_expiry_ms()
        listing = await self._port.renew_lease(
            term=term,
            stored_upto=stored_upto,
            lease_until_ms=expiry_ms,
            wait_s=0.0 if is_first or self._listing_waits else RENEW_WAIT_S,
            timeout_s=RENEW_TIMEOUT_S,
        )
        return listing.with_unstored_ends(self._listing, stored_upto)

    @property
    def _must_lapse(self) -> bool:
        return self._orders is not None and self._orders.must_lapse

    def _record_lapse(self) -> None:
        """Record up to which end the lease has lapsed; before a call that extends it.

        What is listed then has ended before: nothing runs without a lease.
        """
        listing = self._listing
        if listing is None or not self._lease_tracker.has_lapsed:
            return
        upto = max((row.number for row in listing.ended), default=0)
        if upto > self._lapsed_upto:
            self._lapsed_upto = upto
            decision("lease_lapsed", upstream=str(self.key), ends_upto=upto)
            self._on_change()

    @property
    def _lease_length_s(self) -> float:
        if self._must_lapse and self._listing is not None and not self._listing.running:
            return 0.0
        return self._lease_tracker.length_s(draining=self.check_in.draining)

    def _lease_expiry_ms(self) -> int:
        return self._lease_tracker.expiry_ms(self._lease_length_s)

    def _record_unanswered_call(self, sent_s: float, lease_s: float) -> None:
        """Record that an unanswered call may still be executed."""
        if self._lease_tracker.record_unanswered_call(sent_s, lease_s):
            self._on_change()

    def _apply_listing(self, listing: RunListing, sent_s: float) -> None:
        """Apply a listing that was requested at `sent_s`."""
        if listing.started_ms and listing.started_ms != self.key.started_ms:
            self._end_incarnation("its listing names another incarnation")
            return
        previous = self._listing
        self._lease_tracker.sync_clock(listing.clock_ms)
        self._listing = listing
        self._listing_sent_s = sent_s
        newly_stalled = self.progress.update(listing)
        newly_closed = self.stop_calls.apply_listing(listing, sent_s)
        running = {run_key(row) for row in listing.running}
        ended = (listing.runs - running) | newly_closed
        self.start_calls.record_listed(running, ended, sent_s)
        self._stop_unordered_runs()
        rows_changed = previous is None or (
            previous.ended != listing.ended
            or {run_key(row) for row in previous.running} != running
        )
        if newly_closed or rows_changed or newly_stalled:
            self._on_change()

    def _end_incarnation(self, why: str, *, crashed: bool = True) -> None:
        """Mark the incarnation as ended; the agent then closes this session."""
        decision("upstream_gone", upstream=str(self.key), why=why)
        self.record_end(crashed=crashed)
        self._on_change()


__all__ = ["UpstreamSession"]
