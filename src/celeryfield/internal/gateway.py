"""Connects routing, run-once calls, other nodes and the local upstream."""

import dataclasses
from collections.abc import Callable

from celeryfield.internal.calls import (
    CallResult,
    Candidate,
    Outcome,
    Reason,
    not_run_result,
)
from celeryfield.internal.clock import Clock
from celeryfield.internal.dispatch.dispatcher import Dispatcher
from celeryfield.internal.idempotency.keys import KeyOwner, LedgerError
from celeryfield.internal.idempotency.ledger import KeyLedger
from celeryfield.internal.idempotency.results import key_unknown_result
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.schema import wire
from celeryfield.internal.transport.pool import PeerPool
from celeryfield.internal.transport.server import RunState
from celeryfield.internal.upstream import headers

KEY_REQUIRED_STATUS = 428
# Repeating a request to the key owner is safe: the owner joins a repeat to the
# running call. The total time of the attempts allows gossip to spread a
# handover.
KEY_OWNER_ATTEMPTS = 5
KEY_OWNER_RETRY_MS = 200.0
_RETRYABLE_REASONS = frozenset(
    (Reason.CONNECTION_LOST, Reason.UNREACHABLE, Reason.DRAINING)
)

FindOwner = Callable[[KeyOwner], Candidate | None]


class Gateway:
    """Runs calls that enter at this node or arrive from other nodes.

    Args:
        clock: Time source.
        node_id: Id of this node.
        ledger: Records the calls of the keys that this node owns; None if no
            call needs a key.
        dispatcher: Runs calls on the local upstream.
        pool: Connections to other nodes.
        find_owner: Returns the address of the owner of a key, or None; follows
            planned handovers.
    """

    def __init__(
        self,
        clock: Clock,
        node_id: str,
        ledger: KeyLedger | None,
        dispatcher: Dispatcher,
        pool: PeerPool,
        find_owner: FindOwner,
    ) -> None:
        self._clock = clock
        self._node_id = node_id
        self._ledger = ledger
        self._dispatcher = dispatcher
        self._pool = pool
        self._find_owner = find_owner
        self._executor: CallExecutor | None = None

    def set_executor(self, executor: CallExecutor) -> None:
        """Sets the executor, which needs the gateway itself to send calls."""
        self._executor = executor

    async def call(self, call: wire.Call, body: bytes) -> CallResult:
        """Runs a call that entered at this node."""
        if not call.run_once:
            return await self._executor.execute(call, body)
        if not call.idempotency_key:
            return self._refuse_with_new_key()
        owner = self._ledger.parse_owner(call.idempotency_key)
        if owner.is_error():
            return not_run_result(Reason.BAD_REQUEST, 400)
        if self._ledger.serves(owner.ok):
            return await self._run_once(call, body)
        return await self._forward_to_owner(owner.ok, call, body)

    async def serve(
        self, call: wire.Call, body: bytes, state: RunState
    ) -> CallResult:
        """Runs a call that another node sent.

        Args:
            call: Call to run.
            body: Body of its request.
            state: Records whether the call may have started.
        """
        if not call.to_key_owner:
            return await self._dispatcher.run(call, body, state)
        # The sender must not treat a lost answer as "not run", since the
        # ledger may be running the call. It repeats the request with the same
        # key instead.
        state.started = True
        return await self._run_once(
            dataclasses.replace(call, to_key_owner=False), body
        )

    async def send(
        self, candidate: Candidate, call: wire.Call, body: bytes
    ) -> CallResult:
        """Sends one attempt to a candidate, which may be this node."""
        if candidate.node_id == self._node_id:
            return await self._dispatcher.run(call, body, RunState())
        return await self._pool.send(candidate, call, body)

    async def _run_once(self, call: wire.Call, body: bytes) -> CallResult:
        start_count = 0

        async def start() -> CallResult:
            nonlocal start_count
            start_count += 1
            return await self._executor.execute(call, body)

        result = await self._ledger.run_once(
            call.idempotency_key, call.fingerprint, start
        )
        if not start_count:
            self._executor.retries.record_resend(call.class_name)
        return result

    async def _forward_to_owner(
        self, owner: KeyOwner, call: wire.Call, body: bytes
    ) -> CallResult:
        """Forwards a call to the owner of its key, with retries."""
        deadline_ms = self._clock.now_ms() + call.deadline_left_ms
        for attempt in range(KEY_OWNER_ATTEMPTS):
            if attempt:
                await self._clock.sleep_ms(KEY_OWNER_RETRY_MS)
            candidate = self._find_owner(owner)
            left_ms = deadline_ms - self._clock.now_ms()
            if left_ms <= 0:
                break
            if candidate is None:
                continue
            # Each attempt has its own call id: the owner may still be serving
            # the previous attempt, and its transport does not run a second call
            # with the same id.
            request = dataclasses.replace(
                call,
                call_id=f"{call.call_id}.{attempt}",
                to_key_owner=True,
                deadline_left_ms=left_ms,
            )
            result = await self._pool.send(candidate, request, body)
            if result.reason in _RETRYABLE_REASONS:
                continue
            is_from_owner = result.load is not None
            if is_from_owner or result.outcome is not Outcome.NOT_RUN:
                return result
        # Even if the owner was unreachable the outcome is unknown: an earlier
        # request with this key may have run there.
        return key_unknown_result()

    def issue_keys(self, count: int) -> list[str]:
        """Returns new keys; an empty list if this node is stopping."""
        try:
            return self._ledger.issue_many(count)
        except LedgerError:
            return []

    def _refuse_with_new_key(self) -> CallResult:
        keys = self.issue_keys(1)
        if not keys:
            return not_run_result(Reason.DRAINING)
        result = not_run_result(Reason.KEY_REQUIRED, KEY_REQUIRED_STATUS)
        key = wire.Header(headers.IDEMPOTENCY_KEY, keys[0])
        return dataclasses.replace(result, headers=(key,))
