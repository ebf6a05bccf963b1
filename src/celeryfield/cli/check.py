"""The command that checks a file set."""

import typer

from celeryfield.cli.filesets import load_or_exit
from celeryfield.cli.options import Directory


def check(directory: Directory) -> None:
    """Checks a file set and prints every problem at once."""
    applied = load_or_exit(directory)
    counts = ", ".join(
        f"{len(sections)} {kind} sections"
        for kind, sections in applied.sections.by_kind().items()
    )
    typer.echo(f"file set of team {applied.team} is valid: {counts}")
