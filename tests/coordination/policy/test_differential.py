"""Differential test: what the naive scheduler can place, ours places or explains."""

from __future__ import annotations

from bench.naive import NaiveScheduler
from hypothesis import given
from hypothesis import strategies as st

from hyssoprill.coordination.policy.scheduler import Scheduler
from hyssoprill.protocol.bundle import Bundle, Guarantee
from hyssoprill.protocol.request import JobSpec
from hyssoprill.protocol.shape import Resources, Shape

CAPACITY = Resources(4, 4, 16, 64)
GUARANTEE = Guarantee("house-1", Shape(2, 4, "rack"))

shapes = st.builds(
    Shape,
    members=st.integers(1, 4),
    accelerators=st.integers(0, 4),
    adjacent=st.sampled_from(["upstream", "rack", "availability_zone"]),
)
jobs = st.tuples(
    st.sampled_from(["house-1", "house-2", "house-3"]), shapes, st.booleans()
)


def build(scheduler: Scheduler | NaiveScheduler) -> None:
    """Give a scheduler two zones of two racks, and a guarantee."""
    for number in range(8):
        rack = f"rack-{number // 2}"
        scheduler.upstream_up(f"u{number}", f"zone-{number // 4}", rack, CAPACITY)
    scheduler.apply_bundle(Bundle(1, 0, guarantees=[GUARANTEE]), 0.0)


@given(st.lists(st.tuples(jobs, st.booleans()), max_size=25))
def test_ours_places_or_explains_what_naive_places(sequence: list) -> None:
    ours, naive = Scheduler(), NaiveScheduler()
    build(ours)
    build(naive)
    for number, ((workspace, shape, idempotent), ends) in enumerate(sequence):
        spec = JobSpec(f"job-{number:02}", workspace, shape, idempotent=idempotent)
        ours.submit(spec, float(number))
        ours.step(float(number))
        naive.pool = ours.state.pool
        for job in ours.state.waiting.values():
            if job.spec.id in ours.state.pending:
                continue
            if naive.first_fit(job.spec.shape) is not None:
                assert not job.spec.idempotent, job
                assert job.code == "no_safe_room", job
        if ends and ours.state.running:
            ours.job_ended(next(iter(ours.state.running)))


@given(st.lists(jobs, max_size=25))
def test_neither_exceeds_any_upstream(sequence: list) -> None:
    schedulers = (Scheduler(), NaiveScheduler())
    for scheduler in schedulers:
        build(scheduler)
        for number, (workspace, shape, idempotent) in enumerate(sequence):
            spec = JobSpec(f"job-{number:02}", workspace, shape, idempotent=idempotent)
            scheduler.submit(spec, float(number))
            scheduler.step(float(number))
    for pool in (schedulers[0].state.pool, schedulers[1].pool):
        for upstream in pool.upstreams.values():
            assert all(amount >= 0 for amount in upstream.capacity.minus(upstream.used))
