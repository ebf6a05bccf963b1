"""Arguments and options shared by several commands."""

import pathlib
from typing import Annotated

import typer

DEFAULT_ADMIN_URL = "http://127.0.0.1:7302"

Directory = Annotated[
    pathlib.Path, typer.Argument(metavar="DIR", help="Directory of a file set.")
]
AdminUrl = Annotated[
    str,
    typer.Option(
        "--admin",
        metavar="URL",
        envvar="CELERYFIELD_ADMIN",
        help="Base URL of the administration listener of any node.",
    ),
]
Token = Annotated[
    str,
    typer.Option(
        metavar="TOKEN",
        envvar="CELERYFIELD_TOKEN",
        show_default=False,
        help="Bearer token. Prefer the environment variable: other users can "
        "read command lines.",
    ),
]
CaFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--ca",
        metavar="FILE",
        help="CA certificate that signed the node's certificate.",
    ),
]
