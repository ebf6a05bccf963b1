"""A store that comes back from an older copy of its content."""

import asyncio

import pytest
from store_helpers import store_and_client, wait_until

from celeryfield.internal.store.errors import StoreUnavailableError
from celeryfield.standins.platform import PlatformStore

KEY = "kind/one"


async def test_stand_in_gives_lost_revisions_out_again():
    """Guards against drills in which the stand-in keeps what it lost."""
    async with store_and_client() as (store, client):
        kept = (await client.put(KEY, b"kept", 0)).ok
        lost = (await client.put(KEY, b"lost", kept.version)).ok
        assert (await client.put("kind/two", b"lost", 0)).is_ok()
        assert client.generation == 1
        store.restore(2)
        assert (await client.list("kind/")).ok == [kept]
        assert client.generation == 2
        again = (await client.put(KEY, b"again", kept.version)).ok
        assert again.version == lost.version


async def test_stand_in_names_the_generation_in_all_responses():
    """Guards against responses that hide a restored store."""
    async with store_and_client() as (store, client):
        await client.get(KEY)
        for call in (
            lambda: client.get(KEY),
            lambda: client.put(KEY, b"x", 7),
            lambda: client.list("kind/"),
            lambda: client.watch("kind/", 0),
        ):
            store.restore(0)
            await call()
            assert client.generation == store.generation
        store.set_down(True)
        store.restore(0)
        for _ in range(20):  # Half of the calls are cut without a response.
            await client.get(KEY)
        assert client.generation == store.generation


async def test_stand_in_cuts_watches_when_it_is_restored():
    """Guards against watches that go on in the new generation unnoticed."""
    async with store_and_client(watch_seconds=60.0) as (store, client):
        waiting = asyncio.create_task(client.watch("kind/", 9))
        await wait_until(lambda: store.calls_by_kind["watch"] == 1)
        store.restore(0)
        assert isinstance((await waiting).error, StoreUnavailableError)


def test_stand_in_without_a_generation_cannot_be_restored():
    """Guards against drills that no client could notice."""
    store = PlatformStore()
    store.generation = None
    with pytest.raises(ValueError, match="generation"):
        store.restore(1)
