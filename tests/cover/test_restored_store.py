"""A store that comes back from an older copy of its content."""

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from store_helpers import (
    InstantClock,
    make_client,
    make_files,
    store_and_client,
    wait_until,
)

from celeryfield.internal.config import fileset
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.config.versions import REVISION_BITS, make_version
from celeryfield.internal.schema import wire
from celeryfield.internal.store.applier import (
    ApplyConflictError,
    ApplyUnknownError,
    FileSetApplier,
)
from celeryfield.internal.store.errors import StoreUnavailableError
from celeryfield.internal.store.stored_sets import CONFIG_PREFIX
from celeryfield.internal.store.watcher import ConfigWatcher
from celeryfield.standins.platform import PlatformStore

KEY = "kind/one"
# An apply writes the set and its history.
WRITES_PER_APPLY = 2
PLACES = st.tuples(st.integers(1, 5_000), st.integers(1, 2**REVISION_BITS - 1))


def make_watcher(client):
    """Returns a watcher of a node that holds a lease, and its manager."""
    manager = ConfigManager()
    watcher = ConfigWatcher(client, manager, lambda: True, InstantClock())
    return watcher, manager


def description_in_force(manager, team="pipes"):
    return manager.current_by_team[team].sections.fileset.description


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


async def test_set_applied_after_a_restore_comes_into_force():
    """Guards against a confirmed change that every node ignores for good.

    The lost set was in force, and the new one gets the same revision. The older
    copy in the store must not come into force meanwhile.
    """
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        watcher, manager = make_watcher(client)
        first = (await applier.apply(make_files("pipes"), 0, "ann")).ok
        await applier.apply(make_files("pipes", "lost"), first.version, "ann")
        await watcher.read_all()
        store.restore(WRITES_PER_APPLY)
        await watcher.read_all()
        assert description_in_force(manager) == "lost"
        base = (await applier.current_version("pipes")).ok
        assert base == first.version
        again = await applier.apply(make_files("pipes", "again"), base, "ann")
        await watcher.read_all()
        assert description_in_force(manager) == "again"
        assert manager.versions_by_team == {"pipes": again.ok.version}


async def test_lost_version_is_no_base_for_a_set_with_its_revision():
    """Guards against overwriting a set that the operator has not reviewed."""
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        first = (await applier.apply(make_files("pipes"), 0, "ann")).ok
        reviewed = await applier.apply(
            make_files("pipes", "lost"), first.version, "ann"
        )
        store.restore(WRITES_PER_APPLY)
        await client.get(KEY)
        base = first.version
        other = await applier.apply(make_files("pipes", "other"), base, "bob")
        refused = await applier.apply(
            make_files("pipes", "mine"), reviewed.ok.version, "ann"
        )
        assert isinstance(refused.error, ApplyConflictError)
        assert refused.error.current_version == other.ok.version


async def test_later_generations_keep_write_records_and_claims():
    """Guards against write records of versions, which the store never had.

    Also guards against a team that loses a name to itself: its claim must keep
    the version at which it began.
    """
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        first = (await applier.apply(make_files("pipes"), 0, "ann")).ok
        store.restore(0)
        await client.get(KEY)
        versions = [first.version]
        for _ in range(2):
            applied = await applier.apply(
                make_files("pipes"), versions[-1], "ann"
            )
            versions.append(applied.ok.version)
        stored = store.objects_by_key[f"{CONFIG_PREFIX}pipes"]
        message = wire.FileSet.decode(stored.value)
        # The revisions between them are those of the history.
        assert [record.version for record in message.earlier_writes] == [
            stored.version - 2,
            stored.version - 4,
            0,
        ]
        assert {claim.since_version for claim in message.claims} == {
            first.version
        }
        history = (await applier.history("pipes")).ok
        assert [entry.version for entry in history] == versions[::-1]


