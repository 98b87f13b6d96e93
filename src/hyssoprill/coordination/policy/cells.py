"""Guaranteed cells: each guaranteed shape with its live assignment to a place.

The places of all cells and the irrevocable jobs never add up to more than any
upstream's capacity, so that each unused cell can be reclaimed by stopping revocable
jobs alone. Cf. the buddy cells of HiveD (OSDI 2020).
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
    """One guaranteed shape of a workspace.

    Attributes
    ----------
    place : Place or None
        Where it is assigned; None while the pool cannot hold it.
    jobs : dict
        Places of the jobs that run or are about to run within it; while there
        are any, the assignment stays.
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
        """Whether jobs occupy it, so that it cannot be assigned anew."""
        return bool(self.jobs)

    def remaining(self) -> dict[str, Resources]:
        """Return what is left of the cell by upstream."""
        need = self.shape.need
        room = {name: need.plus(need, n - 1) for name, n in self.place or ()}
        for place, job_need in self.jobs.values():
            for name, members in place:
                if name in room:
                    room[name] = room[name].minus(job_need, members)
        return room


class CellTable:
    """All cells, and their assignment within a pool."""

    def __init__(self, pool: Pool) -> None:
        self._pool = pool
        self.cells: dict[str, Cell] = {}
        self._by_workspace: dict[str, list[Cell]] = {}

    def of_workspace(self, workspace: str) -> Sequence[Cell]:
        """Return the cells of a workspace, smallest first."""
        return self._by_workspace.get(workspace, [])

    def unplaced(self) -> list[Cell]:
        """Return the cells that the pool cannot hold now."""
        return [cell for cell in self.cells.values() if cell.place is None]

    def set_guarantees(self, guarantees: Iterable[Guarantee]) -> None:
        """Take over the guarantees of a bundle; cells in use stay as they are."""
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
        """Give each cell without a usable place one, larger cells first.

        Where one does not fit, all cells that are not in use are assigned anew.
        """
        missing = [cell for cell in self.cells.values() if not self._is_usable(cell)]
        if not missing:
            return
        for cell in missing:
            self._unassign(cell)
        if not self._assign_all(missing):
            loose = [cell for cell in self.cells.values() if not cell.is_bound]
            for cell in loose:
                self._unassign(cell)
            self._assign_all(loose)

    def move(self, cell: Cell, place: Placement | None) -> None:
        """Assign a cell that is not in use to another place."""
        self._unassign(cell)
        if place is not None:
            cell.place = place
            self._pool.claim(place, cell.shape.need)

    def assign_around(self, cell: Cell, place: Placement, need: Resources) -> bool:
        """Assign a cell so that it holds a job found running, beside its others.

        All unused cells lose their places until the next `assign`.

        Returns
        -------
        bool
            False where the job does not fit into the cell.
        """
        for other in self.cells.values():
            if not other.is_bound:
                self._unassign(other)
        before = cell.place
        self._unassign(cell)
        covering = self._covering_place(cell, [*cell.jobs.values(), (place, need)])
        self.move(cell, covering or before)
        return covering is not None

    def unbound_claims(self) -> dict[str, Resources]:
        """Return what unused cells claim, by upstream; they can be moved."""
        return _usage(
            [
                (cell.place, cell.shape.need)
                for cell in self.cells.values()
                if cell.place is not None and not cell.is_bound
            ]
        )

    def move_unbound_cells(self, place: Placement, need: Resources) -> bool:
        """Move unused cells away from a place; change nothing if they do not fit."""
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
            for cell, before in moved:
                self.move(cell, before)
        return fits

    def bind(self, cell: Cell, job: str, place: Placement, need: Resources) -> None:
        """Note that a job occupies part of a cell."""
        cell.jobs[job] = (place, need)

    def unbind(self, cell_id: str, job: str) -> None:
        """Note that a job left its cell."""
        cell = self.cells.get(cell_id)
        if cell is not None:
            cell.jobs.pop(job, None)

    def _covering_place(
        self, cell: Cell, jobs: list[tuple[Placement, Resources]]
    ) -> Placement | None:
        """Return a place of the cell's shape around those of its jobs."""
        shape = cell.shape
        members: dict[str, int] = {}
        for name, used in _usage(jobs).items():
            wanted = shape.need.times_to_cover(used, 1)
            if wanted is None or name not in self._pool.upstreams:
                return None
            members[name] = wanted
        left = shape.members - sum(members.values())
        if left < 0:
            return None
        first = self._pool.upstreams[jobs[0][0][0][0]]
        for upstream in self._pool.domain_of(first, shape.adjacent):
            room = unclaimed(upstream).fit_count(shape.need)
            more = min(left, room - members.get(upstream.name, 0))
            if more > 0:
                members[upstream.name] = members.get(upstream.name, 0) + more
                left -= more
        return tuple(members.items()) if left == 0 else None

    def _is_usable(self, cell: Cell) -> bool:
        """Tell whether the place stands; bound cells keep closed places."""
        if cell.place is None:
            return False
        upstreams = self._pool.upstreams
        return all(
            name in upstreams and (cell.is_bound or upstreams[name].schedulable)
            for name, _ in cell.place
        )

    def _assign_all(self, cells: list[Cell]) -> bool:
        complete = True
        for cell in sorted(cells, key=_placement_difficulty, reverse=True):
            if not cell.is_bound:
                place = find_place(self._pool, cell.shape, unclaimed)
                self.move(cell, place)
            complete = complete and cell.place is not None
        return complete

    def _unassign(self, cell: Cell) -> None:
        if cell.place is not None:
            self._pool.claim(cell.place, cell.shape.need, -1)
            cell.place = None


def _usage(jobs: list[tuple[Placement, Resources]]) -> dict[str, Resources]:
    """Return what jobs use by upstream."""
    usage: dict[str, Resources] = {}
    for place, need in jobs:
        for name, members in place:
            usage[name] = usage.get(name, Resources()).plus(need, members)
    return usage


_ADJACENCY_ORDER = {"availability_zone": 0, "rack": 1, "upstream": 2}


def _placement_difficulty(cell: Cell) -> tuple[int, int, int, str]:
    """Order cells by how hard they are to place."""
    shape = cell.shape
    total = shape.total_accelerators or shape.members
    return total, _ADJACENCY_ORDER[shape.adjacent], shape.accelerators, cell.id


def _cell_id(guarantee: Guarantee, index: int) -> str:
    """Name a cell so that an unchanged guarantee keeps its cells."""
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
