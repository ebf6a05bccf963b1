"""The command that tells the story of one request."""

import itertools
from typing import Annotated

import typer

from celeryfield.cli.exits import ExitCode, exit_with_errors
from celeryfield.internal.request_trace import find_trace


def trace(
    request_id: Annotated[str, typer.Argument(metavar="ID")],
    logs: Annotated[
        list[typer.FileText],
        typer.Argument(
            metavar="LOG...",
            encoding="utf-8",
            errors="replace",
            help="Logs of nodes; - is standard input.",
        ),
    ],
    context: Annotated[
        int, typer.Option(min=0, help="Lines about beliefs for each node.")
    ] = 3,
) -> None:
    """Tells from the logs of nodes what became of a request, and why."""
    lines = itertools.chain.from_iterable(logs)
    trace_lines = find_trace(request_id, lines, context)
    if not trace_lines:
        exit_with_errors(
            ExitCode.FAILED,
            [
                f"no line names request {request_id!r}; the volume of the log "
                "is bounded, see 'lines left out'"
            ],
        )
    for line in trace_lines:
        typer.echo(line.text())