async def test_sets_of_earlier_builds_can_be_read_and_replaced():
    """Guards against stored sets that no node can use after an upgrade."""
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        watcher, manager = make_watcher(client)
        old = fileset.compile_files(make_files("pipes")).ok.message
        assert old.generation == 0
        put = await client.put(f"{CONFIG_PREFIX}pipes", old.encode(), 0)
        await watcher.read_all()
        assert manager.versions_by_team == {"pipes": put.ok.version}
        store.restore(0)
        await client.get(KEY)
        changed = await applier.apply(
            make_files("pipes", "two"), put.ok.version, "ann"
        )
        await watcher.read_all()
        assert manager.versions_by_team == {"pipes": changed.ok.version}


async def test_versions_before_the_first_restore_are_revisions():
    """Guards against a fleet of two builds that orders sets in two ways."""
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        for store.generation in (None, 1):
            base = (await applier.current_version("pipes")).ok
            applied = await applier.apply(make_files("pipes"), base, "ann")
            stored = store.objects_by_key[f"{CONFIG_PREFIX}pipes"]
            assert applied.ok.version == stored.version


async def test_peer_of_an_earlier_build_passes_a_set_on_with_its_version():
    """Guards against a version that is computed from a relayed message."""
    relayed = fileset.compile_files(make_files("pipes")).ok.message
    relayed.version = make_version(2, 7)
    received = wire.FileSet.decode(relayed.encode())
    assert fileset.from_wire(received).ok.version == make_version(2, 7)


@given(PLACES, PLACES)
def test_versions_are_ordered_by_generation_and_then_by_revision(first, second):
    """Guards against an order that a high revision can break."""
    versions = (make_version(*first), make_version(*second))
    assert (versions[0] < versions[1]) == (first < second)
    assert (versions[0] == versions[1]) == (first == second)
    assert max(versions) < 2**53


@pytest.mark.parametrize("noticed_by", ["the watch", "another call"])
async def test_changes_below_lost_revisions_are_not_missed(noticed_by):
    """Guards against a watch that waits for revisions above lost ones."""
    async with store_and_client() as (store, client):
        store.faults.longest_wait_ms = 0
        applier = FileSetApplier(client, InstantClock())
        operator = make_client(store)
        watcher, manager = make_watcher(client)
        for index in range(4):
            await applier.apply(make_files(f"team{index}"), 0, "ann")
        assert await watcher.watch_once()
        store.restore(3 * WRITES_PER_APPLY)
        # The operator's call does not tell the node of the restore.
        await FileSetApplier(operator, InstantClock()).apply(
            make_files("pipes"), 0, "ann"
        )
        await operator.close()
        if noticed_by == "another call":
            await client.get(KEY)
        assert await watcher.watch_once()
        assert description_in_force(manager) == "first"
        # Later changes are watched from the revisions of the new generation.
        lists = store.calls_by_kind["list"]
        await applier.apply(make_files("bells"), 0, "ann")
        assert await watcher.watch_once()
        assert description_in_force(manager, "bells") == "first"
        assert store.calls_by_kind["list"] == lists + 1  # The applier's.


async def test_waiting_watch_ends_when_another_call_finds_a_restore():
    """Guards against a change that nodes learn only when a watch runs out."""
    async with store_and_client(watch_seconds=60.0) as (store, client):
        applier = FileSetApplier(client, InstantClock())
        watcher, manager = make_watcher(client)
        await applier.apply(make_files("bells"), 0, "ann")
        await watcher.read_all()
        waiting = asyncio.create_task(watcher.watch_once())
        await wait_until(lambda: store.calls_by_kind["watch"] == 1)
        store.drop_watches = lambda: None  # The connection is not cut.
        store.restore(WRITES_PER_APPLY)
        # One write less than before, so that its revision was seen already.
        message = fileset.compile_files(make_files("pipes")).ok.message
        key = f"{CONFIG_PREFIX}pipes"
        assert (await client.put(key, message.encode(), 0)).is_ok()
        await wait_until(waiting.done)
        assert waiting.result()
        assert description_in_force(manager) == "first"
        del store.drop_watches


async def test_set_that_a_stopped_watch_missed_is_read_after_a_failed_list():
    """Guards against a restore that is forgotten when the listing fails."""
    async with store_and_client() as (store, client):
        store.faults.longest_wait_ms = 0
        watcher, manager = make_watcher(client)
        applier = FileSetApplier(client, InstantClock())
        await applier.apply(make_files("bells"), 0, "ann")
        await watcher.read_all()
        store.restore(WRITES_PER_APPLY)
        await applier.apply(make_files("pipes"), 0, "ann")
        store.set_down(True)
        assert not await watcher.watch_once()
        store.set_down(False)
        assert await watcher.watch_once()
        assert description_in_force(manager) == "first"


