"""What a watcher of the store does when watches mislead it."""

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
        self.lists = 0
        self.watches = list(watches)
        self.exhausted = asyncio.Event()

    def new_backoff(self):
        return NoDelay()

    async def list_all(self, _prefix):
        self.lists += 1
        found = StoreObject("config/main", self.version, b"")
        return Ok(StoreListing((found,), self.version))

    async def watch_changes(self, _prefix, _after):
        if not self.watches:
            self.exhausted.set()
            await asyncio.Event().wait()
        return self.watches.pop(0)


async def versions_seen(client):
    seen = []

    def take(listing):
        seen.extend(found.version for found in listing.objects)

    watcher = PrefixWatcher(client, Clock(), "config/", take, take)
    await watcher.start()
    await asyncio.wait_for(client.exhausted.wait(), 5)
    await watcher.stop()
    return seen


async def test_a_watch_that_was_cut_is_followed_by_a_listing():
    # After a cut the store dropped its history; a watch from the old revision
    # waited on without the changes that it had missed.
    client = ScriptedClient([Error(StoreUnavailableError("reset"))])
    await versions_seen(client)
    assert client.lists == 2


async def test_lost_history_is_followed_by_a_listing():
    client = ScriptedClient([Error(StoreHistoryLostError("gone"))])
    await versions_seen(client)
    assert client.lists == 2


async def test_a_wait_without_a_change_is_followed_by_a_listing():
    client = ScriptedClient([Ok(StoreListing((), 9))])
    await versions_seen(client)
    assert client.lists == 2


async def test_changes_are_followed_by_the_next_watch():
    changed = StoreObject("config/main", 2, b"")
    client = ScriptedClient([Ok(StoreListing((changed,), 2))])
    assert await versions_seen(client) == [1, 2]
    assert client.lists == 1


async def test_time_since_the_store_answers_begins_anew_after_a_failure():
    """Guards against an outage that those who wait for calm do not see."""

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
    # A store that dropped its history answered all the while.
    assert len(seen - {None}) == 1
    await watcher.stop()
