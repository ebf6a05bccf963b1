"""Shared test setup."""

import hypothesis

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.load_profile("ci")
