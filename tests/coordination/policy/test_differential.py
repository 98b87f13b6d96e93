"""Differential tests of the scheduler against the naive first-fit scheduler."""

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


def set_up_pool(scheduler: Scheduler | NaiveScheduler) -> None:
    """Add two zones of two racks with two upstreams each, and a guarantee."""
    for number in range(8):
        rack = f"rack-{number // 2}"
        scheduler.upstream_up(f"u{number}", f"zone-{number // 4}", rack, CAPACITY)
    scheduler.apply_bundle(Bundle(1, 0, guarantees=[GUARANTEE]), 0.0)


@given(st.lists(st.tuples(jobs, st.booleans()), max_size=25))
def test_job_that_fits_starts_or_waits_for_unclaimed_capacity(sequence: list) -> None:
    """If first fit finds a place, only a non-idempotent job may be left waiting."""
    scheduler, naive = Scheduler(), NaiveScheduler()
    set_up_pool(scheduler)
    set_up_pool(naive)
    for number, ((workspace, shape, idempotent), ends) in enumerate(sequence):
        spec = JobSpec(f"job-{number:02}", workspace, shape, idempotent=idempotent)
        scheduler.submit(spec, float(number))
        scheduler.step(float(number))
        naive.pool = scheduler.state.pool
        for job in scheduler.state.waiting.values():
            if job.spec.id in scheduler.state.pending:
                continue
            if naive.first_fit(job.spec.shape) is not None:
                assert not job.spec.idempotent, job
                assert job.code == "no_safe_room", job
        if ends and scheduler.state.running:
            scheduler.job_ended(next(iter(scheduler.state.running)))


@given(st.lists(jobs, max_size=25))
def test_no_scheduler_exceeds_the_capacity_of_an_upstream(sequence: list) -> None:
    schedulers = (Scheduler(), NaiveScheduler())
    for scheduler in schedulers:
        set_up_pool(scheduler)
        for number, (workspace, shape, idempotent) in enumerate(sequence):
            spec = JobSpec(f"job-{number:02}", workspace, shape, idempotent=idempotent)
            scheduler.submit(spec, float(number))
            scheduler.step(float(number))
    for pool in (schedulers[0].state.pool, schedulers[1].pool):
        for upstream in pool.upstreams.values():
            assert all(amount >= 0 for amount in upstream.capacity.minus(upstream.used))
