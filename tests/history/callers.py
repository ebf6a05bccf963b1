"""Concurrent callers that record their calls and the answers."""

import asyncio
import hashlib
import itertools
import json
import random
import time

import aiohttp
from history.events import AnswerReceived, CallSent, Event

ORDER, CHAIN, ITEM = "/order/orders", "/order/orders/chain", "/stock/items"
CRASH_MARKER = "crash-"
TIMEOUT_S = 8.0
PAUSE_S = 0.03
KINDS_OF_CALLER = ("order", "order", "order", "chain", "item", "impatient")


def request_identity(path, body=b""):
    """Returns an id of a request that an answer can repeat."""
    return f"{path}#{hashlib.sha256(body).hexdigest()[:16]}"


class Callers:
    """Runs callers against the nodes of a cluster.

    Attributes:
        events: Calls sent and answers received.
        resends: Number of orders that were sent with a key, once or more.
    """

    def __init__(self, cluster, injector, seed):
        self.events: list[Event] = []
        self.resends = 0
        self._cluster = cluster
        self._injector = injector
        self._random = random.Random(seed)
        self._numbers = itertools.count(1)
        self._stopping = asyncio.Event()
        self._may_crash = asyncio.Event()
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0, force_close=True)
        )

    async def run(self, count):
        """Runs callers until stop() and completes the calls in flight."""
        kinds = itertools.islice(itertools.cycle(KINDS_OF_CALLER), count)
        try:
            await asyncio.gather(
                *(self._repeat(getattr(self, f"_{kind}")) for kind in kinds),
                self._repeat(self._send_crashing_request),
            )
        finally:
            await self._session.close()

    def stop(self):
        self._stopping.set()

    def set_crashing_allowed(self, allowed):
        """Allows or forbids requests that crash upstreams."""
        (self._may_crash.set if allowed else self._may_crash.clear)()

    async def _repeat(self, send_request):
        while not self._stopping.is_set():
            await send_request()
            await asyncio.sleep(self._random.random() * 2 * PAUSE_S)

    def _node(self):
        nodes = self._cluster.nodes_by_id
        choices = [
            node
            for node_id, node in nodes.items()
            if node.is_running
            and node.caller_url
            and node_id not in self._injector.avoided_ids
        ]
        return self._random.choice(choices)

    def _order_body(self):
        return json.dumps({"order": next(self._numbers)}).encode()

    async def _key(self, body):
        while not self._stopping.is_set():
            answer, headers = await self._call("POST", ORDER, body)
            if answer.reason == "key-required":
                return headers["idempotency-key"]
            await asyncio.sleep(PAUSE_S)
        return ""

    async def _order(self):
        """Sends an order once or as two concurrent copies; may resend it.

        Without the outcome ok, and in a fifth of the other cases, it is sent
        again up to three times.
        """
        body = self._order_body()
        key = await self._key(body)
        if not key:
            return
        answers = await asyncio.gather(
            *(
                self._call("POST", ORDER, body, key)
                for _ in range(self._random.choice((1, 2)))
            )
        )
        self.resends += 1
        for _ in range(3):
            if answers[-1][0].outcome == "ok" and self._random.random() < 0.8:
                break
            answers = [await self._call("POST", ORDER, body, key)]

    async def _chain(self):
        await self._call("GET", f"{CHAIN}/{next(self._numbers)}")

    async def _item(self):
        await self._call("GET", f"{ITEM}/{next(self._numbers)}")

    async def _impatient(self):
        """Sends an order three times, the first two with short timeouts."""
        body = self._order_body()
        key = await self._key(body)
        for timeout_s in (0.004, 0.02, TIMEOUT_S):
            if key:
                await self._call("POST", ORDER, body, key, timeout_s)
        self.resends += 1

    async def _send_crashing_request(self):
        """Sends a crashing request until it is refused as a suspect."""
        path = f"{ITEM}/{CRASH_MARKER}{next(self._numbers)}"
        while self._may_crash.is_set():
            answer, _ = await self._call("GET", path)
            if answer.reason == "suspect":
                break
            await asyncio.sleep(0.4)

    async def _call(self, method, path, body=b"", key="", timeout_s=TIMEOUT_S):
        node = self._node()
        call_id = f"call-{next(self._numbers)}"
        headers = {"x-workspace": "fitters", "x-test-call-id": call_id}
        if key:
            headers["idempotency-key"] = key
        body_id = request_identity(
            path.removeprefix("/order").removeprefix("/stock"), body
        )
        self.events.append(
            CallSent(_now_ms(), call_id, node.plan.id, body_id, key)
        )
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(
                    method, node.caller_url + path, data=body, headers=headers
                ) as response,
            ):
                content = await response.read()
                answer = _answer(call_id, response, content)
                answer_headers = response.headers
        except (TimeoutError, aiohttp.ClientError) as error:
            answer = _answer_of_failed_call(call_id, error)
            answer_headers = {}
        self.events.append(answer)
        return answer, answer_headers


def _answer(call_id, response, content):
    outcome = response.headers.get("x-celeryfield-outcome", "missing")
    reason = response.headers.get("x-celeryfield-reason", "")
    if outcome != "ok" or reason:
        return AnswerReceived(_now_ms(), call_id, outcome, reason)
    try:
        decoded = json.loads(content)
    except ValueError:
        decoded = {
            "path": "",
            "body_hash": "",
            "filler": "",
            "filler_bytes": -1,
        }
    return AnswerReceived(
        _now_ms(),
        call_id,
        outcome,
        reason,
        f"{decoded['path']}#{decoded['body_hash']}",
        len(decoded["filler"]),
        decoded["filler_bytes"],
    )


def _answer_of_failed_call(call_id, error):
    """Returns the event of a call that timed out or lost its connection."""
    if isinstance(error, TimeoutError):
        reason = "gave-up"
    elif isinstance(error, aiohttp.ClientConnectorError):
        reason = "connection-refused"
    else:
        reason = "connection-lost"
    return AnswerReceived(_now_ms(), call_id, "unknown", reason)


def _now_ms():
    return time.monotonic() * 1000
