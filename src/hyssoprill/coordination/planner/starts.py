"""Records the starts of a plan in the job table's changes and in the log."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, Any

from .policy_inputs import rack_of

if TYPE_CHECKING:
    from ...state.job_table import StepKey
    from ..policy.dispatch.model import Plan
    from .changes import StepChanges
    from .fleet import Fleet
    from .run_log import RunLog


def record_starts(
    plan: Plan,
    changes: StepChanges,
    fleet: Fleet,
    run_log: RunLog,
    log_fields: dict[StepKey, dict[str, Any]],
) -> None:
    """Record the starts of a plan.

    Parameters
    ----------
    log_fields : dict
        Fields of the log line of each step that may start.
    """
    placements: dict[StepKey, dict[int, str]] = defaultdict(dict)
    for start in plan.starts:
        placements[start.step][start.index] = start.upstream
    for key, upstreams in placements.items():
        number = changes.start_runs(key, upstreams)
        for index, upstream in upstreams.items():
            report = fleet.find(upstream)
            rack = rack_of(report) if report is not None else ""
            run_log.add(
                "run_planned",
                key.task_name(index),
                {"run": number, **log_fields[key]},
                {"upstream": upstream, "rack": rack},
            )
    run_log.write()


__all__ = ["record_starts"]
