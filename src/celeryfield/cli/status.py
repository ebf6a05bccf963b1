"""The command that shows the status of a node and its view of the fleet."""

import asyncio
import collections
from collections.abc import Iterator, Sequence
from typing import Annotated

import typer

from celeryfield.cli.client import AdminClient, exit_with_failure
from celeryfield.cli.options import (
    DEFAULT_ADMIN_URL,
    AdminUrl,
    CaFile,
    Token,
)
from celeryfield.internal.admin.status_models import StatusAnswer

_CLASS_HEADERS = (
    "class",
    "goodput/s",
    "in flight",
    "admitted",
    "shed",
    "ok",
    "failed",
    "unknown",
)


def status(
    as_json: Annotated[
        bool, typer.Option("--json", help="Print the node's response as JSON.")
    ] = False,
    admin: AdminUrl = DEFAULT_ADMIN_URL,
    token: Token = "",
    ca: CaFile = None,
) -> None:
    """Shows the status of a node and its view of the fleet."""
    asyncio.run(_status(as_json, AdminClient(admin, token, ca)))


async def _status(as_json: bool, client: AdminClient) -> None:
    async with client:
        result = await client.get("/v1/status", StatusAnswer)
    if result.is_error():
        exit_with_failure(result.error)
    if as_json:
        typer.echo(result.ok.model_dump_json(indent=2))
        return
    for line in _status_lines(result.ok):
        typer.echo(line)


def _status_lines(answer: StatusAnswer) -> Iterator[str]:
    state = "leaving" if answer.leaving else "not ready"
    state = "ready" if answer.ready else state
    yield f"node {answer.node} in {answer.zone}: {state}, {answer.version}"
    for team, version in sorted(answer.configuration.items()):
        yield f"file set {team}: version {version}"
    for team, version in sorted(answer.lost_by_store.items()):
        yield (
            f"lost by the store: file set {team}; apply it again with "
            f"--base {version}"
        )
    for conflict in answer.conflicts:
        yield f"conflict: {conflict}"
    local = answer.local
    yield (
        f"upstream: {local.state}, {local.in_flight} of {local.limit} calls "
        f"in flight, {local.queued} queued, {local.slots} slots, "
        f"{local.connections} connections"
    )
    for service, level in sorted(local.levels.items()):
        limit = f"priorities below {level / 128:.2f}" if level else "nothing"
        yield f"{service} sheds {limit}"
    yield from _table_lines(_CLASS_HEADERS, _class_rows(answer))
    yield f"members: {_state_counts(member.state for member in answer.members)}"
    by_service = collections.defaultdict(list)
    for upstream in answer.upstreams:
        by_service[upstream.service].append(upstream.state)
    for service, states in by_service.items():
        yield f"service {service}: {_state_counts(states)}"


def _class_rows(answer: StatusAnswer) -> list[tuple[str, ...]]:
    return [
        (
            name,
            f"{totals.goodput:g}",
            str(totals.in_flight),
            str(totals.admitted),
            str(totals.shed),
            str(totals.ok),
            str(totals.failed),
            str(totals.unknown),
        )
        for name, totals in sorted(answer.classes.items())
    ]


def _table_lines(
    headers: Sequence[str], rows: Sequence[Sequence[str]]
) -> Iterator[str]:
    """Yields the lines of a table.

    The first column is left-aligned and the others are right-aligned.
    """
    if not rows:
        return
    lines = [headers, *rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    for first, *others in lines:
        cells = [first.ljust(widths[0])]
        cells += [
            cell.rjust(width)
            for cell, width in zip(others, widths[1:], strict=True)
        ]
        yield "  ".join(cells)


def _state_counts(states: Iterator[str] | Sequence[str]) -> str:
    counter = collections.Counter(states)
    counts = [f"{count} {state}" for state, count in sorted(counter.items())]
    return ", ".join(counts) or "none"
