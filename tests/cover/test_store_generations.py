"""The client follows the generation that a store names in its responses."""

import asyncio
import contextlib
import logging

import pytest
from aiohttp import web
from platform_standins import free_port, json_response, serve_standin, until

from celeryfield.internal.clock import Clock
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.settings import StoreSettings
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.store.errors import (
    StoreOutcomeUnknownError,
    StoreRestoredError,
    StoreUnavailableError,
)
from celeryfield.platform import objects

KEY = "kind/one"


class NamedGenerations:
    """A store whose test decides on the generation of each response.

    Attributes:
        generation: Sent with responses; none if empty.
        status: Status of the responses.
        held: Events that hold back the responses of one method each.
        pages: Whether listings have two pages.
    """

    def __init__(self):
        self.port = free_port()
        self.generation = "1"
        self.status = 200
        self.held = {}
        self.received = []
        self.pages = False

    async def handle(self, request):
        """Answers with the generation at the time of the receipt."""
        self.received.append(request.rel_url.path_qs)
        generation = self.generation
        await request.read()
        if request.method in self.held:
            await self.held[request.method].wait()
        response = self.respond(request)
        if generation:
            response.headers["Store-Era"] = generation
        return response

    def respond(self, request):
        if self.status != 200:
            return web.Response(status=self.status)
        stored = {"metadata": {"name": "one", "revision": 5}, "spec": {}}
        if request.path.endswith("/one") or request.method != "GET":
            return json_response(stored)
        has_more = self.pages and "after" not in request.query
        return json_response(
            {
                "items": [stored],
                "hasMore": has_more,
                "currentRev": 5,
                "events": [],
            }
        )


@contextlib.asynccontextmanager
async def generations_client():
    store = NamedGenerations()
    async with serve_standin(store):
        settings = StoreSettings(
            url=f"http://127.0.0.1:{store.port}", timeout_ms=5000
        )
        client = StoreClient(settings, Clock(), dialect=objects.DIALECT)
        seen = []
        client.subscribe_generation(seen.append)
        try:
            yield store, client, seen
        finally:
            await client.close()


def messages(caplog):
    return [record.getMessage() for record in caplog.records]


@pytest.mark.parametrize("status", [200, 404, 409, 410, 429, 503])
async def test_any_response_shows_that_the_store_was_restored(status, caplog):
    """Guards against a restored store that is noticed late or never."""
    caplog.set_level(logging.INFO)
    async with generations_client() as (store, client, seen):
        assert client.generation is None
        await client.get(KEY)
        assert (client.generation, seen) == (1, [])
        store.generation, store.status = "2", status
        await client.put(KEY, b"{}", 1)
        assert (client.generation, seen) == (2, [2])
        assert messages(caplog).count("store restored") == 1


async def test_late_responses_of_an_earlier_generation_do_not_count():
    """Guards against writes that count as stored although they are lost."""
    async with generations_client() as (store, client, seen):
        await client.get(KEY)
        release = asyncio.Event()
        store.held = {"GET": release, "PUT": release}
        read = asyncio.create_task(client.get(KEY))
        write = asyncio.create_task(client.put(KEY, b"{}", 1))
        await until(lambda: len(store.received) == 3)
        store.generation = "2"
        await client.delete(KEY, 5)
        release.set()
        assert isinstance((await read).error, StoreRestoredError)
        assert isinstance((await read).error, StoreUnavailableError)
        assert isinstance((await write).error, StoreOutcomeUnknownError)
        assert (client.generation, seen) == (2, [2])


async def test_generation_that_falls_counts_as_a_change(caplog):
    """Guards against a store that stays unusable after its number fell."""
    async with generations_client() as (store, client, seen):
        for store.generation in ("4", "3"):
            assert (await client.get(KEY)).is_ok()
        assert (client.generation, seen) == (3, [3])
        assert "store generation fell" in messages(caplog)


async def test_missing_and_invalid_generations_leave_the_known_one(caplog):
    """Guards against a proxy's response that looks like a restored store."""
    async with generations_client() as (store, client, seen):
        for store.generation in ("4", "", "x", "9" * 30, "4"):
            assert (await client.get(KEY)).is_ok()
        assert (client.generation, seen) == (4, [])
        assert messages(caplog).count("store generation missing") == 1


async def test_store_without_generations_works_as_before(caplog):
    """Guards against a generation becoming a condition of any call."""
    async with generations_client() as (store, client, seen):
        store.generation = ""
        listing = (await client.list_all("kind/")).ok
        assert listing.generation is None
        assert (await client.put(KEY, b"{}", 5)).is_ok()
        assert (client.generation, seen) == (None, [])
        assert messages(caplog) == []
        # The writes above may be lost once the store names a generation.
        store.generation = "2"
        await client.get(KEY)
        assert (client.generation, seen) == (2, [2])


async def test_pages_of_a_listing_are_of_one_generation():
    """Guards against a listing that mixes objects of two generations."""
    async with generations_client() as (store, client, _):
        store.pages = True
        respond = store.respond

        def restore_after_first_page(request):
            if store.generation == "1":
                store.generation = "2"
            return respond(request)

        store.respond = restore_after_first_page
        listing = (await client.list_all("kind/")).ok
        assert listing.generation == 2
        assert len(listing.objects) == 2
        assert [path.count("after=") for path in store.received] == [0, 1, 0, 1]


async def test_listing_of_a_store_that_keeps_being_restored_ends():
    """Guards against a listing that never returns."""
    async with generations_client() as (store, client, _):
        store.pages = True
        respond = store.respond

        def restore_always(request):
            store.generation = str(int(store.generation) + 1)
            return respond(request)

        store.respond = restore_always
        result = await client.list_all("kind/")
        assert isinstance(result.error, StoreRestoredError)
        assert len(store.received) == 8


async def test_unconfirmed_write_is_not_repeated_in_a_new_generation():
    """Guards against a write that replaces what it was not made from.

    The expected version of the write has been given out again.
    """
    async with generations_client() as (store, client, _):
        await client.get(KEY)
        store.held["PUT"] = asyncio.Event()

        def decode(_value):
            return (wire.WriteRecord("mine", 0),)

        write = asyncio.create_task(
            client.put_and_confirm(KEY, b"{}", 5, decode)
        )
        await until(lambda: len(store.received) == 2)
        store.generation = "2"
        await client.delete(KEY, 5)
        store.held.pop("PUT").set()
        assert isinstance((await write).error, StoreOutcomeUnknownError)
        assert store.received.count("/objects/kind/one") == 3
