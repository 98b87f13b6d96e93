"""Fixtures that build schedulers and jobs for policy tests."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from hyssoprill.coordination.policy.scheduler import Scheduler
from hyssoprill.protocol.bundle import Bundle, Guarantee
from hyssoprill.protocol.request import JobSpec
from hyssoprill.protocol.shape import Resources, Shape

if TYPE_CHECKING:
    from collections.abc import Callable


@pytest.fixture
def make_scheduler() -> Callable[..., Scheduler]:
    """Return a function that builds a scheduler with upstreams of 8 accelerators.

    `zones` holds the number of upstreams by zone and rack.
    """

    def build(
        zones: dict[str, dict[str, int]], *guarantees: Guarantee, version: int = 1
    ) -> Scheduler:
        scheduler = Scheduler()
        for zone, racks in zones.items():
            for rack, count in racks.items():
                for number in range(count):
                    name = f"{zone}.{rack}.{number}"
                    scheduler.upstream_up(name, zone, rack, Resources(8, 8, 64, 256))
        bundle = Bundle(version, version - 1, guarantees=list(guarantees))
        scheduler.apply_bundle(bundle, 0.0)
        return scheduler

    return build


@pytest.fixture
def make_job() -> Callable[..., JobSpec]:
    """Return a function that builds a job from fields of its shape and its spec."""

    def build(job_id: str, workspace: str = "crews", **fields: object) -> JobSpec:
        names = ("members", "accelerators", "adjacent", "cores", "memory_gb")
        shape = Shape(**{name: fields.pop(name) for name in names if name in fields})
        return JobSpec(job_id, workspace, shape, **fields)

    return build
