from __future__ import annotations

from typing import Any

import pytest

from hyssoprill.coordination.policy.dispatch.model import (
    RunningUnit,
    UpstreamView,
    WaitingStep,
)
from hyssoprill.protocol.job import ZERO_AMOUNTS, Job, ResourceAmounts, Step
from hyssoprill.state.job_table import StepKey

SMALL = ResourceAmounts(1, 1000, 1000)
WHOLE = ResourceAmounts(8, 64_000, 262_144)


class Pool:
    """Builds upstreams, waiting steps and running units."""

    def __init__(self) -> None:
        self.upstreams: list[UpstreamView] = []
        self.units: list[RunningUnit] = []

    def add_upstream(self, key: str, rack: str = "r1", **fields: Any) -> UpstreamView:
        fields = {"free": WHOLE, "releasing": ZERO_AMOUNTS, **fields}
        view = UpstreamView(key, "z", rack, "g", frozenset({"a"}), WHOLE, **fields)
        self.upstreams.append(view)
        return view

    def waiting_step(
        self,
        job_id: str = "job",
        *,
        count: int = 1,
        need: ResourceAmounts = SMALL,
        priority: int = 1,
        waited_s: float = 0.0,
        slack_s: float = 10.0,
        within_guarantee: bool = False,
        **fields: Any,
    ) -> WaitingStep:
        step = Step(count=count, need=need, estimate_ms=5000, **fields)
        job = Job(job_id, "q", "g", "w", priority, 3, 3.0, 1000, 0, "", (step,))
        return WaitingStep(
            StepKey(job_id, 0, 0),
            job,
            step,
            list(range(count)),
            {},
            waited_s,
            slack_s,
            step.estimate_ms / 1000,
            within_guarantee,
        )

    def add_running(
        self,
        job_id: str,
        *upstreams: str,
        need: ResourceAmounts = WHOLE,
        priority: int = 2,
        cost: float = 10.0,
        remaining_s: float = float("inf"),
    ) -> RunningUnit:
        """Add a running unit; its resources are taken from its upstreams."""
        for key in upstreams:
            view = next(one for one in self.upstreams if one.key == key)
            view.free = view.free.minus(need)
        unit = RunningUnit(
            StepKey(job_id, 0, 0),
            tuple(range(len(upstreams))),
            upstreams,
            need,
            priority,
            "other",
            cost,
            remaining_s=remaining_s,
        )
        self.units.append(unit)
        return unit


@pytest.fixture
def pool() -> Pool:
    return Pool()
