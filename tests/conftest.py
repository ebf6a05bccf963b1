"""Setup that all tests share."""

import os
import pathlib

import hypothesis
import pytest
from hypothesis.internal.conjecture import providers

hypothesis.settings.register_profile(
    "ci", derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.load_profile("ci")

# By default, Hypothesis also draws constants from the imported modules of the
# project. The examples, and thus the results, would depend on which tests run
# together and on edits elsewhere. This uses a private API, so constraints.txt
# pins the version of Hypothesis.
providers._get_local_constants = providers.Constants

# Node processes that are started by tests run the code under test.
_ROOT = pathlib.Path(__file__).resolve().parent.parent
os.environ["PYTHONPATH"] = str(_ROOT / "src")

# Lists the tests that fail because of an open fault, each on a line that begins
# with the prefix.
_KNOWN_RED = _ROOT / "KNOWN-RED.txt"
_TEST_PREFIX = "test: "


def known_red_tests():
    """Returns the ids of the tests that are known to fail."""
    if not _KNOWN_RED.exists():
        return []
    lines = _KNOWN_RED.read_text().splitlines()
    return [
        line.removeprefix(_TEST_PREFIX).strip()
        for line in lines
        if line.startswith(_TEST_PREFIX)
    ]


def pytest_addoption(parser):
    parser.addoption(
        "--soak",
        action="store_true",
        help="run the fault histories with new seeds for longer",
    )


def pytest_collection_modifyitems(config, items):
    """Marks known failures and deselects the soak tests without --soak."""
    known_failures = known_red_tests()
    for item in items:
        if item.nodeid in known_failures:
            item.add_marker(
                pytest.mark.xfail(reason="KNOWN-RED.txt", strict=False)
            )
    if config.getoption("--soak"):
        return
    long_runs = [item for item in items if item.get_closest_marker("soak")]
    config.hook.pytest_deselected(items=long_runs)
    items[:] = [item for item in items if item not in long_runs]


def pytest_terminal_summary(terminalreporter):
    """Prints the known failures, which do not fail the run."""
    known_failures = known_red_tests()
    if not known_failures:
        return
    terminalreporter.section("known failures (KNOWN-RED.txt)")
    for nodeid in known_failures:
        terminalreporter.line(nodeid)
