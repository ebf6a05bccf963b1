"""Loading of file sets, shared by several commands."""

import pathlib

from celeryfield.cli.client import AdminClient, exit_with_failure
from celeryfield.cli.exits import ExitCode, exit_with_errors
from celeryfield.internal.admin.models import FileSetAnswer
from celeryfield.internal.config.fileset import AppliedFileSet, load_directory


def load_or_exit(directory: pathlib.Path) -> AppliedFileSet:
    """Loads a file set; prints its problems and ends the command if any."""
    result = load_directory(directory)
    if result.is_error():
        exit_with_errors(
            ExitCode.INVALID, [str(problem) for problem in result.error]
        )
    return result.ok


async def fetch_current(client: AdminClient, team: str) -> FileSetAnswer | None:
    """Returns the set in force at the node, or None if there is none.

    Ends the command on any other error.
    """
    result = await client.get(f"/v1/filesets/{team}", FileSetAnswer)
    if result.is_ok():
        return result.ok
    if result.error.status == 404:
        return None
    exit_with_failure(result.error)
