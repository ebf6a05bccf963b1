"""The command that prints the version."""

import typer

import celeryfield


def version() -> None:
    """Prints the version of this program."""
    typer.echo(f"celeryfield {celeryfield.__version__}")
