"""The command that runs the demo."""

import asyncio

import typer

from celeryfield.cli.exits import ExitCode, exit_with_errors
from celeryfield.standins.demo import run_demo


def demo() -> None:
    """Runs a demo on a local cluster; exits with 0 if all calls succeeded."""
    if not asyncio.run(run_demo(typer.echo)):
        exit_with_errors(
            ExitCode.FAILED, ["not every call got a complete response"]
        )
