"""The operators' page agrees with the program."""

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


def test_tables_of_the_pages_are_current(reference):
    """Guards against keys, codes, routes and events that no page names."""
    for page in reference.TABLES_BY_PAGE:
        assert page.read_text(encoding="utf-8") == reference.render(page)


def test_page_names_every_command():
    """Guards against a command that operators cannot find."""
    text = (ROOT / "docs" / "operators.md").read_text(encoding="utf-8")
    for command in COMMANDS:
        assert f"`{command.__name__}" in text
