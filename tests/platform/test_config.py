"""Tests of the operator's config with values that cannot be read."""

from __future__ import annotations

import json

import pytest
from standins.job_cluster import HOST, KEY, PREFIX, config

HUGE = "9" * 400
DEEP = "[" * 100_000 + "]" * 100_000
ODD_ROUTES = [
    {"priority": 10**400},
    {"stretch": 10**400},
    {"stretch": -1},
    {"target_latency_ms": 10**400},
    {"max_attempts": 10**400},
    {"path_prefix": ["/"]},
    {"host": None},
    {"service": None},
]
ODD_TENANTS = [
    {"guaranteed": {"gpu": 10**400}},
    {"guaranteed": [1]},
    {"api_keys": [["x"]]},
    {"name": 7},
]
ODD_CONFIGS = [
    b"not json",
    b"\xff\xfe",
    b"[]",
    b'{"version":' + HUGE.encode() + b"}",
    b'{"version":1e400}',
    b'{"version":1,"routes":7}',
    b'{"version":1,"x":' + DEEP.encode() + b"}",
    b'{"version":1,"limits":{"max_body_bytes":' + HUGE.encode() + b"}}",
]


def build(raw: bytes):
    from adapter.config import build_operator_config

    return build_operator_config({"config": raw, "evacuate/zone-b": b"{}"})


def assert_first_rows_hold(found) -> None:
    assert found.version == 1
    assert [one.path_prefix for one in found.queues] == [PREFIX]
    assert found.find_queue(HOST, PREFIX + "x") is not None
    assert found.workspace_for_key(KEY) == "warehouse"
    assert found.guaranteed_accelerators("warehouse") == 8
    assert found.zones_out == {"zone-b"}


def test_whole_numbers_may_be_written_as_floats():
    changed = config(version=1.0, limits={"max_body_bytes": 1000.0})
    changed["routes"][0] |= {"priority": 1.0, "max_attempts": 2.0}
    changed["tenants"][0]["guaranteed"] = {"gpu": 8.0}
    found = build(json.dumps(changed).encode())
    assert_first_rows_hold(found)
    assert (found.max_body_bytes, found.queues[0].max_attempts) == (1000, 2)


@pytest.mark.parametrize("odd", ODD_ROUTES, ids=range(len(ODD_ROUTES)))
def test_route_that_cannot_be_read_is_left_out_and_the_others_hold(odd):
    """The config was refused whole, or ended the watcher of the config."""
    first = config()["routes"][0]
    routes = [first, {**first, "path_prefix": "/odd/", **odd}]
    assert_first_rows_hold(build(json.dumps(config(routes=routes)).encode()))


@pytest.mark.parametrize("odd", ODD_TENANTS, ids=range(len(ODD_TENANTS)))
def test_tenant_that_cannot_be_read_is_left_out_and_the_others_hold(odd):
    first = config()["tenants"][0]
    tenants = [first, {"name": "odd", "api_keys": ["odd"], **odd}]
    found = build(json.dumps(config(tenants=tenants)).encode())
    assert_first_rows_hold(found)
    assert found.workspace_for_key("odd") is None


@pytest.mark.parametrize("raw", ODD_CONFIGS, ids=range(len(ODD_CONFIGS)))
def test_config_that_cannot_be_read_is_refused(raw):
    """The watcher of the config ended, and calls were refused with 503 from then on."""
    with pytest.raises(ValueError):
        build(raw)
