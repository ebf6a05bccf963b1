import asyncio

import pytest
from expression import Error
from store_helpers import (
    InstantClock,
    make_client,
    make_files,
    store_and_client,
    wait_until,
)

from celeryfield.internal.clock import ManualClock
from celeryfield.internal.config.fileset import MAX_FILE_SET_BYTES
from celeryfield.internal.config.manager import ConfigManager
from celeryfield.internal.schema import wire
from celeryfield.internal.store import applier as applier_module
from celeryfield.internal.store.applier import FileSetApplier
from celeryfield.internal.store.budget import CallBudget
from celeryfield.internal.store.errors import (
    StoreConflictError,
    StoreOutcomeUnknownError,
    StoreRejectedError,
    StoreUnavailableError,
)
from celeryfield.internal.store.watcher import ConfigWatcher
from celeryfield.standins.platform import MAX_VALUE_BYTES, PlatformStore

KEY = "config/pipes"


async def test_reads_and_conditional_writes_of_an_object():
    """Guards against writes that ignore the expected version."""
    async with store_and_client() as (store, client):
        assert (await client.get(KEY)).ok is None
        first = (await client.put(KEY, b"a" * MAX_VALUE_BYTES, 0)).ok
        refused = (await client.put(KEY, b"b", 0)).error
        assert isinstance(refused, StoreConflictError)
        assert refused.current_version == first.version
        second = (await client.put(KEY, b"b", first.version)).ok
        assert second.version > first.version
        assert (await client.list("config/")).ok == [second]
        assert (await client.list("other/")).ok == []
        too_large = await client.put(KEY, b"b" * (MAX_VALUE_BYTES + 1), 2)
        assert isinstance(too_large.error, StoreRejectedError)
        assert store.calls_by_kind == {"get": 1, "put": 4, "list": 2}


@pytest.mark.parametrize("fault", ["cut off", "stalled"])
async def test_write_without_a_response_is_sent_once_and_has_unknown_outcome(
    fault,
):
    """Guards against aiohttp retrying a PUT on its own.

    The retry of a write that took effect fails with a conflict or a refused
    connection, and the write is reported as having had no effect.
    """
    async with store_and_client(timeout_ms=200) as (store, client):
        await client.get(KEY)  # The write reuses this connection.
        if fault == "cut off":
            store.lose_answers(1)
        else:
            store.set_stalled(True)
        result = await client.put(KEY, b"a", 0)
        assert isinstance(result.error, StoreOutcomeUnknownError)
        await wait_until(lambda: store.calls_by_kind["put"] > 0)
        assert store.calls_by_kind["put"] == 1


async def test_write_to_a_refused_connection_is_unavailable():
    """Guards against an unknown outcome for a write that was never sent."""
    async with store_and_client() as (store, client):
        await store.stop()
        result = await client.put(KEY, b"a", 0)
        assert isinstance(result.error, StoreUnavailableError)


async def test_failed_reads_are_unavailable():
    """Guards against reads whose outcome is reported as unknown."""
    async with store_and_client(timeout_ms=200) as (store, client):
        store.set_down(True)
        for _ in range(4):  # Covers error responses and closed connections.
            error = (await client.get(KEY)).error
            assert isinstance(error, StoreUnavailableError)
        store.set_down(False)
        store.set_stalled(True)
        error = (await client.list("config/")).error
        assert isinstance(error, StoreUnavailableError)
        store.set_stalled(False)


async def test_watch_returns_changes_and_can_be_repeated_after_an_error():
    """Guards against changes that are missed after a dropped watch."""
    async with store_and_client() as (store, client):
        written = (await client.put(KEY, b"a", 0)).ok
        assert (await client.watch("config/", 0)).ok == [written]
        waiting = asyncio.create_task(client.watch("config/", written.version))
        await wait_until(lambda: store.calls_by_kind["watch"] == 2)
        await client.put("other/x", b"x", 0)
        store.drop_watches()
        assert isinstance((await waiting).error, StoreUnavailableError)
        changed = (await client.put(KEY, b"b", written.version)).ok
        watched = await client.watch("config/", written.version)
        assert watched.ok == [changed]
        assert (await client.watch("config/", changed.version)).ok == []


async def test_budget_delays_calls_and_rejects_those_that_would_wait_too_long():
    """Guards against calls that exceed the rate limit of a node."""
    clock = ManualClock()
    budget = CallBudget(calls_per_second=2.0, burst=2, clock=clock)
    assert await budget.acquire(0)
    assert await budget.acquire(0)
    assert not await budget.acquire(499)
    waiting = asyncio.create_task(budget.acquire(500))
    await asyncio.sleep(0)
    assert not waiting.done()
    assert not await budget.acquire(999)  # The next token is reserved.
    clock.advance(500)
    assert await waiting


def encoded_set(write_id, *earlier):
    return wire.FileSet(
        team="pipes",
        write_id=write_id,
        earlier_writes=tuple(wire.WriteRecord(*pair) for pair in earlier),
    ).encode()


