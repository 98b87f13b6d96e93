from __future__ import annotations

import asyncio

import pytest
from bench.durable.load import PROFILES, Pool
from bench.durable.measures import measure
from bench.durable.model import Model
from bench.durable.naive import plan_in_order

from hyssoprill.clock import boottime_s
from hyssoprill.coordination.policy.dispatch.dispatch import plan_round
from hyssoprill.protocol.job import ZERO_AMOUNTS

LEAST_OF_WHOLE = 0.8
"""Target: the worst class and workspace get this part of what all get."""


def play(profile: str, seed: int, decide=plan_round):
    return Model(PROFILES[profile], Pool(), seed, decide=decide)


class WatchedModel(Model):
    """A model that checks capacity and single runs after each round."""

    async def _plan(self) -> None:
        await super()._plan()
        tasks: set[str] = set()
        for upstream in self._upstreams:
            used = ZERO_AMOUNTS
            for run in upstream.runs.values():
                assert run.task not in tasks, f"{run.task} runs twice"
                tasks.add(run.task)
                used = used.plus(run.load.job.steps[run.step].need)
            assert upstream.pool.capacity.covers(used)


@pytest.mark.parametrize("profile", ["urgent-burst", "trouble", "power"])
def test_capacity_and_single_runs_are_kept_at_the_worst_load(profile):
    model = WatchedModel(PROFILES[profile], Pool(), 1)
    result = asyncio.run(model.run())
    assert result.useful_core_s > 0


def test_runs_of_the_model_repeat_for_a_seed():
    first, second = (asyncio.run(play("busy", 3).run()) for _ in range(2))
    ends = [[one.done_s for one in result.outcomes] for result in (first, second)]
    assert ends[0] == ends[1]
    assert boottime_s() != ends[0][-1]


def test_burst_of_urgent_jobs_leaves_no_class_far_behind():
    results = [asyncio.run(play("urgent-burst", seed).run()) for seed in range(1, 6)]
    found = measure(results)
    for kind in ("survey", "quote", "list"):
        assert found[f"worth_{kind}"] >= LEAST_OF_WHOLE * found["worth"]
        assert found[f"served_largest_{kind}"] >= LEAST_OF_WHOLE


def test_burst_of_urgent_jobs_is_served_better_than_in_order():
    ours = measure([asyncio.run(play("urgent-burst", 1).run())])
    naive = measure([asyncio.run(play("urgent-burst", 1, plan_in_order).run())])
    assert ours["worth_quote"] > naive["worth_quote"]
    assert ours["wait_p99_s_quote"] < naive["wait_p99_s_quote"]
