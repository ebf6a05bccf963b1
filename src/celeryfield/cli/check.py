"""The command that checks what operators write."""

import pathlib
from typing import Annotated

import typer

from celeryfield.cli.exits import ExitCode, fail
from celeryfield.cli.filesets import load_or_exit
from celeryfield.platform import config
from celeryfield.platform import settings as platform_settings

_MISSING = "no such file or directory"


def check(
    path: Annotated[
        pathlib.Path,
        typer.Argument(
            metavar="PATH",
            help="Directory of a file set, or a .toml or .json file of the "
            "platform.",
        ),
    ],
) -> None:
    """Checks a file set, or a file of the platform, and prints problems."""
    if path.suffix == ".toml":
        _check_settings(path)
    elif path.suffix == ".json":
        _check_config(path)
    else:
        _check_fileset(path)


def _check_fileset(directory: pathlib.Path) -> None:
    applied = load_or_exit(directory)
    counts = ", ".join(
        f"{len(sections)} {kind} sections"
        for kind, sections in applied.sections.by_kind().items()
    )
    typer.echo(f"file set of team {applied.team} is valid: {counts}")


def _check_settings(path: pathlib.Path) -> None:
    loaded = platform_settings.parse(_read(path).decode(errors="replace"))
    if loaded.is_error():
        fail(ExitCode.INVALID, [f"{path}: {loaded.error}"])
    node = loaded.ok.node.node
    typer.echo(f"settings of node {node.id} in zone {node.zone} are valid")


def _check_config(path: pathlib.Path) -> None:
    decoded = config.decode(_read(path))
    if decoded.is_error():
        fail(ExitCode.INVALID, [f"{path}: {decoded.error}"])
    table = decoded.ok
    typer.echo(
        f"configuration {table.version} is valid: "
        f"{len(table.routes_by_name)} routes, "
        f"{len(table.services_by_name)} services"
    )


def _read(path: pathlib.Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        fail(ExitCode.INVALID, [f"{path}: {error.strerror or _MISSING}"])
