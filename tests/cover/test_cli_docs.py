"""The reference pages agree with the program."""

import importlib.util
import pathlib

import pytest

from celeryfield.cli.main import COMMANDS

ROOT = pathlib.Path(__file__).parents[2]


@pytest.fixture
def reference():
    path = ROOT / "tools" / "generate_reference.py"
    spec = importlib.util.spec_from_file_location("generate_reference", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_reference_tables_are_current(reference):
    """Guards against keys, exit codes, operations or events not documented."""
    for page in reference.TABLES_BY_PAGE:
        assert page.read_text(encoding="utf-8") == reference.render(page)


def test_operators_page_names_every_command():
    """Guards against a command that is not documented."""
    text = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
    for command in COMMANDS:
        assert f"`{command.__name__}" in text
