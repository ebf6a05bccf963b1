"""The command ``check`` on platform files."""

import json

import pytest
from platform_standins import config_spec, settings_text
from typer.testing import CliRunner

from celeryfield.cli.exits import ExitCode
from celeryfield.cli.main import app

RUNNER = CliRunner()


def check(path):
    return RUNNER.invoke(app, ["check", str(path)])


def test_valid_files_are_summarized(tmp_path):
    """Guards against a check that rejects files which a node accepts."""
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
    ("name", "text", "field_path"),
    [
        ("settings.toml", "[self]\nzone = 'z'\n", "self.nodeName"),
        ("main.json", json.dumps(config_spec(timeoutMs=-1)), "timeoutMs"),
        ("main.json", "{", "body"),
    ],
)
def test_invalid_field_is_named(tmp_path, name, text, field_path):
    """Guards against an invalid file that is noticed only by a node."""
    path = tmp_path / name
    path.write_text(text, encoding="utf-8")
    result = check(path)
    assert result.exit_code == ExitCode.INVALID
    assert field_path in result.output


def test_missing_file_is_an_error_without_traceback(tmp_path):
    """Guards against a traceback for a wrong path."""
    result = check(tmp_path / "none.toml")
    assert result.exit_code == ExitCode.INVALID
    assert "No such file" in result.output
