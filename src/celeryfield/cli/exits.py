"""Exit codes and error lines of the command line."""

import enum
from collections.abc import Iterable
from typing import NoReturn

import typer


class ExitCode(enum.IntEnum):
    """Exit codes; scripts depend on them, so they do not change.

    Attributes:
        OK: Done.
        FAILED: Not done, for a reason without a code of its own.
        USAGE: The command line is wrong.
        INVALID: Settings or files have problems; nothing was changed.
        CONFLICT: Another operator was first; nothing was changed.
        UNAVAILABLE: Node or store cannot be reached; nothing was changed.
        UNKNOWN: The answer was lost; the change may have been made or not.
        DENIED: The node does not accept the token; nothing was changed.
        NOT_IN_FORCE: Applied, but not in force everywhere in time.
    """

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6
    DENIED = 7
    NOT_IN_FORCE = 8


def exit_with_errors(code: ExitCode, lines: Iterable[str]) -> NoReturn:
    """Prints error lines to stderr and ends the command with a code."""
    for line in lines:
        typer.echo(f"error: {line}", err=True)
    raise typer.Exit(code)
