"""Helpers of the store and configuration tests."""

import asyncio
import contextlib
import random

from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import StoreSettings
from celeryfield.internal.store.client import StoreClient
from celeryfield.standins.platform import PlatformStore


class InstantClock(Clock):
    """A clock that does not sleep, to skip delays between attempts."""

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(0)


def make_client(store, clock=None, **settings):
    values = {"burst": 1_000_000, "watch_seconds": 1.0} | settings
    store_settings = StoreSettings(url=store.url, **values)
    return StoreClient(
        store_settings, clock or InstantClock(), random.Random(1)
    )


@contextlib.asynccontextmanager
async def store_and_client(**settings):
    store = PlatformStore(seed=1)
    await store.start()
    client = make_client(store, **settings)
    try:
        yield store, client
    finally:
        await client.close()
        await store.stop()


def make_files(team, description="first", extra=""):
    """Returns a small valid set; descriptions distinguish a team's sets."""
    text = (
        f"[fileset]\nteam = {team}\ndescription = {description}\n"
        f"[service {team}-desk]\n[class {team}-read]\n{extra}"
    )
    return (wire.FileEntry("main.ini", text),)


async def wait_until(condition, steps=4000):
    """Waits for a condition that other tasks fulfil."""
    for _ in range(steps):
        if condition():
            return
        await asyncio.sleep(0.005)
    message = "the condition was not fulfilled in time"
    raise AssertionError(message)
