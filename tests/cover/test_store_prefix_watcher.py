"""Tests of the prefix watcher with failed and incomplete watches."""

import asyncio

from expression import Error, Ok

from celeryfield.internal.clock import Clock, ManualClock
from celeryfield.internal.store.errors import (
    StoreHistoryLostError,
    StoreUnavailableError,
)
from celeryfield.internal.store.prefix_watcher import PrefixWatcher
from celeryfield.internal.store.responses import StoreListing, StoreObject


class NoDelay:
    def next_delay_ms(self):
        return 0.0

    def reset(self):
        pass


class ScriptedClient:
    """Answers lists with the newest object and watches from a script."""

    def __init__(self, watches):
        self.version = 1
        self.generation = None
        self.callbacks = []
        self.lists = 0
        self.watches = list(watches)
        self.exhausted = asyncio.Event()

    def new_backoff(self):
        return NoDelay()

    def subscribe_generation(self, callback):
        self.callbacks.append(callback)

    def restore(self, version):
        """Shows a restored store in the response to another call."""
        self.version = version
        self.generation += 1
        for callback in self.callbacks:
            callback(self.generation)

    async def list_all(self, _prefix):
        self.lists += 1
        stored_object = StoreObject("config/main", self.version, b"")
        return Ok(
            StoreListing(
                (stored_object,), self.version, generation=self.generation
            )
        )

    async def watch_changes(self, _prefix, _after):
        if not self.watches:
            self.exhausted.set()
            await asyncio.Event().wait()
        return self.watches.pop(0)


async def versions_seen(client):
    seen = []

    def record_versions(listing):
        seen.extend(stored_object.version for stored_object in listing.objects)

    watcher = PrefixWatcher(
        client, Clock(), "config/", record_versions, record_versions
    )
    await watcher.start()
    await asyncio.wait_for(client.exhausted.wait(), 5)
    await watcher.stop()
    return seen


async def test_failed_watch_is_followed_by_a_listing():
    """Guards against changes that are missed after a failed watch.

    The store may drop its history meanwhile. A watch from the old revision
    then waits although it has missed changes.
    """
    client = ScriptedClient([Error(StoreUnavailableError("reset"))])
    await versions_seen(client)
    assert client.lists == 2


async def test_lost_history_is_followed_by_a_listing():
    """Guards against watches from a revision that the store has dropped."""
    client = ScriptedClient([Error(StoreHistoryLostError("gone"))])
    await versions_seen(client)
    assert client.lists == 2


async def test_watch_without_changes_is_followed_by_a_listing():
    """Guards against a watch that waits although it has missed changes."""
    client = ScriptedClient([Ok(StoreListing((), 9))])
    await versions_seen(client)
    assert client.lists == 2


async def test_changes_are_followed_by_the_next_watch():
    """Guards against a full listing after every change."""
    changed = StoreObject("config/main", 2, b"")
    client = ScriptedClient([Ok(StoreListing((changed,), 2))])
    assert await versions_seen(client) == [1, 2]
    assert client.lists == 1


async def test_availability_time_restarts_after_a_failure():
    """Guards against hiding an outage from those that wait for stability."""

    class OutageClient(ScriptedClient):
        async def list_all(self, prefix):
            if self.lists == 2:
                self.exhausted.set()
                await asyncio.Event().wait()
            return await super().list_all(prefix)

    def ignore(_listing):
        pass

    lost_history = Error(StoreHistoryLostError("gone"))
    clock = ManualClock()
    client = OutageClient([lost_history, Error(StoreUnavailableError("down"))])
    watcher = PrefixWatcher(client, clock, "config/", ignore, ignore)
    assert watcher.available_since_ms is None
    await watcher.start()
    seen = set()
    while not client.exhausted.is_set():
        seen.add(watcher.available_since_ms)
        clock.advance(1_000.0)
        await asyncio.sleep(0)
    await asyncio.sleep(0)
    assert watcher.available_since_ms is None
    # A store that dropped its history was available throughout.
    assert len(seen - {None}) == 1
    await watcher.stop()


