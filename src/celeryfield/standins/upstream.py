"""A small upstream for the demo, tests and benchmarks.

It limits the concurrent requests, sends sub-calls to the node beside it,
announces itself, and can be slowed down, drained or crashed.
"""

import asyncio
import dataclasses
import hashlib
import itertools
import json
import random
import secrets
import time

import aiohttp
from aiohttp import web

ANNOUNCE_INTERVAL_S = 1.0


@dataclasses.dataclass(slots=True, frozen=True)
class SubCall:
    """A call that the upstream makes while it serves a request."""

    service: str
    path: str
    method: str = "GET"


@dataclasses.dataclass(slots=True, frozen=True)
class Endpoint:
    """How the upstream serves paths with one prefix.

    Attributes:
        prefix: Start of the path.
        service_ms: Mean service time of one request, without its sub-calls.
        calls: Sub-calls, made one after another.
        answer_bytes: Size of the filler in each response.
    """

    prefix: str
    service_ms: float = 5.0
    calls: tuple[SubCall, ...] = ()
    answer_bytes: int = 64


@dataclasses.dataclass(slots=True)
class UpstreamSpec:
    """Configuration of a stand-in upstream and the URLs of its node."""

    service: str
    slots: int
    connections: int
    endpoints: tuple[Endpoint, ...]
    node_url: str
    admin_url: str
    seed: int = 0
    admin_token: str = ""


@dataclasses.dataclass(slots=True)
class SubCallResult:
    """Result of a sub-call; status and outcome are empty without a response.

    Attributes:
        call_id: Value of the request header ``x-test-call-id``.
        sent_s: When the sub-call was sent.
        ended_s: When its response was complete or the sub-call failed.
        status: HTTP status.
        outcome: Outcome header of the response.
        reason: Reason header of the response, or the connection error.
    """

    call_id: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    outcome: str = ""
    reason: str = ""


@dataclasses.dataclass(slots=True)
class Execution:
    """One request that the upstream ran.

    Attributes:
        call_id: Value of the request header ``x-test-call-id``.
        epoch: Number of drains that the upstream had ended before.
        ended_s: When the response was complete.
        crashed_s: When the request crashed the upstream.
        sub_calls: Results of its sub-calls.
    """

    service: str
    path: str
    key: str
    body_hash: str
    traceparent: str
    started_s: float
    ended_s: float | None = None
    call_id: str = ""
    epoch: int = 0
    crashed_s: float | None = None
    sub_calls: list[SubCallResult] = dataclasses.field(default_factory=list)


