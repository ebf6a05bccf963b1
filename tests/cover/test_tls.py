"""Tests of TLS on all listeners; the key in tests/data is for tests only."""

import asyncio
import pathlib
import ssl

import pytest
from node_helpers import running_fleet

from celeryfield import errors
from celeryfield.internal import tls
from celeryfield.internal.schema.settings import TlsSettings

DATA = pathlib.Path(__file__).parents[1] / "data"
TLS = {
    "certificate_file": str(DATA / "node.pem"),
    "key_file": str(DATA / "node-key.pem"),
    "ca_file": str(DATA / "authority.pem"),
}


async def test_nodes_use_tls_for_callers_and_peers():
    """Guards against a listener or connection that falls back to plain TCP."""
    client_context = ssl.create_default_context(cafile=TLS["ca_file"])
    async with running_fleet() as fleet:
        near = await fleet.start("near", sections={"tls": TLS})
        far = await fleet.start("far", sections={"tls": TLS})
        far.admission.apply_announcement(8, 8, "ready", "back")
        url = f"https://127.0.0.1:{near.frontend.port}/back/x"
        async with fleet.session.get(url, ssl=client_context) as answer:
            assert answer.headers["x-celeryfield-reason"] == "no-upstream"
        candidate = None
        async with asyncio.timeout(5):
            while candidate is None:
                candidate = near.directory.find("far")
                await asyncio.sleep(0.01)
        connection = await near.pool._links.connect(candidate)
        assert connection._transport.get_extra_info("cipher") is not None


async def test_rejects_peers_without_a_certificate():
    """Guards against calls and ledger takeovers by unauthenticated peers."""
    async with running_fleet() as fleet:
        node = await fleet.start("node", sections={"tls": TLS})
        anonymous = ssl.create_default_context(cafile=TLS["ca_file"])
        with pytest.raises((ssl.SSLError, OSError, EOFError)):
            await read_one_byte(node.membership.port, anonymous)


async def read_one_byte(port, context):
    """Reads a byte, since TLS 1.3 reports a rejection with the first read."""
    reader, _ = await asyncio.open_connection("127.0.0.1", port, ssl=context)
    await reader.readexactly(1)


def test_error_contains_the_file_that_cannot_be_loaded():
    """Guards against a node that starts without the configured TLS."""
    broken = TlsSettings(certificate_file="/no/such.pem")
    with pytest.raises(errors.SettingsError, match=r"/no/such\.pem"):
        tls.load_contexts(broken)
