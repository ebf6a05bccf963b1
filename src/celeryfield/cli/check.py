"""The command that checks files without a running node."""

import json
import pathlib
from typing import Annotated

import typer

from celeryfield.cli.exits import ExitCode, exit_with_errors
from celeryfield.cli.filesets import load_or_exit
from celeryfield.internal.config.diff import Change
from celeryfield.internal.routes import checks
from celeryfield.internal.routes.changes import diff_entries
from celeryfield.internal.routes.checks import ConfigProblem, Severity
from celeryfield.internal.routes.entries import ConfigEntries
from celeryfield.platform import config
from celeryfield.platform import settings as platform_settings

_DEFAULT_READ_ERROR = "no such file or directory"


def check(
    path: Annotated[
        pathlib.Path,
        typer.Argument(
            metavar="PATH",
            help="Directory of a file set, or a platform file: settings "
            "(.toml) or configuration (.json).",
        ),
    ],
    in_force: Annotated[
        pathlib.Path | None,
        typer.Option(
            metavar="PATH",
            help="Platform configuration in force; prints what changes.",
        ),
    ] = None,
    as_json: Annotated[
        bool,
        typer.Option(
            "--json", help="Prints the result of a configuration as JSON."
        ),
    ] = False,
) -> None:
    """Checks a file set or a platform file and prints all problems."""
    if path.suffix == ".toml":
        _check_settings(path)
    elif path.suffix == ".json":
        _check_config(path, in_force, as_json)
    else:
        _check_file_set(path)


def _check_file_set(directory: pathlib.Path) -> None:
    file_set = load_or_exit(directory)
    counts = ", ".join(
        f"{len(sections)} {kind} sections"
        for kind, sections in file_set.sections.by_kind().items()
    )
    typer.echo(f"file set of team {file_set.team} is valid: {counts}")


def _check_settings(path: pathlib.Path) -> None:
    result = platform_settings.parse(_read(path).decode(errors="replace"))
    if result.is_error():
        exit_with_errors(ExitCode.INVALID, [f"{path}: {result.error}"])
    node = result.ok.node.node
    typer.echo(f"settings of node {node.id} in zone {node.zone} are valid")


def _check_config(
    path: pathlib.Path, in_force: pathlib.Path | None, as_json: bool
) -> None:
    entries = _load_entries(path)
    problems = checks.check(entries)
    changes: list[Change] = []
    if in_force is not None:
        current = _load_entries(in_force)
        changes = diff_entries(current, entries)
        problems += _check_version(current, entries, changes)
    if as_json:
        typer.echo(_format_json(entries, problems, changes))
    else:
        _print_result(entries, problems, changes)
    if any(problem.severity is Severity.ERROR for problem in problems):
        raise typer.Exit(ExitCode.INVALID)


def _load_entries(path: pathlib.Path) -> ConfigEntries:
    result = config.decode_entries(_read(path))
    if result.is_error():
        exit_with_errors(ExitCode.INVALID, [f"{path}: {result.error}"])
    return result.ok


def _check_version(
    current: ConfigEntries, entries: ConfigEntries, changes: list[Change]
) -> list[ConfigProblem]:
    """Returns a problem if nodes would ignore the changes."""
    if not changes or entries.version > current.version:
        return []
    reason = (
        f"version {entries.version} is not above {current.version}, which is "
        "in force; nodes would ignore the changes"
    )
    return [ConfigProblem(Severity.ERROR, "version", reason)]


def _print_result(
    entries: ConfigEntries,
    problems: list[ConfigProblem],
    changes: list[Change],
) -> None:
    for problem in problems:
        typer.echo(str(problem), err=True)
    for change in changes:
        typer.echo(str(change))
    errors = sum(each.severity is Severity.ERROR for each in problems)
    verdict = f"has {errors} errors" if errors else "is valid"
    typer.echo(
        f"configuration {entries.version} {verdict}: "
        f"{len(entries.routes)} routes, {len(entries.services)} services, "
        f"{len(entries.workspaces)} workspaces"
    )


def _format_json(
    entries: ConfigEntries,
    problems: list[ConfigProblem],
    changes: list[Change],
) -> str:
    return json.dumps(
        {
            "version": entries.version,
            "problems": [
                {
                    "severity": problem.severity,
                    "entry": problem.entry,
                    "reason": problem.reason,
                }
                for problem in problems
            ],
            "changes": [
                {
                    "kind": change.kind.name.lower(),
                    "entry": change.section,
                    "field": change.key,
                    "old": change.old,
                    "new": change.new,
                }
                for change in changes
            ],
        },
        indent=2,
    )


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        exit_with_errors(
            ExitCode.INVALID,
            [f"{path}: {error.strerror or _DEFAULT_READ_ERROR}"],
        )
