"""Hands the term over to a faster entry if this planner is behind, or new."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...logs import decision

if TYPE_CHECKING:
    from ...state.job_table import JobTable, Term
    from .answer_delays import AnswerDelays
    from .election import PlannerElection
    from .fitness import EntrySpeeds

MAX_ANSWER_DELAY_S = 0.25
"""A planner that answers later than this is behind.

About a tenth of `reclaim_ms`, the shortest promised time to act on a report."""
BEHIND_FOR_S = 1.5
"""A planner that has been behind for this long hands over.

Longer than two heartbeats, in which each agent measures anew after a pause."""
MIN_KEPT_S = 5.0
MAX_KEPT_S = 320.0
"""Bounds of the time for which an entry keeps a term that faster ones left to it.

It doubles with each such term, at all entries alike, as the faster ones may be gone."""
NEW_FOR_S = 1.0
"""A term may be handed over for this long after it began, also while it is not behind.

Longer than a process takes to measure its speed and to read those of the others. Agents
have no orders of it yet, so that the hand-over costs little."""
CLAIM_PAUSE_S = 1.0
"""A planner that has handed over leaves the claim to others for this long.

Shorter than after a failure, as the faster entry may be gone."""
CHECK_INTERVAL_S = 0.1


class HandOver:
    """Watches over the fitness of this entry's planner.

    Parameters
    ----------
    election : PlannerElection
        Tells whether this entry is the planner, and leaves the term.
    job_table : JobTable
        Tells who claimed the term, and whether anything runs.
    speeds : EntrySpeeds
        Tells whether another entry is clearly faster.
    delays : AnswerDelays
        Tells how late this planner answers.
    """

    def __init__(
        self,
        election: PlannerElection,
        job_table: JobTable,
        speeds: EntrySpeeds,
        delays: AnswerDelays,
    ) -> None:
        self._election = election
        self._job_table = job_table
        self._speeds = speeds
        self._delays = delays
        self._known_term: Term | None = None
        self._began_s = float("-inf")
        self._kept_s = MIN_KEPT_S
        self._not_before_s = float("-inf")
        self._behind_since_s = float("inf")

    async def run(self) -> None:
        """Check forever, and hand over when it is due."""
        while True:
            await self.check()
            await asyncio.sleep(CHECK_INTERVAL_S)

    async def check(self) -> None:
        """Hand the term over if there is a reason and a clearly faster entry."""
        self._follow_term()
        reason = self._reason()
        if not reason or boottime_s() < self._not_before_s:
            return
        self._behind_since_s = float("inf")
        peer, peer_speed = self._speeds.faster_peer or ("", 0.0)
        delays_s = self._delays.in_contact_s()
        decision(
            "term_handed_over",
            term=self._election.term,
            why=reason,
            delay_s=round(self._delays.median_s, 3),
            vms=len(delays_s),
            speed=round(self._speeds.own, 3),
            peer=peer,
            peer_speed=round(peer_speed, 3),
        )
        await self._election.give_up(
            f"handed over to a faster entry, {reason}", pause_s=CLAIM_PAUSE_S
        )

    def _follow_term(self) -> None:
        """Set for how long a new term is kept, if faster entries have left it."""
        before, self._known_term = self._known_term, self._job_table.term
        current = self._known_term
        if current is None or (before is not None and current.term == before.term):
            return
        self._began_s = boottime_s()
        self._not_before_s = float("-inf")
        if before is None or _is_restart(before, current):
            return
        if not self._speeds.is_slower(current.planner):
            self._kept_s = MIN_KEPT_S
            return
        self._not_before_s = self._began_s + self._kept_s
        self._kept_s = min(2 * self._kept_s, MAX_KEPT_S)

    def _reason(self) -> str:
        """Return why this entry should not plan, '' if it should or does not."""
        # Without grants, delays tell of the store and not of this entry.
        if not self._election.may_grant or self._speeds.faster_peer is None:
            self._behind_since_s = float("inf")
            return ""
        if not any(self._job_table.open_runs.values()):
            return "nothing runs"
        if boottime_s() - self._began_s < NEW_FOR_S:
            return "term is new"
        if self._delays.median_s <= MAX_ANSWER_DELAY_S:
            self._behind_since_s = float("inf")
            return ""
        self._behind_since_s = min(self._behind_since_s, boottime_s())
        is_behind = boottime_s() - self._behind_since_s >= BEHIND_FOR_S
        return "behind" if is_behind else ""


def _is_restart(before: Term, current: Term) -> bool:
    """Tell whether a planner follows its earlier process, as no other could yet."""
    is_same = (before.planner, before.resigned) == (current.planner, False)
    return is_same and before.incarnation != current.incarnation


__all__ = ["HandOver"]
