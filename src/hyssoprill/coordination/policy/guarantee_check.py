"""Whether all guarantees of a bundle fit a pool, with each zone out in turn."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...state.pool import Pool, Upstream
from .cells import CellTable

if TYPE_CHECKING:
    from collections.abc import Sequence

    from ...protocol.bundle import Bundle
    from ...protocol.shape import Resources, Shape


@dataclass(frozen=True, slots=True)
class UpstreamCapacity:
    """An upstream of the announced pool."""

    name: str
    availability_zone: str
    rack: str
    capacity: Resources


@dataclass(frozen=True, slots=True)
class UnplaceableGuarantee:
    """A guaranteed shape that does not fit beside the others."""

    zone_out: str
    workspace: str
    shape: Shape


def find_unplaceable_guarantees(
    bundle: Bundle, members: Sequence[UpstreamCapacity]
) -> list[UnplaceableGuarantee]:
    """Return the guarantees that do not fit, with no zone out and with each.

    Parameters
    ----------
    bundle : Bundle
        The bundle to check; zones that it takes out are out throughout.
    members : sequence of UpstreamCapacity
        The announced upstreams.
    """
    zones = sorted({one.availability_zone for one in members})
    found = _misfits_without("", bundle, members)
    for zone in zones:
        if zone not in bundle.zones_out:
            found += _misfits_without(zone, bundle, members)
    return found


def _misfits_without(
    zone: str, bundle: Bundle, members: Sequence[UpstreamCapacity]
) -> list[UnplaceableGuarantee]:
    out = {zone, *bundle.zones_out}
    pool = Pool()
    for one in members:
        if one.availability_zone not in out:
            pool.add(Upstream(one.name, one.availability_zone, one.rack, one.capacity))
    cells = CellTable(pool)
    cells.set_guarantees(bundle.guarantees)
    return [
        UnplaceableGuarantee(zone, one.workspace, one.shape) for one in cells.unplaced()
    ]


__all__ = ["UnplaceableGuarantee", "UpstreamCapacity", "find_unplaceable_guarantees"]
