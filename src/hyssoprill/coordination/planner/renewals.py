"""Confirms ordered starts while the planner would still decide on them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...clock import boottime_s

if TYPE_CHECKING:
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import JobTable, OpenRun, TaskState
    from .fleet import Fleet, VmState
    from .runs import RunKey, StopRequests
    from .upstream_runs import UpstreamRunsCache

RENEWAL_SHARE = 0.5
"""A start is confirmed after this share of its validity, and the starts of a VM at most
once in that time."""
CHECK_SHARE = 0.1
"""Pause between looks for such starts, as a share of their validity."""


class StartRenewals:
    """Renews the decisions on starts that their upstreams have not listed yet.

    A busy planner's order may reach its agent, or the grant that the start needs, only
    after the decision has expired. A decision that still holds is made anew instead, by
    the config in force at that time.
    """

    def __init__(
        self,
        job_table: JobTable,
        fleet: Fleet,
        stopping: StopRequests,
        upstream_runs: UpstreamRunsCache,
    ) -> None:
        self._job_table = job_table
        self._fleet = fleet
        self._stopping = stopping
        self._upstream_runs = upstream_runs
        self._decided_ms: dict[RunKey, int] = {}
        self._renewed_s: dict[str, float] = {}
        self._checked_s = float("-inf")

    def clear(self) -> None:
        """Drop all renewals, at the start of a term."""
        self._decided_ms.clear()
        self._renewed_s.clear()
        self._checked_s = float("-inf")

    def decided_ms(self, key: RunKey, planned_ms: int) -> int:
        """Return when the newest decision on a run was made.

        `planned_ms` is when the run was planned, in milliseconds since 1970.
        """
        return self._decided_ms.get(key, planned_ms)

    def renewed_s(self, name: str) -> float:
        """Return when decisions on starts of a VM were last renewed, 0 for never."""
        return self._renewed_s.get(name, 0.0)

    def renew(self, validity_s: float, zones_out: frozenset[str], now_ms: int) -> None:
        """Renew the decisions that are about to expire.

        Parameters
        ----------
        validity_s : float
            Starts may be called for this long after they were decided.
        zones_out : frozenset of str
            Availability zones that are out by the config in force.
        now_ms : int
            Time before that config was read, in milliseconds since 1970.
        """
        now_s = boottime_s()
        if now_s - self._checked_s < validity_s * CHECK_SHARE:
            return
        self._checked_s = now_s
        self._drop_closed()
        interval_s = validity_s * RENEWAL_SHARE
        for name, vm in self._fleet.vms.items():
            renewed_s = self._renewed_s.get(name, float("-inf"))
            is_due = now_s - renewed_s >= interval_s
            if is_due and vm.is_responsive(now_s):
                self._renew_on(name, vm, interval_s, zones_out, now_ms)

    def _renew_on(
        self,
        name: str,
        vm: VmState,
        interval_s: float,
        zones_out: frozenset[str],
        now_ms: int,
    ) -> None:
        """Renew all decisions on starts of a VM if one of them is due."""
        due_ms = now_ms - interval_s * 1000
        pending = [
            run
            for report in vm.upstreams.values()
            for run in self._pending(report, zones_out)
        ]
        if all(self._newest_ms(run) > due_ms for run in pending):
            return
        pending = [run for run in pending if self._can_gang_start(run, zones_out)]
        if all(self._newest_ms(run) > due_ms for run in pending):
            return
        self._renewed_s[name] = boottime_s()
        for run in pending:
            self._decided_ms[_run_key(run)] = max(now_ms, self._newest_ms(run))

    def _pending(
        self, report: UpstreamReport, zones_out: frozenset[str]
    ) -> list[OpenRun]:
        """Return the runs of an upstream that are yet to start and still may."""
        if not _takes_starts(report, zones_out):
            return []
        return [
            run
            for run in self._upstream_runs.find(report).unlisted
            if _run_key(run) not in self._stopping
        ]

    def _can_gang_start(self, run: OpenRun, zones_out: frozenset[str]) -> bool:
        """Return whether no other member of a run's gang is kept from its start."""
        job_state = self._job_table.jobs[run.step.job_id]
        if not job_state.job.steps[run.step.step].gang:
            return True
        tasks = job_state.step_state(run.step.occurrence, run.step.step).tasks
        return all(
            self._can_start((run.step.task_name(index), task.run), task, zones_out)
            for index, task in enumerate(tasks)
        )

    def _can_start(
        self, key: RunKey, task: TaskState, zones_out: frozenset[str]
    ) -> bool:
        name = task.upstream.partition("|")[0]
        vm = self._fleet.vms.get(name)
        report = vm.upstreams.get(task.upstream) if vm is not None else None
        if vm is None or report is None:
            return False
        if self._fleet.lists_running(task.upstream, *key):
            return True
        return vm.is_responsive(boottime_s()) and _takes_starts(report, zones_out)

    def _newest_ms(self, run: OpenRun) -> int:
        """Return when the newest decision on an open run was made."""
        job_state = self._job_table.jobs[run.step.job_id]
        state = job_state.step_state(run.step.occurrence, run.step.step)
        return self.decided_ms(_run_key(run), state.tasks[run.index].started_ms)

    def _drop_closed(self) -> None:
        """Drop the renewals of runs that are no longer open."""
        if self._decided_ms:
            still_open = {
                (task, run.run)
                for runs in self._job_table.open_runs.values()
                for task, run in runs.items()
            }
            for key in self._decided_ms.keys() - still_open:
                del self._decided_ms[key]


def _run_key(run: OpenRun) -> RunKey:
    return run.step.task_name(run.index), run.run


def _takes_starts(report: UpstreamReport, zones_out: frozenset[str]) -> bool:
    return report.accepting and report.zone not in zones_out


__all__ = ["StartRenewals"]
