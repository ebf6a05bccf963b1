"""Tests of rate limits that are no finite numbers."""

import json

import pytest
from test_platform_rate_limits import limited_spec

from celeryfield.platform import config


@pytest.mark.parametrize("field", ["ratePerS", "burst"])
def test_infinite_limits_are_no_configuration(field):
    spec = limited_spec()
    spec["resources"][-1]["spec"][field] = float("inf")
    assert config.decode(json.dumps(spec).encode()).is_error()
