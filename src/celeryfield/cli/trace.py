"""The command that shows the trace of one request from logs."""

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
            help="Log files of nodes; - is standard input.",
        ),
    ],
    context: Annotated[
        int,
        typer.Option(
            min=0,
            help="Context lines per node: the newest state changes that it "
            "logged before the request ended.",
        ),
    ] = 3,
) -> None:
    """Shows what happened to a request, and why, from the logs of nodes."""
    lines = itertools.chain.from_iterable(logs)
    trace_lines = find_trace(request_id, lines, context)
    if not trace_lines:
        exit_with_errors(
            ExitCode.FAILED,
            [
                f"no log line contains request {request_id!r}; the log volume "
                "is limited, see the event 'lines left out'"
            ],
        )
    for line in trace_lines:
        typer.echo(line.text())