DECODE_WRITE_RECORDS = applier_module._decode_write_records


async def test_confirms_a_write_whose_response_was_lost():
    """Guards against a second write after the first one took effect."""
    async with store_and_client() as (store, client):
        store.lose_answers(1)
        result = await client.put_and_confirm(
            KEY, encoded_set("w"), 0, DECODE_WRITE_RECORDS
        )
        assert result.ok.version == 1
        assert store.calls_by_kind["put"] == 1


class StepBeforeRead:
    """Runs a step of another writer before each read."""

    def __init__(self, client, step):
        self._get = client.get
        self._step = step
        client.get = self.get

    async def get(self, key):
        await self._step()
        return await self._get(key)


@pytest.mark.parametrize(
    ("successor", "expected"),
    [
        (encoded_set("x", ("mine", 1), ("", 0)), "ok"),
        (encoded_set("x", ("other", 1), ("", 0)), StoreConflictError),
        (encoded_set("x", ("other", 1)), StoreOutcomeUnknownError),
        (b"broken", StoreOutcomeUnknownError),
    ],
)
async def test_superseded_write_is_confirmed_or_unknown(successor, expected):
    """Guards against reporting a superseded write as failed."""
    async with store_and_client() as (store, client):
        store.lose_answers(1)

        async def supersede():
            await make_client(store).put(KEY, successor, 1)

        StepBeforeRead(client, supersede)
        mine = encoded_set("mine", ("", 0))
        result = await client.put_and_confirm(
            KEY, mine, 0, DECODE_WRITE_RECORDS
        )
        if expected == "ok":
            assert result.ok.version == 1
        else:
            assert isinstance(result.error, expected)


async def test_write_that_arrives_late_is_not_reported_as_failed():
    """Guards against an unchanged version being taken as a failed write.

    The write may still be in transit when the object is read back.
    """
    async with store_and_client(timeout_ms=400) as (store, client):
        store.set_stalled(True, kinds=["put"])
        revisions_read = []

        async def release_at_second_read():
            revisions_read.append(store.revision)
            if len(revisions_read) == 2:
                store.set_stalled(False)

        StepBeforeRead(client, release_at_second_read)
        result = await client.put_and_confirm(
            KEY, encoded_set("w", ("", 0)), 0, DECODE_WRITE_RECORDS
        )
        assert revisions_read[:2] == [0, 0]
        assert result.ok.version == 1
        await wait_until(lambda: store.calls_by_kind["put"] >= 2)
        assert store.revision == 1


async def test_rejected_retry_leaves_the_outcome_unknown():
    """Guards against reporting that nothing was written.

    The retry is rejected while the first write may still take effect.
    """
    async with store_and_client() as (_, client):
        put_errors = [StoreOutcomeUnknownError("lost")]
        put_errors += [StoreUnavailableError("refused")] * 5

        async def put(*arguments):
            return Error(put_errors.pop(0))

        client.put = put
        result = await client.put_and_confirm(
            KEY, encoded_set("w"), 0, DECODE_WRITE_RECORDS
        )
        assert isinstance(result.error, StoreOutcomeUnknownError)


async def test_apply_conflict_contains_the_current_set_and_a_diff():
    """Guards against lost updates, and conflicts without their cause."""
    async with store_and_client() as (_, client):
        applier = FileSetApplier(client, InstantClock())
        first = (await applier.apply(make_files("pipes", "one"), 0, "ann")).ok
        late = (await applier.apply(make_files("pipes", "two"), 0, "bob")).error
        assert isinstance(late, applier_module.ApplyConflictError)
        assert late.current.version == first.version
        assert [str(change) for change in late.changes] == [
            "~ [fileset] description: one -> two"
        ]


async def test_apply_rejects_invalid_sets_and_names_of_other_teams():
    """Guards against writing sets that are invalid or redefine a name."""
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        assert (await applier.apply(make_files("pipes"), 0, "ann")).is_ok()
        taken = make_files("bells", extra="[service pipes-desk]\n")
        for rejected, key in ((taken, "service pipes-desk"), ((), "fileset")):
            error = (await applier.apply(rejected, 0, "bob")).error
            assert isinstance(error, applier_module.ApplyRejectedError)
            assert [p.section for p in error.problems] == [key]
        assert store.objects_by_key.keys() == {KEY, "history/pipes"}


async def test_apply_distinguishes_unavailable_from_unknown_outcome():
    """Guards against reporting a write that took effect as not done."""
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        store.set_down(True)
        down = (await applier.apply(make_files("pipes"), 0, "ann")).error
        assert isinstance(down, applier_module.ApplyUnavailableError)
        store.set_down(False)
        put = client.put

        async def put_then_outage(*arguments):
            store.lose_answers(1)
            result = await put(*arguments)
            store.set_down(True)
            return result

        client.put = put_then_outage
        lost = (await applier.apply(make_files("pipes"), 0, "ann")).error
        assert isinstance(lost, applier_module.ApplyUnknownError)
        assert store.revision == 1


