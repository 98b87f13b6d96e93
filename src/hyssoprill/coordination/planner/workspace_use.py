"""Keeps what each workspace uses of the pool and has used lately."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from ...clock import boottime_s
from ...protocol.job import ZERO_AMOUNTS, ResourceAmounts
from ..policy.dispatch.fair_shares import HALF_LIFE_S, entitlements, share_bucket
from ..policy.fairness import DominantShares, dominant_share
from .runs import elapsed_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...state.job_table import JobState, JobTable, StepState
    from ...state.operator_config import OperatorConfig
    from .fleet import Fleet


class WorkspaceUse:
    """Dominant shares of the workspaces with active jobs.

    Nothing is stored: what is used is read from open runs, and a new planner takes them
    for as long as they have run as what was used lately.
    """

    def __init__(self, job_table: JobTable, fleet: Fleet) -> None:
        self._job_table = job_table
        self._fleet = fleet
        self._shares: DominantShares | None = None

    def clear(self) -> None:
        """Forget past use, while the pool is not known or nobody asks for it."""
        self._shares = None

    def find_buckets(self, config: OperatorConfig) -> dict[str, int]:
        """Return in which bucket of `share_bucket` each active workspace is."""
        capacity = _total(one.capacity for one in self._fleet.reports())
        jobs = [one for one in self._job_table.active.values() if not one.is_finished]
        use = {
            workspace: dominant_share(amounts, capacity)
            for workspace, amounts in _use_by_workspace(
                self._job_table.active.values()
            ).items()
        }
        if self._shares is None:
            self._shares = DominantShares(HALF_LIFE_S)
            self._shares.start(boottime_s(), self._past_use(capacity))
        self._shares.advance(boottime_s())
        self._shares.replace_usage(use)
        guaranteed = {
            one.name: one.guaranteed_accelerators for one in config.workspaces
        }
        parts = entitlements(guaranteed, {one.job.workspace for one in jobs})
        # The weighted share is the sum of the use now and of its decayed mean.
        return {
            workspace: share_bucket(self._shares.weighted_share(workspace) / 2, part)
            for workspace, part in parts.items()
        }

    def _past_use(self, capacity: ResourceAmounts) -> dict[str, float]:
        """Return the decayed mean of past use, of what still runs."""
        past: dict[str, float] = defaultdict(float)
        for job_state in self._job_table.active.values():
            for need, state in _open_steps(job_state):
                for index in state.open_indices:
                    age_s = elapsed_s(state.tasks[index])
                    part = 1.0 - 0.5 ** (age_s / HALF_LIFE_S)
                    past[job_state.job.workspace] += part * dominant_share(
                        need, capacity
                    )
        return past


def _use_by_workspace(jobs: Iterable[JobState]) -> dict[str, ResourceAmounts]:
    use: dict[str, ResourceAmounts] = {}
    for job_state in jobs:
        workspace = job_state.job.workspace
        for need, state in _open_steps(job_state):
            known = use.get(workspace, ZERO_AMOUNTS)
            use[workspace] = known.plus(need, len(state.open_indices))
    return use


def _open_steps(job_state: JobState) -> Iterable[tuple[ResourceAmounts, StepState]]:
    for (_occurrence, number), state in job_state.steps.items():
        if state.open_indices:
            yield job_state.job.steps[number].need, state


def _total(amounts: Iterable[ResourceAmounts]) -> ResourceAmounts:
    return ResourceAmounts(*map(sum, zip(*amounts, strict=True)))


__all__ = ["WorkspaceUse"]
