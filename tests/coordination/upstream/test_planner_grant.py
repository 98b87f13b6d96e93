from __future__ import annotations

import pytest

from hyssoprill.clock import simulated_time
from hyssoprill.coordination.upstream.planner_grant import GRANT_TTL_S, PlannerGrant

BEGAN_S = 5.0
"""The clock when the agent began, a few seconds after its VM."""


@pytest.mark.parametrize("echoed_s", [BEGAN_S - 1.0, 1000.0])
def test_grant_that_an_earlier_agent_asked_for_extends_no_lease(echoed_s):
    now_s = BEGAN_S
    with simulated_time(lambda: now_s):
        grant = PlannerGrant()
        now_s += 1.0
        assert not grant.update(1, echoed_s)
        assert grant.lease_left_s < 0
        assert not grant.may_start
        assert grant.update(1, now_s)
        assert grant.lease_left_s == GRANT_TTL_S
