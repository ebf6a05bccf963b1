"""Embedded stand-in for the platform's object API with fault injection.

``GET /objects/KEY`` and ``PUT /objects/KEY?expected_version=N`` read and
conditionally write one object; the version travels in ``x-version``.
``GET /objects?prefix=P`` lists objects and
``GET /watch?prefix=P&after=R&wait_ms=W`` waits until an object under the
prefix has a version above R. Lists and watches return JSON with base64 values.
The generation of the store travels in ``x-store-generation``.
"""

import asyncio
import base64
import collections
import dataclasses
import random
from collections.abc import Collection

from aiohttp import web

MAX_VALUE_BYTES = 1_000_000
# aiohttp counts only the body against this limit, and a value of the full size
# must be accepted.
_CLIENT_MAX_BYTES = MAX_VALUE_BYTES + 1
MAX_WAIT_MS = 60_000
CALL_KINDS = ("get", "put", "list", "watch")
# Writes that a restore can take back.
MAX_UNDONE_WRITES = 1_000


@dataclasses.dataclass(slots=True)
class PlatformFaults:
    """Active faults; shares are probabilities per call, drawn with the seed.

    Attributes:
        down: Calls get 503 or a closed connection and have no effect.
        delay_ms: Longest delay before a call takes effect. Unit: ms.
        stalled_kinds: Kinds of call that are held before they take effect.
        lost_answer_share: Share of writes that take effect without a response.
        drop_watch_share: Share of watches that are aborted immediately.
        longest_wait_ms: Upper limit for the wait of a watch. Unit: ms.
    """

    down: bool = False
    delay_ms: float = 0.0
    stalled_kinds: frozenset[str] = frozenset()
    lost_answer_share: float = 0.0
    drop_watch_share: float = 0.0
    longest_wait_ms: float = MAX_WAIT_MS


@dataclasses.dataclass(slots=True)
class StoredObject:
    """One object of the store.

    Attributes:
        version: Revision of the last write.
        value: Content.
    """

    version: int
    value: bytes


