"""Tests of the stand-in upstream under overlapping faults."""

import asyncio

from celeryfield.standins import upstream as standin


async def test_overlapping_crashes_leave_one_listener(monkeypatch):
    """Guards against a restart that binds the port a second time."""
    spec = standin.UpstreamSpec(
        service="s",
        node_url="",
        admin_url="",
        slots=1,
        connections=1,
        endpoints=[],
    )
    upstream = standin.StandInUpstream(spec)

    async def announce():
        return None

    monkeypatch.setattr(upstream, "announce", announce)
    await upstream.start()
    setup = standin.web.ServerRunner.setup

    async def slow_setup(runner):
        await setup(runner)
        await asyncio.sleep(0.05)

    monkeypatch.setattr(standin.web.ServerRunner, "setup", slow_setup)
    try:
        await upstream.crash()
        first = asyncio.ensure_future(upstream.restart())
        await asyncio.sleep(0.02)
        # The second crash happens while the listener is being reopened.
        await upstream.crash()
        await asyncio.gather(first, upstream.restart())
        _, writer = await asyncio.open_connection("127.0.0.1", upstream.port)
        writer.close()
    finally:
        await upstream.stop()
