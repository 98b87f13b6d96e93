"""Tests of the settings of roles for durable jobs."""

from __future__ import annotations

import json

import pytest

from hyssoprill.errors import SettingsError
from hyssoprill.job_settings import JobBounds, JobEntrySettings, JobSettings
from hyssoprill.settings import parse_settings

ENTRY = {
    "role": "job-entry",
    "name": "entry-1",
    "availability_zone": "zone-a",
    "cluster_key": "6e" * 32,
    "address": "127.0.0.1",
    "link_port": 0,
    "metrics_port": 0,
    "callers_address": "127.0.0.1:0",
    "readiness_address": "127.0.0.1:8081",
    "store": {"address": "store.example:9000"},
    "bounds": {"key_revocation_ms": 5000, "stop_grace_s": 3.0},
}
BOUNDS = ENTRY["bounds"]
ODD_FIELDS = [
    {"callers_address": "127.0.0.1:99999"},
    {"readiness_address": "127.0.0.1:65536"},
    {"readiness_address": "127.0.0.1:8081\n"},
    {"store": {"address": "127.0.0.1:0"}},
    {"store": {"address": "a..b:9000"}},
    {"link_port": 65536},
    {"bounds": {**BOUNDS, "reclaim_ms": 10**400}},
    {"bounds": {**BOUNDS, "key_revocation_ms": 10**400}},
    {"bounds": {**BOUNDS, "state_kept_s": 1e300}},
    {"bounds": {**BOUNDS, "stop_grace_s": -1}},
    {"store": {"address": "127.0.0.1:9000", "record_bytes": 10**400}},
]


def test_job_settings_are_read_when_in_bounds():
    cfg = parse_settings(json.dumps(ENTRY).encode(), JobSettings)
    assert isinstance(cfg, JobEntrySettings)


@pytest.mark.parametrize("odd", ODD_FIELDS, ids=range(len(ODD_FIELDS)))
def test_job_settings_with_a_value_out_of_range_are_refused(odd):
    """The reload ended with an OverflowError, and no later settings were applied."""
    with pytest.raises(SettingsError):
        parse_settings(json.dumps({**ENTRY, **odd}).encode(), JobSettings)


def test_settings_that_are_nested_too_deeply_are_refused():
    with pytest.raises(SettingsError):
        parse_settings(b'{"role":"job-entry","bounds":' + b"[" * 100_000, JobSettings)
    with pytest.raises(SettingsError):
        parse_settings(b'{"x":' + b"[" * 100_000, JobSettings)


@pytest.mark.parametrize(
    ("bounds", "expected_s"),
    [
        ({}, 3.0),
        ({"evacuation_ms": 8000, "config_apply_ms": 2500}, 5.5),
        ({"evacuation_ms": 2000, "config_apply_ms": 2000}, 1.0),
    ],
)
def test_starts_are_valid_until_a_zone_that_is_out_gets_no_more(bounds, expected_s):
    raw = json.dumps(BOUNDS | bounds).encode()
    assert parse_settings(raw, JobBounds).order_validity_s == expected_s