async def restore_during_the_write(store, held, writes, other_set=None):
    """Restores the store before or after the next write takes effect."""
    puts = store.calls_by_kind["put"]
    store.set_stalled(True, [held])
    if held == "put":
        await wait_until(lambda: store.calls_by_kind["put"] > puts)
    else:
        store.lose_answers(1)  # The writer reads the object back.
        gets = store.calls_by_kind["get"]
        await wait_until(lambda: store.calls_by_kind["get"] > gets)
    store.restore(writes)
    if other_set is not None:
        stored = store.objects_by_key[f"{CONFIG_PREFIX}pipes"]
        store.revision += 1
        stored.version = store.revision
        stored.value = other_set.encode()
    store.set_stalled(False)


RESTORES = {
    "write reaches the restored store": ("put", 0, False),
    "write is lost before it is read back": ("get", 1, False),
    "write survives in the copy": ("get", 0, False),
    "write meets another set": ("put", 0, True),
    "write is lost and another set follows": ("get", 1, True),
}


@pytest.mark.parametrize("name", RESTORES)
async def test_set_applied_during_a_restore_has_an_unknown_outcome(name):
    """Guards against a report of success or conflict that may be wrong.

    A set that reaches the restored store names the earlier generation, so the
    lost set of the same revision may stay in force instead.
    """
    held, writes, has_other_set = RESTORES[name]
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        first = (await applier.apply(make_files("pipes"), 0, "ann")).ok
        other = fileset.compile_files(make_files("pipes", "other")).ok.message
        task = asyncio.create_task(
            applier.apply(make_files("pipes", "two"), first.version, "ann")
        )
        await restore_during_the_write(
            store, held, writes, other if has_other_set else None
        )
        assert isinstance((await task).error, ApplyUnknownError)
        base = (await applier.current_version("pipes")).ok
        again = await applier.apply(make_files("pipes", "two"), base, "ann")
        assert again.ok.version >= make_version(2, 1)


async def test_set_written_before_a_restore_has_an_unknown_outcome():
    """Guards against a success that the store lost before it was reported."""
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        store.set_stalled(True, ["get"])  # The history is read after the write.
        task = asyncio.create_task(applier.apply(make_files("pipes"), 0, "a"))
        await wait_until(lambda: store.calls_by_kind["get"] == 1)
        store.restore(1)
        store.set_stalled(False)
        assert isinstance((await task).error, ApplyUnknownError)
        assert (await applier.current_version("pipes")).ok == 0


async def test_lost_set_in_force_is_reported_until_it_is_replaced(caplog):
    """Guards against a lost set that the operator does not learn of."""
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        watcher, manager = make_watcher(client)
        first = (await applier.apply(make_files("pipes"), 0, "ann")).ok
        lost = await applier.apply(
            make_files("pipes", "lost"), first.version, "ann"
        )
        await applier.apply(make_files("bells"), 0, "ann")
        await watcher.read_all()
        assert manager.stored_versions_of_lost == {}
        store.restore(2 * WRITES_PER_APPLY)
        for _ in range(2):
            await watcher.read_all()
            assert manager.stored_versions_of_lost == {
                "pipes": first.version,
                "bells": 0,
            }
        lines = [
            record.__dict__
            for record in caplog.records
            if record.getMessage() == "file set lost by the store"
        ]
        assert sorted(line["team"] for line in lines) == ["bells", "pipes"]
        assert lost.ok.version in [line["version"] for line in lines]
        again = await applier.apply(
            make_files("pipes", "again"), first.version, "ann"
        )
        manager.apply_if_newer(again.ok)
        assert manager.stored_versions_of_lost == {"bells": 0}
        # A listing that is older than a set from a peer reports nothing.
        manager.find_lost_sets({"bells": 9, "pipes": first.version}, 2)
        assert manager.stored_versions_of_lost == {}