class PlatformStore:
    """Serves the object API on a loopback port.

    Attributes:
        objects_by_key: Content of the store.
        revision: Revision of the last write; only a restore makes the store
            give revisions out again.
        generation: Rises with each restore; with None, responses have no
            generation, and nothing can be restored.
        calls_by_kind: Number of calls received, by ``CALL_KINDS``.
        faults: Active faults.
    """

    def __init__(self, seed: int = 0) -> None:
        self.objects_by_key: dict[str, StoredObject] = {}
        self.revision = 0
        self.generation: int | None = 1
        self.calls_by_kind: collections.Counter[str] = collections.Counter()
        self.faults = PlatformFaults()
        self._random = random.Random(seed)
        self._changed = asyncio.Event()
        self._unstalled = asyncio.Event()
        self._unstalled.set()
        # Key and previous object of each write, the latest last.
        self._undo_log: collections.deque[tuple[str, StoredObject | None]] = (
            collections.deque(maxlen=MAX_UNDONE_WRITES)
        )
        self._watch_transports: set[asyncio.BaseTransport] = set()
        self._lost_answers_due = 0
        self._runner: web.AppRunner | None = None
        self._port = 0

    @property
    def url(self) -> str:
        """Base URL of the store."""
        return f"http://127.0.0.1:{self._port}"

    @property
    def total_calls(self) -> int:
        """Number of calls received."""
        return self.calls_by_kind.total()

    async def start(self, port: int = 0) -> None:
        """Listens on a loopback port; 0 selects a free port."""
        app = web.Application(client_max_size=_CLIENT_MAX_BYTES)
        app.router.add_get("/objects", self._list)
        app.router.add_get("/objects/{key:.+}", self._get)
        app.router.add_put("/objects/{key:.+}", self._put)
        app.router.add_get("/watch", self._watch)
        app.on_response_prepare.append(self._add_generation)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port)
        await site.start()
        self._port = self._runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops listening; the content is kept for a later start."""
        self.set_stalled(False)
        self.drop_watches()
        if self._runner is not None:
            await self._runner.cleanup()

    def set_down(self, down: bool) -> None:
        """Starts or ends an outage; its start aborts waiting watches."""
        self.faults.down = down
        if down:
            self.drop_watches()

    def set_delay(self, delay_ms: float) -> None:
        """Delays each call by a random time up to a maximum."""
        self.faults.delay_ms = delay_ms

    def set_stalled(
        self, stalled: bool, kinds: Collection[str] = CALL_KINDS
    ) -> None:
        """Holds calls before they take effect, or releases held calls.

        A released write takes effect even if its caller has timed out.

        Args:
            stalled: Whether to hold calls.
            kinds: Kinds of call to hold.
        """
        self.faults.stalled_kinds = frozenset(kinds if stalled else ())
        if stalled:
            self._unstalled.clear()
        else:
            self._unstalled.set()

    def lose_answers(self, count: int) -> None:
        """Applies the next writes without a response."""
        self._lost_answers_due = count

    def set_lost_answers(self, share: float) -> None:
        """Applies a random share of writes without a response."""
        self.faults.lost_answer_share = share

    def drop_watches(self) -> None:
        """Closes the connections of all waiting watches."""
        for transport in self._watch_transports:
            transport.abort()
        self._watch_transports.clear()
        self._notify()

    def restore(self, writes: int) -> None:
        """Returns to the state before the latest writes.

        Their revisions are given out again. Waiting watches are aborted.

        Args:
            writes: Number of writes to lose; at most ``MAX_UNDONE_WRITES``.

        Raises:
            ValueError: The store has no generation.
        """
        if self.generation is None:
            raise ValueError("a store without a generation cannot be restored")
        for _ in range(min(writes, len(self._undo_log))):
            key, previous = self._undo_log.pop()
            self.revision -= 1
            if previous is None:
                del self.objects_by_key[key]
            else:
                self.objects_by_key[key] = previous
        self.generation += 1
        self.drop_watches()

    async def _add_generation(
        self, _request: web.Request, response: web.StreamResponse
    ) -> None:
        """Adds the generation to a response of any status."""
        if self.generation is not None:
            response.headers["x-store-generation"] = str(self.generation)

    async def _get(self, request: web.Request) -> web.Response:
        """Returns one object."""
        await self._admit("get", request)
        found = self.objects_by_key.get(request.match_info["key"])
        if found is None:
            return web.Response(status=404)
        return web.Response(
            body=found.value, headers={"x-version": str(found.version)}
        )

    async def _put(self, request: web.Request) -> web.Response:
        """Writes one object if its version equals the expected one."""
        value = await request.read()
        await self._admit("put", request)
        if len(value) > MAX_VALUE_BYTES:
            return web.Response(status=413)
        key = request.match_info["key"]
        expected_version = _query_number(request, "expected_version")
        current = self.objects_by_key.get(key)
        current_version = current.version if current else 0
        if expected_version != current_version:
            headers = {"x-version": str(current_version)}
            return web.Response(status=409, headers=headers)
        self.revision += 1
        self._undo_log.append((key, current))
        self.objects_by_key[key] = StoredObject(self.revision, value)
        self._notify()
        if self._loses_answer():
            _abort_connection(request)
        return web.Response(headers={"x-version": str(self.revision)})

    async def _list(self, request: web.Request) -> web.Response:
        """Returns all objects under a prefix."""
        await self._admit("list", request)
        return self._objects_response(request.query.get("prefix", ""), 0)

    async def _watch(self, request: web.Request) -> web.Response:
        """Waits for a version above the given revision."""
        await self._admit("watch", request)
        if self._random.random() < self.faults.drop_watch_share:
            _abort_connection(request)
            return web.Response(status=503)
        prefix = request.query.get("prefix", "")
        after = _query_number(request, "after")
        wait_ms = min(
            _query_number(request, "wait_ms"), self.faults.longest_wait_ms
        )
        transport = request.transport
        if transport is None:
            return web.Response(status=503)
        self._watch_transports.add(transport)
        try:
            async with asyncio.timeout(wait_ms / 1000.0):
                await self._wait_for_change(transport, prefix, after)
        except TimeoutError:
            pass
        finally:
            self._watch_transports.discard(transport)
        return self._objects_response(prefix, after)

    async def _wait_for_change(
        self, transport: asyncio.BaseTransport, prefix: str, after: int
    ) -> None:
        """Waits until an object has changed or the connection is closed."""
        while not transport.is_closing() and not any(
            key.startswith(prefix) and found.version > after
            for key, found in self.objects_by_key.items()
        ):
            await self._changed.wait()

    async def _admit(self, kind: str, request: web.Request) -> None:
        """Counts a call and applies the faults that act before its effect.

        Raises:
            web.HTTPServiceUnavailable: The store is down.
        """
        self.calls_by_kind[kind] += 1
        if self.faults.delay_ms > 0:
            delay_ms = self._random.uniform(0, self.faults.delay_ms)
            await asyncio.sleep(delay_ms / 1000.0)
        if kind in self.faults.stalled_kinds:
            await self._unstalled.wait()
        if self.faults.down:
            if self._random.random() < 0.5:
                _abort_connection(request)
            raise web.HTTPServiceUnavailable

    def _loses_answer(self) -> bool:
        """Returns whether to drop the response to the current write."""
        if self._lost_answers_due > 0:
            self._lost_answers_due -= 1
            return True
        return self._random.random() < self.faults.lost_answer_share

    def _objects_response(self, prefix: str, after: int) -> web.Response:
        """Returns the objects under a prefix newer than a revision."""
        objects = [
            {
                "key": key,
                "version": found.version,
                "value": base64.b64encode(found.value).decode(),
            }
            for key, found in sorted(self.objects_by_key.items())
            if key.startswith(prefix) and found.version > after
        ]
        return web.json_response(
            {"revision": self.revision, "objects": objects}
        )

    def _notify(self) -> None:
        """Wakes all waiting watches."""
        self._changed.set()
        self._changed = asyncio.Event()


def _query_number(request: web.Request, name: str) -> int:
    """Returns a number from the query string.

    Raises:
        web.HTTPBadRequest: The parameter is missing or not a number.
    """
    text = request.query.get(name, "")
    if not text.isdecimal():
        raise web.HTTPBadRequest(text=f"{name}={text!r} is not a number")
    return int(text)


def _abort_connection(request: web.Request) -> None:
    """Closes the connection of a request without a response."""
    if request.transport is not None:
        request.transport.abort()
