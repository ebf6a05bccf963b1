"""The ``celeryfield`` command."""

import typer

import celeryfield

app = typer.Typer(no_args_is_help=True, add_completion=False)


@app.callback()
def _root() -> None:
    """Overload control layer for service call graphs."""


@app.command()
def version() -> None:
    """Prints the version of this program."""
    typer.echo(f"celeryfield {celeryfield.__version__}")


def main() -> None:
    """Runs the command line."""
    app()
