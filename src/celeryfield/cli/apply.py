"""The command that applies a file set."""

import asyncio
import getpass
import pathlib
from typing import Annotated

import typer

from celeryfield.cli.client import AdminClient, Failure, exit_with_failure
from celeryfield.cli.exits import ExitCode, exit_with_errors
from celeryfield.cli.filesets import fetch_current, load_or_exit
from celeryfield.cli.options import (
    DEFAULT_ADMIN_URL,
    AdminUrl,
    CaFile,
    Directory,
    Token,
)
from celeryfield.internal.admin.models import (
    MAX_AUTHOR_LENGTH,
    ApplyAnswer,
    ApplyRequest,
    FileItem,
    InForceAnswer,
)
from celeryfield.internal.clock import Clock

POLL_INTERVAL_MS = 500.0
DEFAULT_TIMEOUT_S = 30.0


def apply(
    directory: Directory,
    base: Annotated[
        int | None,
        typer.Option(
            min=0,
            help="Version that the files are based on; 0 for none. "
            "Default: the version in force at the node.",
        ),
    ] = None,
    admin: AdminUrl = DEFAULT_ADMIN_URL,
    token: Token = "",
    ca: CaFile = None,
    timeout: Annotated[
        float,
        typer.Option(
            min=0,
            help="Longest wait until the set is in force on all nodes. "
            "Unit: s.",
        ),
    ] = DEFAULT_TIMEOUT_S,
    author: Annotated[
        str,
        typer.Option(
            help="Author recorded in the history; default: the current user."
        ),
    ] = "",
) -> None:
    """Applies a file set and waits until it is in force on all nodes."""
    client = AdminClient(admin, token, ca)
    author = (author or _user_name())[:MAX_AUTHOR_LENGTH]
    asyncio.run(_apply(client, directory, base, author, timeout))


async def _apply(
    client: AdminClient,
    directory: pathlib.Path,
    base: int | None,
    author: str,
    timeout_s: float,
) -> None:
    file_set = load_or_exit(directory)
    team = file_set.team
    async with client:
        if base is None:
            in_force = await fetch_current(client, team)
            base = in_force.current.version if in_force else 0
        request = ApplyRequest(
            files=[
                FileItem(name=entry.name, text=entry.text)
                for entry in file_set.message.files
            ],
            expected_version=base,
            author=author,
        )
        result = await client.post(f"/v1/filesets/{team}", ApplyAnswer, request)
        if result.is_error():
            _exit_with_apply_failure(result.error)
        version = result.ok.version
        typer.echo(f"applied as version {version} of team {team}")
        await _wait_until_in_force(client, team, version, timeout_s)


def _exit_with_apply_failure(failure: Failure) -> None:
    """Ends the command with the errors of an apply.

    After a conflict, also prints the difference to the current file set.
    """
    lines = failure.lines()
    if failure.code == ExitCode.CONFLICT and failure.api_error is not None:
        lines += [change.text for change in failure.api_error.changes]
    elif failure.code == ExitCode.UNKNOWN:
        lines.append("run 'celeryfield diff' before you apply again")
    exit_with_errors(failure.code, lines)


async def _wait_until_in_force(
    client: AdminClient, team: str, version: int, timeout_s: float
) -> None:
    """Prints progress until a version is in force on all nodes.

    Ends the command if the timeout passes first or the node rejects the token.
    Other errors are retried, since the set is already applied.
    """
    clock = Clock()
    deadline_ms = clock.now_ms() + timeout_s * 1000.0
    last_progress = ""
    while True:
        result = await client.get(
            f"/v1/filesets/{team}/in-force",
            InForceAnswer,
            {"version": str(version)},
        )
        if result.is_error() and result.error.code == ExitCode.DENIED:
            exit_with_failure(result.error)
        progress = _format_progress(result.ok) if result.is_ok() else ""
        if progress and progress != last_progress:
            last_progress = progress
            typer.echo(progress)
        if result.is_ok() and result.ok.is_everywhere:
            return
        if clock.now_ms() >= deadline_ms:
            break
        await clock.sleep_ms(POLL_INTERVAL_MS)
    reason = f"version {version} is applied, but not in force everywhere"
    lines = [f"{reason} after {timeout_s:g} s"]
    if result.is_error():
        lines += result.error.lines()
    elif result.ok.missing:
        lines.append(f"still missing: {', '.join(result.ok.missing)}")
    exit_with_errors(ExitCode.NOT_IN_FORCE, lines)


def _format_progress(answer: InForceAnswer) -> str:
    return f"in force at {answer.in_force} of {answer.members} nodes"


def _user_name() -> str:
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"
