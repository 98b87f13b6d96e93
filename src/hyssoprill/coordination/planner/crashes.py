"""Attributes crashes of upstreams to tasks, and decides which tasks to give up.

A task may crash each upstream that starts it. Load pattern: an upstream runs tasks of
many jobs when it crashes, and upstreams also crash for other reasons. Runs that the
upstream has listed some time after their start survived it, so only the others are
suspects. A suspect starts again where no other job's task is starting. If that upstream
crashes as well, only the suspect can have caused it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from msgspec.structs import replace

from ...protocol.job import parse_job_id
from ...protocol.upstream_key import parse_upstream_key

if TYPE_CHECKING:
    from ...protocol.upstream_messages import UpstreamReport
    from ...state.job_table import OpenRun, TaskState

MAX_CRASHED_VMS = 2
"""A task is given up when upstreams of this many VMs have crashed under it, at least
one of them under it alone. RULES, "BUDGET", allow it from two crashes on."""
MAX_LONE_CRASHES = 3
"""The same on fewer VMs, as one that is defective crashes whatever it starts."""


@dataclass(frozen=True, slots=True)
class UpstreamCrash:
    """The crash of an upstream under a run that was starting there.

    Attributes
    ----------
    is_lone_suspect : bool
        Whether the run was starting there for certain, and no run of another job.
    """

    vm: str
    is_lone_suspect: bool


def find_crashes(
    report: UpstreamReport | None, open_runs: dict[str, OpenRun]
) -> dict[str, UpstreamCrash]:
    """Return the crash of an upstream for each task that is a suspect.

    Parameters
    ----------
    report : UpstreamReport or None
        Last report of an incarnation that has ended.
    open_runs : dict
        Its open runs, by task.
    """
    if report is None or not report.crashed:
        return {}
    vm = parse_upstream_key(report.key).vm
    jobs = {parse_job_id(task) for task, _run, _has_arrived in report.unlisted}
    return {
        task: UpstreamCrash(vm, has_arrived and len(jobs) == 1)
        for task, run, has_arrived in report.unlisted
        if task in open_runs and open_runs[task].run == run
    }


def record_crash(task: TaskState, crash: UpstreamCrash) -> TaskState:
    """Return a task's state with a crash under its newest run counted, once."""
    if task.last_crashed_run == task.run:
        return task
    return replace(
        task,
        crashed_vms=(*task.crashed_vms, crash.vm),
        lone_crashes=task.lone_crashes + crash.is_lone_suspect,
        last_crashed_run=task.run,
    )


def crashes_upstreams(task: TaskState) -> bool:
    """Return whether a task is to be given up, as it crashes what starts it."""
    required = MAX_LONE_CRASHES
    if len(set(task.crashed_vms)) >= MAX_CRASHED_VMS:
        required = 1
    return task.lone_crashes >= required


__all__ = ["UpstreamCrash", "crashes_upstreams", "find_crashes", "record_crash"]
