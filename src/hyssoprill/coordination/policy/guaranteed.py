"""Starts jobs within their workspace's guarantee, by reclaim where needed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...state.pool import ZERO_RESOURCES
from .decisions import PendingStart, Revoke
from .eviction import Eviction, EvictionPlanner
from .placement import find_place

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from ...protocol.shape import Resources
    from ...state.pool import Placement, Upstream
    from .cells import Cell
    from .cluster_state import ClusterState
    from .decisions import WaitingJob
    from .placement import Available

STOP_MARGIN_S = 1.0
GUARANTEE_RECLAIMED = "guarantee_reclaimed"


def start_guaranteed(state: ClusterState, now_s: float) -> None:
    """Start or reclaim for each job that is owed a cell of its workspace at once.

    These are jobs as large as a cell, urgent ones, and ones that may not be
    repeated; others try what is free first.
    """
    _start_in_cells(state, now_s, _has_immediate_claim)


def start_remaining(state: ClusterState, now_s: float) -> None:
    """Start or reclaim for the smaller jobs that found no free room."""
    _start_in_cells(state, now_s, lambda _job, _cells: True)
    state.dirty_workspaces.clear()


def _start_in_cells(
    state: ClusterState,
    now_s: float,
    is_eligible: Callable[[WaitingJob, Sequence[Cell]], bool],
) -> None:
    for workspace in sorted(state.dirty_workspaces):
        cells = state.cells.of_workspace(workspace)
        if not cells:
            continue
        failed = set()
        jobs = state.queues[workspace].values()
        for job in sorted(jobs, key=_queue_key):
            if job.spec.id in state.pending or job.spec.shape in failed:
                continue
            if not is_eligible(job, cells):
                continue
            if not _start_or_reclaim(state, job, cells, now_s):
                failed.add(job.spec.shape)


def _has_immediate_claim(job: WaitingJob, cells: Sequence[Cell]) -> bool:
    spec = job.spec
    is_exact = any(cell.shape == spec.shape for cell in cells)
    return is_exact or spec.urgent or not spec.idempotent


def _start_or_reclaim(
    state: ClusterState, job: WaitingJob, cells: Sequence[Cell], now_s: float
) -> bool:
    """Try all cells of a workspace, then those that its small jobs occupy."""
    if any(_start_in_cell(state, job, cell, now_s) for cell in cells):
        return True
    return any(_preempt_own_jobs(state, job, cell, now_s) for cell in cells)


def _preempt_own_jobs(
    state: ClusterState, job: WaitingJob, cell: Cell, now_s: float
) -> bool:
    """Stop a workspace's own smaller jobs for one as large as their cell."""
    if cell.place is None or cell.shape != job.spec.shape:
        return False
    if not _is_open(state, cell.place) or not _holds_small_jobs(state, cell):
        return False
    grace_s = stop_grace_s(state, job, GUARANTEE_RECLAIMED)
    planner = EvictionPlanner(
        state,
        now_s,
        grace_s,
        may_stop=lambda one: one.is_revocable or one.cell == cell.id,
    )
    eviction = planner.plan(cell.place, cell.shape.need)
    if eviction is None or not eviction.victims:
        return False
    evict_for(state, job, eviction, cell.id, GUARANTEE_RECLAIMED, now_s)
    return True


def _holds_small_jobs(state: ClusterState, cell: Cell) -> bool:
    """Tell whether only smaller jobs that may be stopped occupy a cell."""
    for job_id in cell.jobs:
        running = state.running.get(job_id)
        if running is None or not running.spec.idempotent:
            return False
        if running.spec.shape == cell.shape:
            return False
    return True


def start_pending(state: ClusterState, now_s: float) -> None:
    """Start the jobs whose places have been vacated; give up late ones."""
    for job_id, pending in list(state.pending.items()):
        if not _is_open(state, pending.place):
            cancel_pending(state, job_id)
        elif _is_vacated(state, pending):
            cancel_pending(state, job_id)
            state.start(pending.job, pending.place, pending.cell, now_s)
        elif now_s > pending.deadline_s:
            cancel_pending(state, job_id)
            pending.job.avoided = frozenset(name for name, _ in pending.place)


def cancel_pending(state: ClusterState, job_id: str) -> None:
    """Take back what was blocked for a pending start."""
    pending = state.pending.pop(job_id)
    need = pending.job.spec.shape.need
    state.pool.reserve(pending.place, need, -1)
    if _holds_own_claim(pending):
        state.pool.claim(pending.place, need, -1)
    state.release_cell(pending.cell, job_id, pending.job.spec.workspace)


def _holds_own_claim(pending: PendingStart) -> bool:
    """Tell whether a start beyond guarantees will not be revocable."""
    return not pending.cell and not pending.job.spec.idempotent


def evict_for(
    state: ClusterState,
    job: WaitingJob,
    eviction: Eviction,
    cell: str,
    reason: str,
    now_s: float,
) -> None:
    """Block a place for a job and stop the jobs that occupy it."""
    need = job.spec.shape.need
    grace_s = stop_grace_s(state, job, reason)
    state.pool.reserve(eviction.place, need)
    deadline_s = now_s + grace_s + STOP_MARGIN_S
    pending = PendingStart(job, eviction.place, cell, deadline_s, set(eviction.victims))
    state.pending[job.spec.id] = pending
    if _holds_own_claim(pending):
        state.pool.claim(pending.place, need)
    if cell:
        state.cells.bind(state.cells.cells[cell], job.spec.id, eviction.place, need)
    job.code = "reclaiming"
    job.reason = f"{len(eviction.victims)} jobs are being stopped to make room"
    for victim in sorted(eviction.victims):
        running = state.running[victim]
        if not running.stopping:
            running.stopping = True
            state.decisions.append(Revoke(victim, grace_s, reason))


