"""The command that explains which rule applies to a request."""

import asyncio
from typing import Annotated

import typer

from celeryfield.cli.client import AdminClient, exit_with_failure
from celeryfield.cli.exits import ExitCode, exit_with_errors
from celeryfield.cli.options import (
    DEFAULT_ADMIN_URL,
    AdminUrl,
    CaFile,
    Token,
)
from celeryfield.internal.admin.models import ExplainAnswer


def explain(
    service: Annotated[str, typer.Argument(metavar="SERVICE")],
    class_name: Annotated[str, typer.Argument(metavar="[CLASS]")] = "",
    method: Annotated[str, typer.Option(help="HTTP method.")] = "GET",
    path: Annotated[
        str, typer.Option(help="Path below the service, instead of CLASS.")
    ] = "",
    admin: AdminUrl = DEFAULT_ADMIN_URL,
    token: Token = "",
    ca: CaFile = None,
) -> None:
    """Explains which rule applies to a class or a request, and why."""
    if bool(class_name) == bool(path):
        exit_with_errors(ExitCode.USAGE, ["give either CLASS or --path"])
    query = {"service": service}
    if class_name:
        query["class"] = class_name
    else:
        query |= {"method": method, "path": path}
    asyncio.run(_explain(query, AdminClient(admin, token, ca)))


async def _explain(query: dict[str, str], client: AdminClient) -> None:
    async with client:
        result = await client.get("/v1/explain", ExplainAnswer, query)
    if result.is_error():
        exit_with_failure(result.error)
    answer = result.ok
    typer.echo(
        f"{answer.service} {answer.class_name}: priority {answer.priority}, "
        f"{'run once' if answer.run_once else 'not run-once'}, "
        f"{'long' if answer.long_running else 'short'}, "
        f"{'hedged' if answer.hedge else 'not hedged'}"
    )
    for reason in answer.reasons:
        typer.echo(f"- {reason}")
