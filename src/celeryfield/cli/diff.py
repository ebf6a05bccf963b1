"""The command that compares a file set with the one in force."""

import asyncio
import pathlib

import typer

from celeryfield.cli.client import AdminClient
from celeryfield.cli.exits import ExitCode, exit_with_errors
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
    file_set = load_or_exit(directory)
    async with client:
        in_force = await fetch_current(client, file_set.team)
    current = _to_applied_file_set(in_force) if in_force else None
    version = in_force.current.version if in_force else 0
    typer.echo(f"against version {version} of team {file_set.team}:")
    typer.echo(format_diff(diff_sets(current, file_set)))


def _to_applied_file_set(in_force: FileSetAnswer) -> AppliedFileSet:
    """Compiles the set in force; ends the command if it has problems."""
    message = wire.FileSet(
        team=in_force.current.team,
        version=in_force.current.version,
        files=tuple(
            wire.FileEntry(item.name, item.text) for item in in_force.files
        ),
    )
    compiled = from_wire(message)
    if compiled.is_error():
        reasons = [str(problem) for problem in compiled.error]
        exit_with_errors(
            ExitCode.FAILED,
            ["this version cannot read the set in force", *reasons],
        )
    return compiled.ok
