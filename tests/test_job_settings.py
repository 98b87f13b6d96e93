"""Tests of the settings of the roles that serve durable jobs."""

from __future__ import annotations

import json

import pytest

from hyssoprill.job_settings import JobBounds
from hyssoprill.settings import parse_settings

BOUNDS = {"key_revocation_ms": 5000, "stop_grace_s": 6}


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
