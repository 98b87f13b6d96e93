"""Tells which runs have begun, as callers are told how many jobs wait.

The record of a run is written before its start is ordered, and the start may be
refused or never be carried out. A run is assumed to have begun until it is known not to
have, so that the usual start takes no further record.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.step_state import ASSUMED, NOT_BEGUN, OPEN
from .runs import elapsed_s

if TYPE_CHECKING:
    from ...state.job_table import JobTable, OpenRun
    from .changes import StepChanges
    from .fleet import Fleet

LISTED_WITHIN_S = 2.0
"""A run that is not listed this long after its start was decided has not begun.

Counts of waiting jobs may be as old. From PROTOCOL, "Jobs"."""


def record_beginnings(changes: StepChanges, job_table: JobTable, fleet: Fleet) -> None:
    """Record open runs that are not listed in time, and those that are listed later.

    Runs that an earlier planner has started are left as it has recorded them, as their
    upstreams may not have reported to this one yet.
    """
    for upstream, runs in job_table.open_runs.items():
        for name, run in runs.items():
            task = changes.task(run.step, run.index)
            if task.phase != OPEN:
                continue
            is_listed = fleet.lists_running(upstream, name, run.run)
            is_late = LISTED_WITHIN_S < elapsed_s(task) < fleet.term_age_s
            if task.beginning == ASSUMED and is_late and not is_listed:
                changes.record_beginning(run.step, run.index, has_begun=False)
            elif task.beginning == NOT_BEGUN and is_listed:
                changes.record_beginning(run.step, run.index, has_begun=True)


def had_begun(run: OpenRun, name: str, job_table: JobTable, fleet: Fleet) -> bool:
    """Return whether an open run had begun whose end its upstream does not list."""
    job_state = job_table.jobs[run.step.job_id]
    task = job_state.step_state(run.step.occurrence, run.step.step).tasks[run.index]
    if fleet.lists_running(task.upstream, name, run.run):
        return True
    report = fleet.find(task.upstream)
    if report is not None and (name, run.run, True) in report.unlisted:
        # Its upstream has crashed after a call that is known to have arrived.
        return True
    return task.beginning != NOT_BEGUN and elapsed_s(task) > LISTED_WITHIN_S


__all__ = ["had_begun", "record_beginnings"]
