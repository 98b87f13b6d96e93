"""Hypothesis profiles, and fixtures that run a cluster of real processes."""

from __future__ import annotations

import os
from typing import TYPE_CHECKING

import pytest
from hypothesis import settings
from standins.local_cluster import LocalCluster

if TYPE_CHECKING:
    from collections.abc import Iterator

settings.register_profile("ci", derandomize=True, deadline=None, max_examples=60)
settings.register_profile("fuzz", deadline=None, max_examples=2000)
settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "ci"))

WORKSPACES = ["warehouse", "crews"]


@pytest.fixture
def bare_cluster() -> Iterator[LocalCluster]:
    """Yield a cluster that runs only the log."""
    with LocalCluster(WORKSPACES) as cluster:
        cluster.start_log()
        yield cluster


@pytest.fixture
def cluster(bare_cluster: LocalCluster) -> LocalCluster:
    """Return a cluster of two entries and three upstreams, with bundle 1 in force."""
    for name in ("entry-1", "entry-2"):
        bare_cluster.start_entry(name)
    bare_cluster.start_upstreams(
        [
            (1, "zone-a", "zone-a-rack"),
            (2, "zone-a", "zone-a-rack"),
            (3, "zone-b", "zone-b-rack"),
        ]
    )
    bare_cluster.wait_ready(3)
    bare_cluster.roll()
    bare_cluster.wait_for_version(1)
    return bare_cluster
