from __future__ import annotations

import pytest
from bench.durable.load import POOLS, PROFILES, generate, scaled


@pytest.mark.parametrize("name", POOLS)
def test_every_task_of_a_pool_fits_one_of_its_upstreams(name):
    pool = POOLS[name]
    jobs = generate(PROFILES["notice"], pool, 1)
    assert jobs
    for load in jobs:
        assert all(pool.capacity.covers(step.need) for step in load.job.steps)


@pytest.mark.parametrize("name", POOLS)
def test_every_gang_of_a_pool_fits_one_of_its_racks(name):
    pool = POOLS[name]
    for load in generate(PROFILES["large-burst"], pool, 1):
        for step in load.job.steps:
            room = pool.capacity.fit_count(step.need, 1000) * pool.rack_size
            assert not step.gang or 1 < step.count <= room


@pytest.mark.parametrize("name", POOLS)
def test_guarantees_of_a_pool_can_be_met(name):
    pool = POOLS[name]
    assert sum(pool.guaranteed) <= pool.upstreams * pool.capacity.accelerators


def test_larger_pool_gets_more_jobs_of_the_same_classes():
    profile, pool = PROFILES["busy"], POOLS["grown"]
    usual = len(generate(profile, pool, 1))
    larger = len(generate(profile, scaled(pool, 2 * pool.upstreams), 1))
    assert 1.5 * usual < larger < 2.5 * usual
