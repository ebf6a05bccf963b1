"""Options that several commands share."""

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
        help="Administration listener of any node.",
    ),
]
Token = Annotated[
    str,
    typer.Option(
        metavar="TOKEN",
        envvar="CELERYFIELD_TOKEN",
        show_default=False,
        help="Token; better set in the environment, since others can read "
        "command lines.",
    ),
]
CaFile = Annotated[
    pathlib.Path | None,
    typer.Option(
        "--ca", metavar="FILE", help="Authority that signed the certificate."
    ),
]
