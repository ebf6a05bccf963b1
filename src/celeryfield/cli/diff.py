"""The command that compares a file set with the one in force."""

import asyncio
import pathlib

import typer

from celeryfield.cli.client import AdminClient
from celeryfield.cli.exits import ExitCode, fail
from celeryfield.cli.filesets import fetch_current, load_or_exit
from celeryfield.cli.options import (
    DEFAULT_ADMIN_URL,
    AdminUrl,
    CaFile,
    Directory,
    Token,
)
from celeryfield.internal.admin.models import FileSetAnswer
from celeryfield.internal.config.diff import diff_sets, format_diff
from celeryfield.internal.config.fileset import AppliedFileSet, from_wire
from celeryfield.internal.schema import wire


def diff(
    directory: Directory,
    admin: AdminUrl = DEFAULT_ADMIN_URL,
    token: Token = "",
    ca: CaFile = None,
) -> None:
    """Prints what applying a file set would change."""
    asyncio.run(_diff(directory, AdminClient(admin, token, ca)))


async def _diff(directory: pathlib.Path, client: AdminClient) -> None:
    offered = load_or_exit(directory)
    async with client:
        found = await fetch_current(client, offered.team)
    current = _compile(found) if found else None
    version = found.current.version if found else 0
    typer.echo(f"against version {version} of team {offered.team}:")
    typer.echo(format_diff(diff_sets(current, offered)))


def _compile(found: FileSetAnswer) -> AppliedFileSet:
    """Returns the set in force in the form that a diff takes."""
    message = wire.FileSet(
        team=found.current.team,
        version=found.current.version,
        files=tuple(
            wire.FileEntry(item.name, item.text) for item in found.files
        ),
    )
    compiled = from_wire(message)
    if compiled.is_error():
        reasons = [str(problem) for problem in compiled.error]
        fail(
            ExitCode.FAILED,
            ["this program cannot read the set in force", *reasons],
        )
    return compiled.ok
