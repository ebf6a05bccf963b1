"""The ``celeryfield`` command."""

import asyncio

import typer

import celeryfield
from celeryfield.cli.exits import ExitCode, fail
from celeryfield.cli.node import node
from celeryfield.standins.demo import run_demo

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
)


@app.callback()
def _root() -> None:
    """Overload control layer for service call graphs."""


@app.command()
def version() -> None:
    """Prints the version of this program."""
    typer.echo(f"celeryfield {celeryfield.__version__}")


@app.command()
def demo() -> None:
    """Runs the main job on embedded stand-ins; exit 0 if all went well."""
    if not asyncio.run(run_demo(typer.echo)):
        fail(ExitCode.FAILED, ["not every call was answered whole"])


app.command()(node)


def main() -> None:
    """Runs the command line."""
    app()
