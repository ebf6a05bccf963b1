"""Commands over TLS; the key in tests/data is used only by tests."""

import pathlib

import pytest
from cover.admin_helpers import running_nodes
from cover.test_cli_commands import run_command

from celeryfield.cli.exits import ExitCode

DATA = pathlib.Path(__file__).parents[1] / "data"


@pytest.mark.parametrize(
    ("scheme", "options", "code"),
    [
        ("https", ("--ca", str(DATA / "authority.pem")), ExitCode.OK),
        ("https", (), ExitCode.UNAVAILABLE),
        ("http", (), ExitCode.UNAVAILABLE),
    ],
)
async def test_trusts_only_the_given_authority(scheme, options, code):
    """Guards against tokens sent to a node without a trusted certificate."""
    extra = (
        f"[tls]\ncertificate_file = {DATA / 'node.pem'}\n"
        f"key_file = {DATA / 'node-key.pem'}\n"
    )
    async with running_nodes(extra=extra) as [node]:
        url = f"{scheme}://127.0.0.1:{node.node.admin.port}"
        result = await run_command("status", "--admin", url, *options)
        assert result.exit_code == code
        assert len(result.stderr.splitlines()) == (code != ExitCode.OK)
        if options == () and scheme == "https":
            assert "--ca" in result.stderr