async def test_claims_and_history_record_each_write_within_size_limits():
    """Guards against claims that lose their age and an oversized history."""
    async with store_and_client() as (store, client):
        applier = FileSetApplier(client, InstantClock())
        most = applier_module.MAX_HISTORY_SETS
        padding = "#" * (MAX_FILE_SET_BYTES - 1000)
        versions = [0]
        for index in range(most + 8):
            extra = f"[class added]\n{padding}" if index >= most else ""
            applied = await applier.apply(
                make_files("pipes", str(index), extra), versions[-1], "ann"
            )
            versions.append(applied.ok.version)
            history = (await applier.history("pipes")).ok
            kept = [entry.version for entry in history]
            assert kept == versions[: -len(kept) - 1 : -1]
            assert len(kept) == min(index + 1, most) or index > most
            stored = store.objects_by_key["history/pipes"]
            assert len(stored.value) < MAX_VALUE_BYTES
        assert 5 < len(kept) < most  # Fewer large sets fit into the value.
        assert applied.ok.since_version("class", "pipes-read") == versions[1]
        assert applied.ok.since_version("class", "added") == versions[most + 1]


async def test_invalid_stored_set_does_not_block_the_others():
    """Guards against one unusable file set that stops all updates."""
    async with store_and_client() as (_, client):
        applier = FileSetApplier(client, InstantClock())
        first = (await applier.apply(make_files("pipes"), 0, "ann")).ok
        manager = ConfigManager()
        watcher = ConfigWatcher(client, manager, lambda: True, InstantClock())
        assert await watcher.read_all()
        for value in (b"broken", encoded_set("w")):
            await client.put("config/aaa", value, 0)
            current = (await client.get(KEY)).ok.version
            await client.put(KEY, value, current)
            assert await watcher.watch_once()
        await applier.apply(make_files("bells"), 0, "bob")
        assert await watcher.watch_once()
        assert manager.versions_by_team.keys() == {"pipes", "bells"}
        assert manager.versions_by_team["pipes"] == first.version
        # Operators can replace an invalid set.
        current = (await client.get(KEY)).ok.version
        fixed = await applier.apply(make_files("pipes", "new"), current, "ann")
        assert await watcher.watch_once()
        assert manager.versions_by_team["pipes"] == fixed.ok.version


async def test_same_seed_produces_the_same_faults():
    """Guards against store faults that cannot be reproduced."""

    async def outcomes():
        store = PlatformStore(seed=7)
        await store.start()
        client = make_client(store)
        store.set_lost_answers(0.5)
        results = [(await client.put(f"k/{i}", b"", 0)) for i in range(20)]
        await client.close()
        await store.stop()
        return [result.is_ok() for result in results]

    first = await outcomes()
    assert first == await outcomes()
    assert len(set(first)) == 2


async def test_calls_are_counted_by_method_and_result():
    """Guards against store faults that do not appear in the metrics."""
    async with store_and_client(timeout_ms=200) as (store, client):
        first = (await client.put(KEY, b"a", 0)).ok
        await client.put(KEY, b"b", 0)
        await client.get(KEY)
        await client.list("config/")
        await client.watch("config/", 0)
        store.lose_answers(1)
        await client.put(KEY, b"c", first.version)
        store.set_stalled(True)
        await client.get(KEY)
        store.set_stalled(False)
        assert client.calls_by_result == {
            ("write", "ok"): 1,
            ("write", "conflict"): 1,
            ("write", "unknown"): 1,
            ("read", "ok"): 1,
            ("read", "unavailable"): 1,
            ("list", "ok"): 1,
            ("watch", "ok"): 1,
        }
        # The stand-in does not support deletes and rejects them as invalid.
        await client.delete(KEY, 999)
        assert client.calls_by_result["delete", "rejected"] == 1


async def test_used_up_budget_is_counted_separately():
    """Guards against a node's own rate limit counted as a store failure."""
    async with store_and_client(burst=1, timeout_ms=1) as (_, client):
        await client.get(KEY)
        result = await client.get(KEY)
        assert isinstance(result.error, StoreUnavailableError)
        assert client.calls_by_result["read", "budget"] == 1


async def test_only_a_working_store_updates_the_last_response_time():
    """Guards against errors that make outdated data appear fresh."""
    clock = ManualClock()
    store = PlatformStore(seed=1)
    await store.start()
    client = make_client(store, clock, timeout_ms=200)
    try:
        assert client.last_response_ms is None
        await client.get(KEY)
        last_response_ms = client.last_response_ms
        assert last_response_ms == clock.now_ms()
        clock.advance(5_000)
        store.set_down(True)
        for _ in range(4):  # Covers error responses and closed connections.
            await client.get(KEY)
        assert client.last_response_ms == last_response_ms
        store.set_down(False)
        await client.get(KEY)
        assert client.last_response_ms == clock.now_ms()
    finally:
        await client.close()
        await store.stop()