def _queue_key(job: WaitingJob) -> tuple[bool, int, float]:
    return not job.spec.urgent, -job.spec.priority, job.submitted_s


def _start_in_cell(
    state: ClusterState, job: WaitingJob, cell: Cell, now_s: float
) -> bool:
    """Start a job in a cell, or begin to reclaim the cell for it."""
    if cell.place is None:
        return False
    if cell.is_bound:
        place = _place_within(state, job, cell.remaining())
        return place is not None and _start_or_evict(state, job, cell, place, now_s)
    return _start_in_unbound_cell(state, job, cell, now_s)


def _start_in_unbound_cell(
    state: ClusterState, job: WaitingJob, cell: Cell, now_s: float
) -> bool:
    """Use a cell that no job occupies, at the place that loses least work."""
    own = dict(cell.place or ())
    cell_need = cell.shape.need

    def claimable(upstream: Upstream) -> Resources:
        members = own.get(upstream.name, 0)
        return upstream.unclaimed.plus(cell_need, members)

    def vacant(upstream: Upstream) -> Resources:
        return claimable(upstream).minimum(upstream.free)

    excluded = job.excluded
    if _place_within(state, job, cell.remaining()) is None:
        return False
    ready = find_place(state.pool, cell.shape, vacant, excluded=excluded)
    if ready is not None:
        state.cells.move(cell, ready)
        place = _place_within(state, job, cell.remaining())
        return place is not None and _start_or_evict(state, job, cell, place, now_s)
    return _reclaim_place(state, job, cell, claimable, now_s)


def _reclaim_place(
    state: ClusterState,
    job: WaitingJob,
    cell: Cell,
    claimable: Available,
    now_s: float,
) -> bool:
    """Reclaim away from places that were not vacated in time, if possible."""
    return _reclaim_avoiding(
        state, job, cell, claimable, now_s, job.excluded | job.avoided
    ) or _reclaim_avoiding(state, job, cell, claimable, now_s, job.excluded)


def _reclaim_avoiding(
    state: ClusterState,
    job: WaitingJob,
    cell: Cell,
    claimable: Available,
    now_s: float,
    avoided: frozenset[str],
) -> bool:
    """Choose the cheapest place for a cell, also by exchange with a like one."""
    planner = EvictionPlanner(
        state, now_s, stop_grace_s(state, job, GUARANTEE_RECLAIMED)
    )
    best = planner.cheapest(cell.shape, claimable, excluded=avoided)
    partner = None
    for other in state.cells.cells.values():
        if not _can_swap(state, cell, other, avoided):
            continue
        eviction = planner.plan(other.place, cell.shape.need)
        if eviction is not None and (best is None or eviction.cost < best.cost):
            best, partner = eviction, other
    if best is None:
        return False
    if partner is not None:
        old = cell.place
        state.cells.move(cell, None)
        state.cells.move(partner, old)
    state.cells.move(cell, best.place)
    place = _place_within(state, job, cell.remaining())
    return place is not None and _start_or_evict(state, job, cell, place, now_s)


def _can_swap(
    state: ClusterState, cell: Cell, other: Cell, avoided: frozenset[str]
) -> bool:
    """Tell whether two cells can exchange their places."""
    if other is cell or other.is_bound or other.place is None:
        return False
    if other.shape != cell.shape:
        return False
    names = {name for name, _ in other.place}
    if names & avoided:
        return False
    return _is_open(state, other.place)


def _start_or_evict(
    state: ClusterState, job: WaitingJob, cell: Cell, place: Placement, now_s: float
) -> bool:
    """Start a job at a place within a bound or chosen cell, vacating it first."""
    grace_s = stop_grace_s(state, job, GUARANTEE_RECLAIMED)
    planner = EvictionPlanner(state, now_s, grace_s)
    eviction = planner.plan(place, job.spec.shape.need)
    if eviction is None:
        return False
    if not eviction.victims:
        state.start(job, place, cell.id, now_s)
        return True
    evict_for(state, job, eviction, cell.id, GUARANTEE_RECLAIMED, now_s)
    return True


def _place_within(
    state: ClusterState, job: WaitingJob, room: dict[str, Resources]
) -> Placement | None:
    """Return a place for a job inside what is left of a cell."""
    return find_place(
        state.pool,
        job.spec.shape,
        lambda upstream: room.get(upstream.name, ZERO_RESOURCES),
        excluded=job.excluded,
        within=room,
    )


def _is_open(state: ClusterState, place: Placement) -> bool:
    upstreams = state.pool.upstreams
    return all(name in upstreams and upstreams[name].schedulable for name, _ in place)


def _is_vacated(state: ClusterState, pending: PendingStart) -> bool:
    """Tell whether what was blocked is no longer in use."""
    if pending.victims:
        return False
    for name, _ in pending.place:
        if any(amount < 0 for amount in state.pool.upstreams[name].free):
            return False
    return True


def stop_grace_s(state: ClusterState, job: WaitingJob, reason: str) -> float:
    """Return the grace that jobs in the way of another one are given."""
    limits = state.bundle.limits
    is_hasty = job.spec.urgent and reason == GUARANTEE_RECLAIMED
    return limits.urgent_grace_s if is_hasty else limits.reclaim_grace_s


__all__ = [
    "evict_for",
    "cancel_pending",
    "start_guaranteed",
    "start_remaining",
    "start_pending",
]
