"""Ledger of run-once calls: runs each idempotency key at most once.

Only the ledger that issued a key, or the single successor that adopted it,
starts its call, and it records the run before the start. The guarantee does not
depend on the store, on leases or on clocks.
"""

import asyncio
import collections
import functools
from collections.abc import Awaitable, Callable

from expression import Error, Ok, Result

from celeryfield.internal.calls import (
    CallResult,
    Outcome,
    Reason,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.idempotency import (
    handover,
    handover_checks,
    keys,
)
from celeryfield.internal.idempotency.entries import (
    AnswerCache,
    Entry,
    make_repeat_answer,
)
from celeryfield.internal.idempotency.handover import HandoverError, Issuer
from celeryfield.internal.idempotency.keys import (
    InvalidKeyError,
    KeyOwner,
    LedgerError,
)
from celeryfield.internal.idempotency.ledger_clock import LedgerClock
from celeryfield.internal.idempotency.results import (
    key_unknown_result,
    ledger_closed_result,
    run_result,
)
from celeryfield.internal.schema.ledger import LedgerSnapshot
from celeryfield.internal.schema.settings import NodeSettings

StartCall = Callable[[], Awaitable[CallResult]]

KEY_MISMATCH_STATUS = 422


class KeyLedger:
    """Issues keys and runs each of them at most once.

    An entry is kept for the lifetime of a key after its run has ended. Since a
    run ends after its key was issued, the entry outlives the key.

    Args:
        settings: Settings of the node.
        clock: Time.
        node_id: Id of this node.
        incarnation: Incarnation of this node.

    Raises:
        LedgerError: Keys cannot contain the node id.
    """

    def __init__(
        self,
        settings: NodeSettings,
        clock: Clock,
        node_id: str,
        incarnation: int,
    ) -> None:
        keys.check_node_id(node_id)
        self._settings = settings.idempotency
        self._ledger_clock = LedgerClock(clock)
        self._owner = KeyOwner(node_id, incarnation)
        self._own_issuer = Issuer(
            self._owner, keys.new_secret(), int(self._settings.key_ttl_ms)
        )
        self._issuers_by_owner = {self._owner: self._own_issuer}
        self._entries_by_key: dict[str, Entry] = {}
        self._expiry_queue: collections.deque[tuple[int, str]] = (
            collections.deque()
        )
        self._answer_cache = AnswerCache(self._settings)
        self._running_count = 0
        self._closed = False

    @property
    def owner(self) -> KeyOwner:
        """The incarnation that this ledger issues keys for."""
        return self._owner

    @property
    def is_idle(self) -> bool:
        """Whether no call is running."""
        return self._running_count == 0

    @property
    def entry_count(self) -> int:
        """Number of running and finished runs in the ledger."""
        return len(self._entries_by_key)

    def issue(self) -> str:
        """Returns a new key.

        Raises:
            LedgerError: The ledger is closed.
        """
        return self.issue_many(1)[0]

    def issue_many(self, count: int) -> list[str]:
        """Returns ``count`` new keys.

        Raises:
            LedgerError: The ledger is closed.
        """
        if self._closed:
            message = "the ledger is closed; ask another node for a key"
            raise LedgerError(message)
        now_ms = self._ledger_clock.now_ms()
        secret = self._own_issuer.secret
        return [
            keys.issue_key(self._owner, secret, now_ms) for _ in range(count)
        ]

    def parse_owner(self, key: str) -> Result[KeyOwner, InvalidKeyError]:
        """Returns the owner that a key names, without checking the MAC."""
        return keys.parse_key(key).map(lambda parsed: parsed.owner)

    def serves(self, owner: KeyOwner) -> bool:
        """Returns whether this ledger runs the keys of ``owner``."""
        return not self._closed and owner in self._issuers_by_owner

    async def run_once(
        self, key: str, fingerprint: bytes, start: StartCall
    ) -> CallResult:
        """Starts the call unless its key ran before.

        A request with the same key and fingerprint waits for the running call
        or gets the stored answer. The outcome ``not-run`` frees the key; every
        other outcome is final. Cancelling this coroutine affects neither the
        run nor its other waiters.

        Args:
            key: Key of the request.
            fingerprint: Hash of the request.
            start: Dispatches the call; an exception counts as ``unknown``.
        """
        if self._closed:
            return ledger_closed_result()
        self.expire_entries()
        entry = self._entries_by_key.get(key)
        if entry is None:
            return await self._run_new_key(key, fingerprint, start)
        if entry.fingerprint != fingerprint:
            return not_run_result(Reason.KEY_MISMATCH, KEY_MISMATCH_STATUS)
        if entry.result_future is None:
            return make_repeat_answer(entry.answer)
        return make_repeat_answer(await asyncio.shield(entry.result_future))

    def expire_entries(self) -> None:
        """Removes finished runs whose keys have expired; call once a second."""
        now_ms = self._ledger_clock.now_ms()
        while self._expiry_queue and self._expiry_queue[0][0] <= now_ms:
            _, key = self._expiry_queue.popleft()
            self._answer_cache.release(self._entries_by_key.pop(key))

    def close_and_export(
        self, successor: KeyOwner
    ) -> Result[LedgerSnapshot, HandoverError]:
        """Closes the ledger for good and returns a snapshot for ``successor``.

        Only ``successor`` can adopt the snapshot; see ``handover``. The ledger
        stays open and an error is returned if calls are running.
        """
        refusal = handover_checks.check_export(
            self._owner, successor, self._closed, self._running_count
        )
        if refusal is not None:
            return Error(refusal)
        self.expire_entries()
        self._close()
        snapshot = handover.encode_snapshot(
            successor,
            self._issuers_by_owner.values(),
            {key: self._entries_by_key[key] for _, key in self._expiry_queue},
            self._ledger_clock.now_ms(),
        )
        return Ok(snapshot)

    def adopt(self, snapshot: LedgerSnapshot) -> Result[None, HandoverError]:
        """Adopts the keys and runs in a snapshot of a stopped incarnation.

        If an error is returned, nothing was changed.
        """
        self.expire_entries()
        content = handover.decode_snapshot(
            snapshot, self._own_issuer.key_ttl_ms, self._ledger_clock.now_ms()
        )
        if content.is_error():
            return Error(content.error)
        adopter = handover_checks.Adopter(
            self._owner,
            self._closed,
            self._issuers_by_owner,
            len(self._entries_by_key),
            self._settings.max_entries,
        )
        refusal = handover_checks.check_adoption(snapshot, content.ok, adopter)
        if refusal is not None:
            return Error(refusal)
        for key, run in content.ok.runs_by_key.items():
            entry = Entry(run.fingerprint)
            self._entries_by_key[key] = entry
            self._store_result(key, entry, run.result)
        for issuer in content.ok.issuers:
            self._issuers_by_owner[issuer.owner] = issuer
        return Ok(None)

    async def _run_new_key(
        self, key: str, fingerprint: bytes, start: StartCall
    ) -> CallResult:
        key_expiry_ms = self._key_expiry_ms(key)
        if key_expiry_ms is None:
            return key_unknown_result()
        if len(self._entries_by_key) >= self._settings.max_entries:
            return not_run_result(Reason.OVERLOAD)
        entry = self._add_running_entry(key, fingerprint)
        run = self._run(key_expiry_ms, start)
        entry.task = asyncio.create_task(run)
        entry.task.add_done_callback(
            functools.partial(self._on_run_done, key, entry)
        )
        return await asyncio.shield(entry.result_future)

    def _key_expiry_ms(self, key: str) -> int | None:
        """Returns the expiry time of a key; None if it is not usable here."""
        parsed = keys.parse_key(key)
        if parsed.is_error():
            return None
        issuer = self._issuers_by_owner.get(parsed.ok.owner)
        if issuer is None or not keys.is_authentic(parsed.ok, issuer.secret):
            return None
        issued_ms = parsed.ok.issued_ms - issuer.clock_offset_ms
        expiry_ms = issued_ms + issuer.key_ttl_ms
        # An entry outlives its key only if the run ends after the key was
        # issued, so a key that was issued in the future must not run.
        is_usable = issued_ms <= self._ledger_clock.now_ms() < expiry_ms
        return expiry_ms if is_usable else None

    def _add_running_entry(self, key: str, fingerprint: bytes) -> Entry:
        entry = Entry(fingerprint, asyncio.get_running_loop().create_future())
        self._entries_by_key[key] = entry
        self._running_count += 1
        return entry

    async def _run(self, key_expiry_ms: int, start: StartCall) -> CallResult:
        # The process may have been paused since the key was checked.
        if self._ledger_clock.now_ms() >= key_expiry_ms:
            return not_run_result(Reason.DEADLINE)
        return await start()

    def _on_run_done(
        self, key: str, entry: Entry, task: asyncio.Task[CallResult]
    ) -> None:
        result = run_result(task)
        result_future = entry.result_future
        entry.result_future = entry.task = None
        self._running_count -= 1
        if self._frees_key(result):
            del self._entries_by_key[key]
        else:
            self._store_result(key, entry, result)
        result_future.set_result(result)

    def _frees_key(self, result: CallResult) -> bool:
        return result.outcome is Outcome.NOT_RUN

    def _store_result(self, key: str, entry: Entry, result: CallResult) -> None:
        self._answer_cache.store(entry, result)
        expires_ms = self._ledger_clock.now_ms() + self._entry_ttl_ms()
        self._expiry_queue.append((expires_ms, key))

    def _entry_ttl_ms(self) -> int:
        return self._own_issuer.key_ttl_ms

    def _close(self) -> None:
        self._closed = True
