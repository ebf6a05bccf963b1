"""The ``celeryfield`` command."""

import sys

import typer

from celeryfield.cli.apply import apply
from celeryfield.cli.check import check
from celeryfield.cli.demo import demo
from celeryfield.cli.diff import diff
from celeryfield.cli.drain import drain
from celeryfield.cli.exits import ExitCode
from celeryfield.cli.explain import explain
from celeryfield.cli.node import node
from celeryfield.cli.status import status
from celeryfield.cli.trace import trace
from celeryfield.cli.version import version

COMMANDS = (
    node,
    check,
    apply,
    diff,
    status,
    drain,
    explain,
    trace,
    demo,
    version,
)

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    rich_markup_mode=None,
)


@app.callback()
def _root() -> None:
    """Overload control layer for service call graphs."""


for _command in COMMANDS:
    app.command()(_command)


def main() -> None:
    """Runs the command line and reports unexpected errors on one line."""
    try:
        app()
    except Exception as error:
        typer.echo(f"error: internal error: {error!r}", err=True)
        sys.exit(ExitCode.FAILED)
