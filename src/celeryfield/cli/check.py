"""The command that checks files without a running node."""

import pathlib
from typing import Annotated

import typer

from celeryfield.cli.exits import ExitCode, exit_with_errors
from celeryfield.cli.filesets import load_or_exit
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
) -> None:
    """Checks a file set or a platform file and prints all problems."""
    if path.suffix == ".toml":
        _check_settings(path)
    elif path.suffix == ".json":
        _check_config(path)
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


def _check_config(path: pathlib.Path) -> None:
    result = config.decode(_read(path))
    if result.is_error():
        exit_with_errors(ExitCode.INVALID, [f"{path}: {result.error}"])
    routing_config = result.ok
    typer.echo(
        f"configuration {routing_config.version} is valid: "
        f"{len(routing_config.routes_by_name)} routes, "
        f"{len(routing_config.services_by_name)} services"
    )


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        exit_with_errors(
            ExitCode.INVALID,
            [f"{path}: {error.strerror or _DEFAULT_READ_ERROR}"],
        )
