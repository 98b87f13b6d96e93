from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING

import pytest
from standins.job_cluster import JobCluster

if TYPE_CHECKING:
    from collections.abc import Iterator

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "platform"))


@pytest.fixture
def jobs() -> Iterator[JobCluster]:
    """Return a store, two entries and two VMs, ready."""
    with JobCluster() as cluster:
        cluster.start_store()
        for name in ("entry-1", "entry-2"):
            cluster.start_entry(name)
        for name, rack in (("vm-1", "r1"), ("vm-2", "r2")):
            cluster.start_vm(name, rack)
        cluster.wait_ready()
        yield cluster


@pytest.fixture(scope="module")
def jobs_of_module() -> Iterator[JobCluster]:
    """Return an entry pair and a VM that several tests share."""
    with JobCluster() as cluster:
        cluster.start_store()
        for name in ("entry-1", "entry-2"):
            cluster.start_entry(name)
        cluster.start_vm("vm-1")
        cluster.wait_ready()
        yield cluster


@pytest.fixture(scope="module")
def shared_jobs() -> Iterator[JobCluster]:
    """Return two entries without VMs, for calls that start nothing."""
    with JobCluster() as cluster:
        cluster.start_store()
        for name in ("entry-1", "entry-2"):
            cluster.start_entry(name)
        cluster.wait_ready()
        yield cluster
