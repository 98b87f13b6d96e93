"""Checks that a bundle's guarantees fit a pool, also if any one zone is out."""

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
    """Location and capacity of one announced upstream."""

    name: str
    availability_zone: str
    rack: str
    capacity: Resources


@dataclass(frozen=True, slots=True)
class UnplaceableGuarantee:
    """A guaranteed shape that does not fit in addition to the others.

    `zone_out` is the availability zone without which it does not fit, empty if it does
    not fit with all zones in service.
    """

    zone_out: str
    workspace: str
    shape: Shape


def find_unplaceable_guarantees(
    bundle: Bundle, upstreams: Sequence[UpstreamCapacity]
) -> list[UnplaceableGuarantee]:
    """Return the guarantees that do not fit with all zones, and with each one out.

    Parameters
    ----------
    bundle : Bundle
        The bundle to check; zones that it takes out are always out.
    upstreams : sequence of UpstreamCapacity
        The announced upstreams.
    """
    zones = sorted({one.availability_zone for one in upstreams})
    found = _find_unplaceable_without("", bundle, upstreams)
    for zone in zones:
        if zone not in bundle.zones_out:
            found += _find_unplaceable_without(zone, bundle, upstreams)
    return found


def _find_unplaceable_without(
    zone: str, bundle: Bundle, upstreams: Sequence[UpstreamCapacity]
) -> list[UnplaceableGuarantee]:
    """Return the guarantees that do not fit if `zone` is out, too; '' for none."""
    out = {zone, *bundle.zones_out}
    pool = Pool()
    for one in upstreams:
        if one.availability_zone not in out:
            pool.add(Upstream(one.name, one.availability_zone, one.rack, one.capacity))
    cells = CellTable(pool)
    cells.set_guarantees(bundle.guarantees)
    return [
        UnplaceableGuarantee(zone, one.workspace, one.shape) for one in cells.unplaced()
    ]


__all__ = ["UnplaceableGuarantee", "UpstreamCapacity", "find_unplaceable_guarantees"]
