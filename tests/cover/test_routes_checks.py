"""Tests of the check of a configuration before it is sent."""

import dataclasses
import json

import pytest
from platform_standins import config_spec
from typer.testing import CliRunner

from celeryfield.cli.exits import ExitCode
from celeryfield.cli.main import app
from celeryfield.internal.routes import checks
from celeryfield.internal.routes.changes import diff_entries
from celeryfield.internal.routes.checks import Severity
from celeryfield.internal.routes.entries import ConfigEntries
from celeryfield.internal.routes.table import (
    CallerLimits,
    Route,
    Service,
    WeightedService,
)
from celeryfield.internal.routes.workspaces import Workspace, key_digest

ROUTE = Route("a", "shop", "/a/", (WeightedService("stock", 1.0),))
STOCK = Service("stock", "/health", 10)
NORTH = Workspace("north", frozenset({key_digest("k")}), 1, 5.0, 5.0)
VALID = ConfigEntries(1, (ROUTE,), (STOCK,), (NORTH,))


def with_route(**fields):
    return dataclasses.replace(
        VALID, routes=(dataclasses.replace(ROUTE, **fields),)
    )


def with_workspace(**fields):
    return dataclasses.replace(
        VALID, workspaces=(dataclasses.replace(NORTH, **fields),)
    )


def test_valid_configuration_has_no_problems():
    assert checks.check(VALID) == []


@pytest.mark.parametrize(
    ("entries", "severity", "entry", "text"),
    [
        (
            dataclasses.replace(VALID, routes=(ROUTE, ROUTE)),
            Severity.ERROR,
            "route a",
            "more than once",
        ),
        (
            dataclasses.replace(
                VALID, routes=(ROUTE, dataclasses.replace(ROUTE, name="b"))
            ),
            Severity.ERROR,
            "route b",
            "same host and prefix",
        ),
        (
            with_route(weighted_services=()),
            Severity.ERROR,
            "route a",
            "weight above 0",
        ),
        (
            with_route(weighted_services=(WeightedService("x", 1.0),)),
            Severity.ERROR,
            "route a",
            "service x is not defined",
        ),
        (with_route(host="shop:80"), Severity.ERROR, "route a", "no request"),
        (
            with_route(path_prefix="/a?b/"),
            Severity.ERROR,
            "route a",
            "no request",
        ),
        (
            with_route(timeout_ms=10.0, target_latency_ms=20.0),
            Severity.WARNING,
            "route a",
            "below the target",
        ),
        (
            dataclasses.replace(
                VALID, services=(STOCK, Service("tide", "/", 1))
            ),
            Severity.WARNING,
            "service tide",
            "no route",
        ),
        (
            dataclasses.replace(
                VALID,
                workspaces=(NORTH, dataclasses.replace(NORTH, name="south")),
            ),
            Severity.ERROR,
            "workspace south",
            "workspace north has one of its keys",
        ),
        (
            with_workspace(key_digests=frozenset()),
            Severity.WARNING,
            "workspace north",
            "no key",
        ),
        (
            with_workspace(rate_per_s=0.0),
            Severity.WARNING,
            "workspace north",
            "limits nothing",
        ),
        (
            with_workspace(burst=0.0),
            Severity.WARNING,
            "workspace north",
            "below one",
        ),
        (with_route(is_public=True), Severity.WARNING, "workspaces", "public"),
        (
            dataclasses.replace(
                VALID,
                limits=CallerLimits(header_timeout_ms=9.0, idle_timeout_ms=5.0),
            ),
            Severity.WARNING,
            "limits",
            "exceeds",
        ),
    ],
)
def test_finds_useless_and_contradictory_entries(
    entries, severity, entry, text
):
    problems = checks.check(entries)
    found = [
        each
        for each in problems
        if each.severity is severity
        and each.entry == entry
        and text in each.reason
    ]
    assert found, problems


def test_differences_name_fields_and_never_keys():
    changed = dataclasses.replace(
        with_route(timeout_ms=20.0),
        services=(),
        workspaces=(
            dataclasses.replace(
                NORTH, key_digests=frozenset({key_digest("new")})
            ),
        ),
    )
    assert [str(change) for change in diff_entries(VALID, changed)] == [
        "~ [route a] timeout_ms: 0.0 -> 20.0",
        "- [service stock]",
        "~ [workspace north] keys: 1 -> 1 (1 added, 1 removed)",
    ]


def run_check(tmp_path, new, old=None, *options):
    arguments = ["check", str(tmp_path / "new.json"), *options]
    (tmp_path / "new.json").write_text(json.dumps(new), encoding="utf-8")
    if old is not None:
        (tmp_path / "old.json").write_text(json.dumps(old), encoding="utf-8")
        arguments += ["--in-force", str(tmp_path / "old.json")]
    return CliRunner().invoke(app, arguments)


def test_command_reports_differences_as_json(tmp_path):
    result = run_check(
        tmp_path, config_spec(2, timeoutMs=9), config_spec(1), "--json"
    )
    assert result.exit_code == ExitCode.OK
    answer = json.loads(result.stdout)
    assert answer["problems"] == []
    (change,) = answer["changes"]
    assert (change["entry"], change["new"]) == ("route lookup", "9.0")


def test_command_rejects_a_version_that_nodes_would_ignore(tmp_path):
    """Guards against a change that never takes effect."""
    result = run_check(tmp_path, config_spec(1, timeoutMs=9), config_spec(1))
    assert result.exit_code == ExitCode.INVALID
    assert "not above" in result.output
    assert run_check(tmp_path, config_spec(1), config_spec(1)).exit_code == 0


def test_command_rejects_errors(tmp_path):
    result = run_check(tmp_path, config_spec(service="none"))
    assert result.exit_code == ExitCode.INVALID
    assert "service none is not defined" in result.output
