"""Exit codes and error lines of the command line."""

import enum
from collections.abc import Iterable
from typing import NoReturn

import typer


class ExitCode(enum.IntEnum):
    """How a command ended; the codes are part of the interface."""

    OK = 0
    FAILED = 1
    USAGE = 2
    INVALID = 3
    CONFLICT = 4
    UNAVAILABLE = 5
    UNKNOWN = 6


def fail(code: ExitCode, lines: Iterable[str]) -> NoReturn:
    """Prints error lines and ends the command."""
    for line in lines:
        typer.echo(f"error: {line}", err=True)
    raise typer.Exit(code)