class StandInUpstream:
    """One upstream server on loopback.

    Attributes:
        crash_marker: Requests with this text in their path crash the upstream.
        restart_delay_s: Time from such a crash to the restart; None for no
            restart.
        failure_share: Share of requests that are answered with 500.
        epoch: Number of drains that have ended.
    """

    def __init__(self, spec: UpstreamSpec) -> None:
        self.spec = spec
        self.state = "ready"
        self.slowdown = 1.0
        self.port = 0
        self.executions: list[Execution] = []
        self.keeps_executions = True
        self.crash_marker = ""
        self.restart_delay_s: float | None = None
        self.failure_share = 0.0
        self.epoch = 0
        self.execution_count = 0
        self._crash_tasks: set[asyncio.Task[None]] = set()
        self._rng = random.Random(spec.seed)
        self._slots = asyncio.Semaphore(spec.slots)
        self._waiting = 0
        self._runner: web.ServerRunner | None = None
        # A crash and a restart from different faults may overlap.
        self._listener_lock = asyncio.Lock()
        self._session: aiohttp.ClientSession | None = None
        self._announce_task: asyncio.Task[None] | None = None
        self._numbers = itertools.count()

    async def start(self) -> None:
        """Opens the listener and starts the announcements."""
        self._session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        await self._listen(0)
        self._announce_task = asyncio.ensure_future(self._announce_forever())

    async def stop(self) -> None:
        """Stops announcing and closes the listener."""
        for task in (self._announce_task, *self._crash_tasks):
            if task is not None:
                task.cancel()
        await self._close_listener()
        if self._session is not None:
            await self._session.close()

    async def set_slowdown(self, factor: float) -> None:
        """Sets the factor of all service times; 1 is normal speed."""
        self.slowdown = factor

    async def set_state(self, state: str) -> None:
        """Changes the announced state and announces it immediately."""
        if self.state == "draining" and state != "draining":
            self.epoch += 1
        self.state = state
        await self.announce()

    async def set_node(self, node_url: str, admin_url: str) -> None:
        """Sets the URLs of the node.

        Call this after each restart of the node, which changes its ports.
        """
        self.spec.node_url = node_url
        self.spec.admin_url = admin_url

    async def crash(self) -> None:
        """Simulates a crash.

        Resets all connections, refuses new ones and stops announcing.
        """
        async with self._listener_lock:
            if self._runner is None:
                return
            for connection in list(self._runner.server.connections):
                if connection.transport is not None:
                    connection.transport.abort()
            await self._close_listener()

    async def restart(self) -> None:
        """Simulates a restart: listens again on the same port after a crash."""
        async with self._listener_lock:
            if self._runner is None:
                await self._listen(self.port)

    async def announce(self) -> None:
        """Sends one announcement to the node."""
        content = {
            "service": self.spec.service,
            "address": f"127.0.0.1:{self.port}",
            "slots": self.spec.slots,
            "connections": self.spec.connections,
            "state": self.state,
        }
        async with self._session.post(
            f"{self.spec.admin_url}/v1/announce", json=content
        ) as response:
            response.raise_for_status()

    async def _listen(self, port: int) -> None:
        server = web.Server(
            self._handle, handler_cancellation=True, access_log=None
        )
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", port, reuse_address=True)
        await site.start()
        self.port = self._runner.addresses[0][1]

    async def _close_listener(self) -> None:
        if self._runner is not None:
            runner, self._runner = self._runner, None
            await runner.cleanup()

    async def _announce_forever(self) -> None:
        while True:
            try:
                if self._runner is not None:
                    await self.announce()
            except aiohttp.ClientError:
                # The node has not started yet or is restarting.
                await asyncio.sleep(ANNOUNCE_INTERVAL_S / 10)
                continue
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _handle(self, request: web.BaseRequest) -> web.Response:
        body = await request.read()
        execution = self._record(request, body)
        if self.crash_marker and self.crash_marker in request.path:
            execution.crashed_s = time.monotonic()
            task = asyncio.ensure_future(self._crash_and_restart())
            self._crash_tasks.add(task)
            task.add_done_callback(self._crash_tasks.discard)
            await asyncio.sleep(1)
        if self._rng.random() < self.failure_share:
            return web.Response(status=500)
        async with self._slots:
            return await self._run(request, execution)

    async def _crash_and_restart(self) -> None:
        await self.crash()
        if self.restart_delay_s is not None:
            await asyncio.sleep(self.restart_delay_s)
            await self.restart()

    def _record(self, request: web.BaseRequest, body: bytes) -> Execution:
        execution = Execution(
            self.spec.service,
            request.path,
            request.headers.get("idempotency-key", ""),
            hashlib.sha256(body).hexdigest()[:16],
            request.headers.get("traceparent", ""),
            time.monotonic(),
            call_id=request.headers.get("x-test-call-id", ""),
            epoch=self.epoch,
        )
        self.execution_count += 1
        if self.keeps_executions:
            self.executions.append(execution)
        return execution

    async def _run(
        self, request: web.BaseRequest, execution: Execution
    ) -> web.Response:
        endpoint = self._find_endpoint(request.path)
        await asyncio.sleep(self._service_s(endpoint))
        for sub_call in endpoint.calls:
            result = SubCallResult(secrets.token_hex(8), time.monotonic())
            execution.sub_calls.append(result)
            try:
                await self._make_sub_call(sub_call, request, result)
            except aiohttp.ClientConnectorError:
                result.reason = "connection-refused"
                raise
            except aiohttp.ClientError:
                result.reason = "connection-lost"
                raise
            finally:
                result.ended_s = time.monotonic()
            if result.status >= 400:
                return web.json_response(
                    {"failed": sub_call.service, "status": result.status},
                    status=502,
                )
        execution.ended_s = time.monotonic()
        return self._make_response(execution, endpoint)

    def _make_response(
        self, execution: Execution, endpoint: Endpoint
    ) -> web.Response:
        content = {
            "service": self.spec.service,
            "path": execution.path,
            "key": execution.key,
            "body_hash": execution.body_hash,
            "number": next(self._numbers),
            "filler_bytes": endpoint.answer_bytes,
            "filler": "x" * endpoint.answer_bytes,
        }
        return web.Response(
            body=json.dumps(content).encode(), content_type="application/json"
        )

    async def _make_sub_call(
        self,
        sub_call: SubCall,
        request: web.BaseRequest,
        result: SubCallResult,
    ) -> None:
        async with self._session.request(
            sub_call.method,
            f"{self.spec.node_url}/{sub_call.service}{sub_call.path}",
            headers={
                "traceparent": request.headers.get("traceparent", ""),
                "x-test-call-id": result.call_id,
            },
        ) as response:
            await response.read()
            result.status = response.status
            result.outcome = response.headers.get("x-celeryfield-outcome", "")
            result.reason = response.headers.get("x-celeryfield-reason", "")

    def _find_endpoint(self, path: str) -> Endpoint:
        matches = [e for e in self.spec.endpoints if path.startswith(e.prefix)]
        return max(matches, key=lambda e: len(e.prefix), default=Endpoint("/"))

    def _service_s(self, endpoint: Endpoint) -> float:
        # Half of the mean time is fixed and half is exponentially distributed,
        # like the service time of requests that differ in size.
        half_ms = endpoint.service_ms / 2
        duration_ms = half_ms + self._rng.expovariate(1.0) * half_ms
        return duration_ms * self.slowdown / 1000.0
