"""Tests of the probes that find dead watches, with a scripted client."""

import asyncio
import random

import pytest
from expression import Error, Ok
from store_helpers import make_files, store_and_client, wait_until

from celeryfield.internal.clock import Clock, ManualClock
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.schema.settings import StoreSettings
from celeryfield.internal.store import probe
from celeryfield.internal.store.applier import FileSetApplier
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.store.errors import (
    StoreBudgetError,
    StoreUnavailableError,
)
from celeryfield.internal.store.probe import WatchProbe
from celeryfield.internal.store.responses import StoreResponse
from celeryfield.internal.store.watcher import ConfigWatcher
from celeryfield.platform import objects

INTERVAL_MS = probe.PROBE_INTERVAL_MS


class ScriptedClient:
    def __init__(self):
        self.result = Ok(5)
        self.last_failure_ms = float("-inf")
        self.probes = 0
        self.renewals = 0

    async def probe(self):
        self.probes += 1
        return self.result

    def renew_connections(self):
        self.renewals += 1


class ScriptedWatch:
    def __init__(self):
        self.waiting_since_ms = 1.0
        self.confirmed_revision = 5
        self.renewals = 0
        self.verifications = 0

    def renew(self):
        self.renewals += 1

    async def verify(self):
        self.verifications += 1


@pytest.fixture
async def probed():
    """Returns a clock, a client, a watch and a function to pass time."""
    clock, client, watch = ManualClock(), ScriptedClient(), ScriptedWatch()
    service = WatchProbe(client, clock, (watch,))
    await service.start()

    async def advance(count):
        for _ in range(count):
            await asyncio.sleep(0)
            clock.advance(INTERVAL_MS)
            for _ in range(5):
                await asyncio.sleep(0)

    yield clock, client, watch, advance
    await service.stop()


async def test_watch_that_waited_during_a_failure_is_renewed(probed):
    """Guards against trusting a watch that the store has dropped."""
    clock, client, watch, advance = probed
    client.result = Error(StoreUnavailableError("silent"))
    await advance(2)
    assert (watch.renewals, client.renewals > 0) == (0, True)
    client.last_failure_ms = clock.now_ms()
    client.result = Ok(5)
    await advance(1)
    assert watch.renewals == 1


async def test_watch_that_was_sent_after_the_failure_stays(probed):
    """Guards against renewing watches again and again."""
    clock, client, watch, advance = probed
    client.last_failure_ms = clock.now_ms()
    watch.waiting_since_ms = client.last_failure_ms + 1.0
    await advance(3)
    assert watch.renewals == 0


async def test_watch_behind_an_earlier_revision_is_verified(probed):
    """Guards against a change whose only response was lost."""
    _, client, watch, advance = probed
    await advance(2)
    assert watch.verifications == 0
    client.result = Ok(6)
    await advance(2)
    assert watch.verifications == 1


async def test_store_is_not_probed_while_no_watch_waits(probed):
    """Guards against calls that find nothing out."""
    _, client, watch, advance = probed
    watch.waiting_since_ms = None
    await advance(3)
    assert client.probes == 0


async def test_used_up_budget_does_not_renew_connections(probed):
    """Guards against taking a missing call for a silent store."""
    _, client, _, advance = probed
    client.result = Error(StoreBudgetError("used up"))
    await advance(2)
    assert client.probes > 0
    assert client.renewals == 0


async def test_watch_of_a_mesh_node_that_is_not_answered_is_renewed():
    """Guards against a set that a node misses while its watch is silent."""
    async with store_and_client(watch_seconds=60.0) as (store, client):
        manager = ConfigManager()
        watcher = ConfigWatcher(client, manager, lambda: True, Clock())
        service = WatchProbe(client, Clock(), (watcher,))
        await watcher.start()
        store.set_stalled(True, ("watch",))
        await wait_until(lambda: watcher.waiting_since_ms is not None)
        await service.start()
        store.set_down(True)
        await client.get("kind/one")
        store.faults.down = False
        await FileSetApplier(client, Clock()).apply(
            make_files("pipes"), 0, "ann"
        )
        await wait_until(lambda: manager.current_by_team)
        await service.stop()
        await watcher.stop()


@pytest.mark.parametrize(
    ("status", "is_available"), [(200, True), (404, True), (503, False)]
)
async def test_probe_tells_whether_the_store_answers(status, is_available):
    """Guards against taking an unknown kind for a store that is away."""
    async with store_and_client() as (_, client):

        async def read(*_arguments):
            body = b'{"objects": [], "revision": 4}'
            return Ok(StoreResponse(status, 0, body))

        client._read = read
        assert (await client.probe()).is_ok() is is_available


async def test_listings_of_an_outage_are_preceded_by_cheap_reads():
    """Guards against full listings repeated by all nodes during an outage."""
    clock = ManualClock()
    client = StoreClient(
        StoreSettings(), clock, random.Random(1), objects.DIALECT
    )
    status = 503
    sent = []

    async def read(request, *_arguments):
        sent.append("staleOk" in request.query)
        return Ok(StoreResponse(status, 0, b'{"items": [], "currentRev": 4}'))

    client._read = read
    for _ in range(3):
        assert (await client.list_all("config/")).is_error()
        clock.advance(500.0)
    # Before the first failure nothing speaks against a listing.
    assert sent == [False, True, True]
    status = 200
    assert (await client.list_all("config/")).is_ok()
    assert (await client.list_all("config/")).is_ok()
    assert sent[3:] == [True, False, False]
