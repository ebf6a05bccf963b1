"""The command that drains a node."""

import asyncio
from typing import Annotated

import typer

from celeryfield.cli.client import AdminClient, exit_with_failure
from celeryfield.cli.options import (
    DEFAULT_ADMIN_URL,
    AdminUrl,
    CaFile,
    Token,
)
from celeryfield.internal.admin.models import DrainAnswer, DrainRequest


def drain(
    node: Annotated[
        str, typer.Argument(metavar="NODE", help="Id of the node.")
    ],
    admin: AdminUrl = DEFAULT_ADMIN_URL,
    token: Token = "",
    ca: CaFile = None,
) -> None:
    """Drains a node: it finishes its calls and ends its process."""
    asyncio.run(_drain(node, AdminClient(admin, token, ca)))


async def _drain(node: str, client: AdminClient) -> None:
    async with client:
        result = await client.post(
            "/v1/drain", DrainAnswer, DrainRequest(node=node)
        )
    if result.is_error():
        exit_with_failure(result.error)
    typer.echo(
        f"node {result.ok.node} is {result.ok.state}; it ends its process "
        "when its calls are finished"
    )
