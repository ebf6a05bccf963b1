"""What the commands on file sets share."""

import pathlib

from celeryfield.cli.client import AdminClient, exit_with
from celeryfield.cli.exits import ExitCode, fail
from celeryfield.internal.admin.models import FileSetAnswer
from celeryfield.internal.config.fileset import AppliedFileSet, load_directory


def load_or_exit(directory: pathlib.Path) -> AppliedFileSet:
    """Reads a directory; ends the command if it has problems."""
    loaded = load_directory(directory)
    if loaded.is_error():
        fail(ExitCode.INVALID, [str(problem) for problem in loaded.error])
    return loaded.ok


async def fetch_current(client: AdminClient, team: str) -> FileSetAnswer | None:
    """Returns the set in force at the node, or None if there is none."""
    found = await client.get(f"/v1/filesets/{team}", FileSetAnswer)
    if found.is_ok():
        return found.ok
    if found.error.status == 404:
        return None
    exit_with(found.error)
