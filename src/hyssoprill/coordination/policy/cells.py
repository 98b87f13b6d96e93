"""Guaranteed cells: assigns each guaranteed shape to a place in the pool.

On each upstream, the claims of cells and of non-revocable jobs never exceed the
capacity, so that an unused cell can always be reclaimed by stopping revocable jobs.
Compare the buddy cells of HiveD (OSDI 2020).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...protocol.shape import Resources
from .placement import find_place, unclaimed

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from ...protocol.bundle import Guarantee
    from ...protocol.shape import Shape
    from ...state.pool import Placement, Pool


class Cell:
    """One instance of a workspace's guaranteed shape.

    Attributes
    ----------
    place : Placement or None
        The assigned place; None while the pool has none for it.
    jobs : dict
        Place and need per member of the jobs that run or are pending in the cell.
        The cell keeps its place while there are any.
    """

    __slots__ = ("id", "jobs", "place", "shape", "workspace")

    def __init__(self, cell_id: str, workspace: str, shape: Shape) -> None:
        self.id = cell_id
        self.workspace = workspace
        self.shape = shape
        self.place: Placement | None = None
        self.jobs: dict[str, tuple[Placement, Resources]] = {}

    @property
    def is_bound(self) -> bool:
        """Whether jobs occupy the cell, so that it cannot be moved."""
        return bool(self.jobs)

    def remaining(self) -> dict[str, Resources]:
        """Return the resources of the cell that no job occupies, by upstream."""
        need = self.shape.need
        left = {name: need.plus(need, n - 1) for name, n in self.place or ()}
        for place, job_need in self.jobs.values():
            for name, members in place:
                if name in left:
                    left[name] = left[name].minus(job_need, members)
        return left


class CellTable:
    """The cells of all workspaces and their assignment to places of a pool."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self.cells: dict[str, Cell] = {}
        self._by_workspace: dict[str, list[Cell]] = {}

    def of_workspace(self, workspace: str) -> Sequence[Cell]:
        """Return the cells of a workspace, smallest first."""
        return self._by_workspace.get(workspace, [])

    def unplaced(self) -> list[Cell]:
        """Return the cells that have no place at present."""
        return [cell for cell in self.cells.values() if cell.place is None]

    def set_guarantees(self, guarantees: Iterable[Guarantee]) -> None:
        """Replace the guarantees; cells of unchanged ones are kept."""
        wanted = {}
        for guarantee in guarantees:
            for index in range(guarantee.count):
                wanted[_cell_id(guarantee, index)] = guarantee
        for cell_id in [key for key in self.cells if key not in wanted]:
            self._unassign(self.cells.pop(cell_id))
        for cell_id, guarantee in wanted.items():
            if cell_id not in self.cells:
                cell = Cell(cell_id, guarantee.workspace, guarantee.shape)
                self.cells[cell_id] = cell
        self._by_workspace = {}
        for cell in sorted(self.cells.values(), key=_placement_difficulty):
            self._by_workspace.setdefault(cell.workspace, []).append(cell)
        self.assign()

    def assign(self) -> None:
        """Assign a place to each cell without a usable one, hardest to place first.

        If not all of them fit, all unbound cells are reassigned.
        """
        missing = [cell for cell in self.cells.values() if not self._is_usable(cell)]
        if not missing:
            return
        for cell in missing:
            self._unassign(cell)
        if not self._assign_all(missing):
            unbound = [cell for cell in self.cells.values() if not cell.is_bound]
            for cell in unbound:
                self._unassign(cell)
            self._assign_all(unbound)

    def move(self, cell: Cell, place: Placement | None) -> None:
        """Change the place of a cell and its claims on the pool.

        A bound cell may only move to a place that covers its jobs.
        """
        self._unassign(cell)
        if place is not None:
            cell.place = place
            self._pool.claim(place, cell.shape.need)

    def assign_around(self, cell: Cell, place: Placement, need: Resources) -> bool:
        """Move a cell so that it covers an adopted job and the jobs already in it.

        All unbound cells lose their places until the next `assign`.

        Returns
        -------
        bool
            False if no place of the cell's shape covers all of them; the cell then
            keeps its place.
        """
        for other in self.cells.values():
            if not other.is_bound:
                self._unassign(other)
        old_place = cell.place
        self._unassign(cell)
        covering = self._covering_place(cell, [*cell.jobs.values(), (place, need)])
        self.move(cell, covering or old_place)
        return covering is not None

    def unbound_claims(self) -> dict[str, Resources]:
        """Return what unbound cells claim, by upstream; these cells can be moved."""
        return _usage(
            [
                (cell.place, cell.shape.need)
                for cell in self.cells.values()
                if cell.place is not None and not cell.is_bound
            ]
        )

    def move_unbound_cells(self, place: Placement, need: Resources) -> bool:
        """Move unbound cells off a place's upstreams so that `need` can be claimed.

        Returns False and restores the cells if they cannot all be placed.
        """
        names = {name for name, _ in place}
        moved = [
            (cell, cell.place)
            for cell in self.cells.values()
            if cell.place is not None
            and not cell.is_bound
            and any(name in names for name, _ in cell.place)
        ]
        for cell, _ in moved:
            self._unassign(cell)
        self._pool.claim(place, need)
        fits = self._assign_all([cell for cell, _ in moved])
        self._pool.claim(place, need, -1)
        if not fits:
            for cell, old_place in moved:
                self.move(cell, old_place)
        return fits

    def bind(self, cell: Cell, job: str, place: Placement, need: Resources) -> None:
        """Record that a job occupies part of a cell."""
        cell.jobs[job] = (place, need)

    def unbind(self, cell_id: str, job: str) -> None:
        """Record that a job has left its cell."""
        cell = self.cells.get(cell_id)
        if cell is not None:
            cell.jobs.pop(job, None)

    def _covering_place(
        self, cell: Cell, jobs: list[tuple[Placement, Resources]]
    ) -> Placement | None:
        """Return a place of the cell's shape that covers the given jobs, or None."""
        shape = cell.shape
        members: dict[str, int] = {}
        for name, used in _usage(jobs).items():
            covering = shape.need.times_to_cover(used, 1)
            if covering is None or name not in self._pool.upstreams:
                return None
            members[name] = covering
        left = shape.members - sum(members.values())
        if left < 0:
            return None
        first = self._pool.upstreams[jobs[0][0][0][0]]
        for upstream in self._pool.domain_of(first, shape.adjacent):
            fitting = unclaimed(upstream).fit_count(shape.need)
            more = min(left, fitting - members.get(upstream.name, 0))
            if more > 0:
                members[upstream.name] = members.get(upstream.name, 0) + more
                left -= more
        return tuple(members.items()) if left == 0 else None

    def _is_usable(self, cell: Cell) -> bool:
        """Return whether a cell can keep its place; if bound, also where closed."""
        if cell.place is None:
            return False
        upstreams = self._pool.upstreams
        return all(
            name in upstreams and (cell.is_bound or upstreams[name].schedulable)
            for name, _ in cell.place
        )

    def _assign_all(self, cells: list[Cell]) -> bool:
        """Assign the unbound ones of the cells; return whether all have a place."""
        is_complete = True
        for cell in sorted(cells, key=_placement_difficulty, reverse=True):
            if not cell.is_bound:
                place = find_place(self._pool, cell.shape, unclaimed)
                self.move(cell, place)
            is_complete = is_complete and cell.place is not None
        return is_complete

    def _unassign(self, cell: Cell) -> None:
        if cell.place is not None:
            self._pool.claim(cell.place, cell.shape.need, -1)
            cell.place = None


def _usage(jobs: list[tuple[Placement, Resources]]) -> dict[str, Resources]:
    """Return the sum of the places' needs, by upstream."""
    usage: dict[str, Resources] = {}
    for place, need in jobs:
        for name, members in place:
            usage[name] = usage.get(name, Resources()).plus(need, members)
    return usage


_ADJACENCY_ORDER = {"availability_zone": 0, "rack": 1, "upstream": 2}


def _placement_difficulty(cell: Cell) -> tuple[int, int, int, str]:
    """Sort by size, then by tightness of adjacency: the last are hardest to place."""
    shape = cell.shape
    total = shape.total_accelerators or shape.members
    return total, _ADJACENCY_ORDER[shape.adjacent], shape.accelerators, cell.id


def _cell_id(guarantee: Guarantee, index: int) -> str:
    """Return an id from the guarantee's content, so that unchanged ones keep cells."""
    shape = guarantee.shape
    parts = (
        guarantee.workspace,
        f"{shape.members}x{shape.accelerators}",
        shape.adjacent,
        f"{shape.cores}c{shape.memory_gb}g",
        str(index),
    )
    return "/".join(parts)


__all__ = ["Cell", "CellTable"]
