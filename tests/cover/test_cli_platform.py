"""Checks of the platform's files on the command line."""

import json

import pytest
from platform_standins import config_spec, settings_text
from typer.testing import CliRunner

from celeryfield.cli.exits import ExitCode
from celeryfield.cli.main import app

RUNNER = CliRunner()


def check(path):
    return RUNNER.invoke(app, ["check", str(path)])


def test_valid_files_are_summed_up(tmp_path):
    """Guards against a check that refuses what a node accepts."""
    settings = tmp_path / "settings.toml"
    settings.write_text(settings_text(1, 9000, 9001), encoding="utf-8")
    result = check(settings)
    assert result.exit_code == 0
    assert "node-1" in result.output
    content = tmp_path / "main.json"
    content.write_text(json.dumps(config_spec()), encoding="utf-8")
    result = check(content)
    assert result.exit_code == 0
    assert "1 routes, 1 services" in result.output


@pytest.mark.parametrize(
    ("name", "text", "place"),
    [
        ("settings.toml", "[self]\nzone = 'z'\n", "self.nodeName"),
        ("main.json", json.dumps(config_spec(timeoutMs=-1)), "timeoutMs"),
        ("main.json", "{", "body"),
    ],
)
def test_fault_is_named_with_its_place(tmp_path, name, text, place):
    """Guards against a fault that shows only when a node starts."""
    path = tmp_path / name
    path.write_text(text, encoding="utf-8")
    result = check(path)
    assert result.exit_code == ExitCode.INVALID
    assert place in result.output


def test_missing_file_is_an_error_without_traceback(tmp_path):
    """Guards against a traceback for a wrong path."""
    result = check(tmp_path / "none.toml")
    assert result.exit_code == ExitCode.INVALID
    assert "No such file" in result.output
