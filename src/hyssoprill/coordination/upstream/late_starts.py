"""Remembers runs that a later incarnation of an upstream may execute.

An upstream may restart under its id and address, and calls name it by these. A start
that was sent to one incarnation may so be executed by a later one, which knows nothing
of the runs and stops of the earlier.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...logs import decision
from .planner_grant import MAX_CALL_DELAY_S, MAX_CLOCK_DRIFT

if TYPE_CHECKING:
    from collections.abc import Mapping

    from ...protocol.upstream_key import UpstreamKey
    from .progress import RunKey
    from .session import UpstreamSession

MAX_LOGGED_RUNS = 8
"""Number of runs that a log line names."""


@dataclass(slots=True)
class _EndedIncarnation:
    """Runs of an ended incarnation whose calls a later one may execute.

    Attributes
    ----------
    calls_until_s : dict
        When no such call can be left, for each run.
    leases_until_s : float
        When no lease that such a call has extended can be left.
    """

    calls_until_s: dict[RunKey, float]
    unsettled: set[RunKey]
    leases_until_s: float

    def settle_without_calls(self) -> set[RunKey]:
        """Settle the runs for which no call can be left; return them."""
        now_s = boottime_s()
        settled = {run for run in self.unsettled if now_s > self.calls_until_s[run]}
        self.unsettled -= settled
        return settled


class LateStarts:
    """Tells which runs of ended incarnations may run, or still start, on a later one.

    A run is settled once a later incarnation of the same id lists it as ended, or will
    never start it; once an incarnation of another id answers at the address, as it
    rejects calls to the earlier; or when the time for such calls is over. An upstream
    that restarts checks in with its agent before that, also one that had drained.
    """

    def __init__(self) -> None:
        self._ended: dict[UpstreamKey, _EndedIncarnation] = {}

    def __contains__(self, key: UpstreamKey) -> bool:
        return key in self._ended

    def record_end(
        self, key: UpstreamKey, sent_s: Mapping[RunKey, float], max_lease_s: float
    ) -> None:
        """Record the runs that calls to an ended incarnation may still start.

        Parameters
        ----------
        sent_s : Mapping
            When the newest such call was sent, at the latest, for each run.
        """
        lease_s = max_lease_s * (1 + MAX_CLOCK_DRIFT)
        self._ended[key] = _EndedIncarnation(
            {run: one + MAX_CALL_DELAY_S for run, one in sent_s.items()},
            set(sent_s),
            boottime_s() + MAX_CALL_DELAY_S + lease_s,
        )

    def unsettled(self, key: UpstreamKey) -> list[RunKey]:
        """Return the runs of an ended incarnation that are not settled."""
        ended = self._ended.get(key)
        return sorted(ended.unsettled) if ended is not None else []

    def inherited_by(self, key: UpstreamKey) -> frozenset[RunKey]:
        """Return the runs that calls to earlier incarnations may start on this one."""
        return frozenset(
            run
            for other, ended in self._ended.items()
            if key.restarts(other)
            for run in ended.calls_until_s
        )

    def lease_until_s(self, key: UpstreamKey) -> float:
        """Return until when calls to earlier incarnations may extend this one's lease.

        Its clock starts anew, so that the deadline of such a call is no limit.
        """
        return max(
            (
                ended.leases_until_s
                for other, ended in self._ended.items()
                if key.restarts(other)
            ),
            default=0.0,
        )

    def settle(self, sessions: Mapping[UpstreamKey, UpstreamSession]) -> bool:
        """Settle runs by what later incarnations list; return whether any was."""
        has_settled = False
        for key, ended in list(self._ended.items()):
            later = [one for other, one in sessions.items() if other.supersedes(key)]
            restarted = [one for one in later if one.key.restarts(key)]
            for session in later:
                settled = ended.unsettled & session.stop_calls.settled
                if session not in restarted and session.has_listed:
                    settled = set(ended.unsettled)
                self._log(key, settled, f"listing of {session.key}")
                ended.unsettled -= settled
                has_settled |= bool(settled)
            if not restarted:
                settled = ended.settle_without_calls()
                self._log(key, settled, "no call can be left")
                has_settled |= bool(settled)
            if boottime_s() > ended.leases_until_s and not ended.unsettled:
                del self._ended[key]
        return has_settled

    def _log(self, key: UpstreamKey, runs: set[RunKey], why: str) -> None:
        if runs:
            decision(
                "runs_settled",
                upstream=str(key),
                why=why,
                runs=sorted(runs)[:MAX_LOGGED_RUNS],
                run_count=len(runs),
            )


__all__ = ["MAX_LOGGED_RUNS", "LateStarts"]
