"""Shared test setup."""

import os
import pathlib

import hypothesis
from hypothesis.internal.conjecture import providers

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.load_profile("ci")

# Hypothesis also draws constants found in the project's modules that happen to
# be imported. The examples, and so the verdict, would depend on which tests
# run together and on edits elsewhere; constraints.txt pins the version.
providers._get_local_constants = providers.Constants

# Node processes that tests start run the code under test.
_SOURCE = pathlib.Path(__file__).resolve().parent.parent / "src"
os.environ["PYTHONPATH"] = str(_SOURCE)


def pytest_addoption(parser):
    parser.addoption(
        "--soak",
        action="store_true",
        help="run the fault histories with new seeds for longer",
    )


def pytest_collection_modifyitems(config, items):
    """Leaves out the long runs, whose seeds are new each time."""
    if config.getoption("--soak"):
        return
    long_runs = [item for item in items if item.get_closest_marker("soak")]
    config.hook.pytest_deselected(items=long_runs)
    items[:] = [item for item in items if item not in long_runs]