async def test_changes_during_the_delay_take_one_watch():
    """Guards against a watch per change at each node of a large fleet.

    Every node watches every record, so calls would grow with the square of
    the number of nodes during a rolling restart.
    """

    class ChangingClient(ScriptedClient):
        calls = 0

        async def watch_changes(self, _prefix, _after):
            self.calls += 1
            self.version += 1
            changed = StoreObject("nodes/a", self.version, b"")
            return Ok(StoreListing((changed,), self.version))

    def ignore(_listing):
        pass

    clock = ManualClock()
    client = ChangingClient([])
    watcher = PrefixWatcher(
        client, clock, "nodes/", ignore, ignore, lambda: 1_000.0
    )
    await watcher.start()
    for _ in range(100):
        for _ in range(5):
            await asyncio.sleep(0)
        clock.advance(100.0)
    # Ten seconds with a change at any time; the delay is at least 0.8 s.
    assert 9 <= client.calls <= 13
    await watcher.stop()


async def test_unexpected_error_is_followed_by_a_listing():
    """Guards against a node that ends because it cannot apply one object."""
    changed = StoreObject("config/main", 2, b"")
    client = ScriptedClient([Ok(StoreListing((changed,), 2))])
    seen = []

    def fail(_listing):
        raise RecursionError("object nested too deeply")

    clock = ManualClock()
    watcher = PrefixWatcher(client, clock, "config/", seen.append, fail)
    await watcher.start()
    while not client.exhausted.is_set():
        clock.advance(100.0)
        await asyncio.sleep(0)
    assert not watcher.crashed
    assert len(seen) == client.lists == 2
    await watcher.stop()


def ignore(_listing):
    pass


async def run_until_idle():
    for _ in range(20):
        await asyncio.sleep(0)


def restored_client(watches=()):
    client = ScriptedClient(watches)
    client.generation = 1
    return client


async def test_waiting_watch_is_given_up_once_the_store_was_restored():
    """Guards against changes missed because revisions are given out again.

    The store cannot tell that a watch from a higher revision misses changes
    that it made again. The configuration is listed without any delay.
    """
    client = restored_client()
    clock = ManualClock()
    watcher = PrefixWatcher(client, clock, "config/", ignore, ignore)
    await watcher.start()
    await run_until_idle()
    for generation in (2, 3):
        clock.advance(100.0)
        await run_until_idle()
        assert client.exhausted.is_set()
        clock.advance(1_000.0)
        client.restore(version=1)
        assert watcher.available_since_ms is None
        await run_until_idle()
        assert client.lists == generation
        assert watcher.available_since_ms == clock.now_ms()
    await watcher.stop()


async def test_delay_before_a_watch_ends_once_the_store_was_restored():
    """Guards against a watch that starts from a revision of a lost history."""
    client = restored_client()
    watcher = PrefixWatcher(client, ManualClock(), "config/", ignore, ignore)
    await watcher.start()
    await run_until_idle()
    client.restore(version=1)
    await run_until_idle()
    assert client.lists == 2
    assert not client.exhausted.is_set()
    await watcher.stop()


async def test_changes_of_another_generation_are_replaced_by_a_listing():
    """Guards against changes of a new history applied to the state of an old.

    They lack what was lost and what changed below the watched revision.
    """
    changed = StoreObject("config/main", 2, b"")
    changes = Ok(StoreListing((changed,), 2, generation=2))
    client = restored_client([changes])
    seen = []
    clock = ManualClock()
    watcher = PrefixWatcher(client, clock, "config/", ignore, seen.append)
    await watcher.start()
    await run_until_idle()
    client.generation = 2
    clock.advance(100.0)
    await run_until_idle()
    assert (client.lists, seen) == (2, [])
    await watcher.stop()


async def test_listings_of_a_restored_store_can_be_spread():
    """Guards against a large fleet that lists all records at one moment."""
    client = restored_client()
    clock = ManualClock()
    watchers = [
        PrefixWatcher(
            client,
            clock,
            "nodes/",
            ignore,
            ignore,
            restored_delay_ms=lambda: 1_000.0,
        )
        for _ in range(20)
    ]
    for watcher in watchers:
        await watcher.start()
    await run_until_idle()
    client.restore(version=1)
    await run_until_idle()
    assert client.lists == 20
    clock.advance(500.0)
    await run_until_idle()
    assert 20 < client.lists < 40
    clock.advance(500.0)
    await run_until_idle()
    assert client.lists == 40
    for watcher in watchers:
        await watcher.stop()
