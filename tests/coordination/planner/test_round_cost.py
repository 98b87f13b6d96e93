"""Tests that a round of the planner does not cost by what runs."""

from __future__ import annotations

import asyncio
import sys
from types import SimpleNamespace

import msgspec
import pytest

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.planner.planner import Planner
from hyssoprill.job_settings import JobBounds
from hyssoprill.ports.store import Record
from hyssoprill.protocol.job import Job, ResourceAmounts, Step
from hyssoprill.protocol.upstream_messages import RunReport, UpstreamReport, VmReport
from hyssoprill.state.job_table import JOB_PREFIX, JobTable
from hyssoprill.state.operator_config import OperatorConfig

UPSTREAMS = 160
CAPACITY = ResourceAmounts(8, 64_000, 262_144)
NEED = ResourceAmounts(0, 4000, 8000)
# 5 ms (docs/CAPACITY.md) on half a core at 0.5 us a call, as this test took on 4b9897a.
MAX_CALLS = 5000


class LargePool:
    """A planner with many upstreams that all run tasks, in a time of its own."""

    term = 1
    may_grant = True

    def __init__(self, runs_per_upstream: int) -> None:
        self.now_s = 1000.0
        self.job_table = JobTable()
        self._offset = 0
        self._report_number = 0
        self.planner = Planner(
            SimpleNamespace(job_table=self.job_table),
            self,
            lambda: OperatorConfig(version=1),
            lambda vm, message: None,
            bounds=JobBounds(key_revocation_ms=5000, stop_grace_s=6.0),
        )
        for number in range(runs_per_upstream):
            self.submit(number, UPSTREAMS)
        self.report_all()
        self.now_s += 1.0
        self.report_all()
        self.count_calls()
        self.report_all()
        self.count_calls()
        assert self.open_runs() == runs_per_upstream * UPSTREAMS

    async def append(self, records: list[Record]) -> None:
        for record in records:
            self._offset += 1
            self.job_table.apply(self._offset, record.key, record.value)

    def submit(self, number: int, count: int) -> None:
        # With checkpoints, as other work leaves headroom and would wait.
        step = Step(count, NEED, 60_000, checkpoints=True, max_per_upstream=1)
        name = f"{number:016x}"
        job = Job(name, "q", "g", "w", 1, 4, 3.0, 1000, 1_000_000, "", (step,))
        record = Record(JOB_PREFIX + name, msgspec.json.encode(job))
        asyncio.run(self.append([record]))

    def open_runs(self) -> int:
        return sum(map(len, self.job_table.open_runs.values()))

    def report_all(self) -> None:
        for number in range(UPSTREAMS):
            self.report(number)

    def report(self, number: int) -> None:
        """Report that an upstream runs all that was started there."""
        with simulated_time(lambda: self.now_s):
            vm, self._report_number = f"vm-{number}", self._report_number + 1
            key = f"{vm}|10.0.0.1:80|100|i-{vm}"
            running = [
                RunReport(task, run.run, "", self._report_number % 100)
                for task, run in self.job_table.open_runs.get(key, {}).items()
            ]
            labels = ["a", f"r{number // 16}"]
            one = UpstreamReport(key, "g", "z", True, CAPACITY, labels, running)
            self.planner.handle_report(
                VmReport(vm, self.now_s, self._report_number, [one], [])
            )

    def count_calls(self) -> int:
        """Run a round and return how many Python functions it calls."""
        calls = 0

        def count(_frame, event, _arg):
            nonlocal calls
            calls += event == "call"

        async def run_round():
            sys.setprofile(count)
            try:
                await self.planner.run_round()
            finally:
                sys.setprofile(None)

        with simulated_time(lambda: self.now_s):
            asyncio.run(run_round())
        return calls

    def count_calls_with(self, waiting: int) -> int:
        """Count the calls of a round after one report, with tasks that wait and fit."""
        self.now_s += 0.05
        self.report(0)
        if waiting:
            self.submit(99, waiting)
        open_before = self.open_runs()
        calls = self.count_calls()
        assert self.open_runs() - open_before == waiting
        return calls


@pytest.mark.parametrize("waiting", [0, 1])
def test_round_does_not_cost_by_what_runs(waiting):
    few = LargePool(2).count_calls_with(waiting)
    many = LargePool(8).count_calls_with(waiting)
    assert many < 1.1 * few
    assert many < MAX_CALLS
