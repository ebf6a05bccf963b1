"""An application server beside a node, as PROTOCOL.md describes it."""

import asyncio
import dataclasses
import json
import time

import net
from aiohttp import web

HEARTBEAT_S = 1.5


@dataclasses.dataclass
class Run:
    """A request that the server began to work on."""

    at_s: float
    request_id: str
    method: str
    path: str
    caller: str
    body: bytes


class Server:
    """A sound server: it checks its id, runs requests and signs answers.

    Args:
        record: Where runs are written.
        server_id: Id of the server.
        service: Its service.
        address: ``(host, port)`` of its listener.
        control: ``(host, port)`` for status reports.
        slots: Requests that it runs at the same time.
        work_s: Time of one request.

    Attributes:
        runs: Requests that it began to work on.
        sequence: Number of the last status report.
        refused_count: Requests that named another server and got 421.
    """

    def __init__(
        self, record, server_id, service, address, control, slots=8, work_s=0.02
    ) -> None:
        self.record = record
        self.id = server_id
        self.service = service
        self.address = address
        self.control = control
        self.slots = slots
        self.work_s = work_s
        self.read_pause_s = 0.0
        self.runs = []
        self.refused_count = 0
        self.sequence = 0
        self.state = "ready"
        self.born_ms = int(time.time() * 1000)
        self._runner = None
        self._reports = None

    async def start(self) -> None:
        """Opens the listener."""
        server = web.Server(self._handle, handler_cancellation=True)
        self._runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await self._runner.setup()
        await web.TCPSite(self._runner, *self.address).start()
        self.record.write(f"server {self.id} ({self.service}) starts")

    async def stop(self) -> None:
        """Ends the server; nothing of it goes on."""
        self.stop_reports()
        if self._runner is not None:
            await self._runner.cleanup()
            self._runner = None
            self.record.write(f"server {self.id} ends")

    def start_reports(self) -> None:
        """Sends a status report at once and then one each heartbeat."""
        self._reports = asyncio.ensure_future(self._keep_reporting())

    def stop_reports(self) -> None:
        """Sends no more status reports."""
        if self._reports is not None:
            self._reports.cancel()
            self._reports = None

    def next_report(self, **fields) -> bytes:
        """Returns the body of the next status report."""
        self.sequence += 1
        content = {
            "service": self.service,
            "address": f"{self.address[0]}:{self.address[1]}",
            "zone": "z1",
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "coldRemainingMs": 0,
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        return json.dumps(content | fields).encode()

    async def send_report(self, body: bytes, note: str = "") -> int:
        """Sends a status report; returns the status, 0 without an answer."""
        return await self._call_control("PUT", body, note)

    async def send_leave(self) -> int:
        """Says that the server is gone; returns the status."""
        return await self._call_control("DELETE", b"", "")

    async def _call_control(self, method, body, note):
        path = f"/instances/{self.id}"
        answer = await net.request(
            self.control,
            method,
            path,
            {"Content-Type": "application/json"},
            body,
            limit_s=8.0,
        )
        text = body.decode(errors="replace")
        self.record.write(
            f"report{note} {method} {path} {text} -> {answer.status}"
        )
        return answer.status

    async def _keep_reporting(self):
        while True:
            await self.send_report(self.next_report())
            await asyncio.sleep(HEARTBEAT_S)

    async def _read_body(self, request):
        parts = []
        async for part in request.content.iter_any():
            parts.append(part)
            if self.read_pause_s:
                await asyncio.sleep(self.read_pause_s)
        return b"".join(parts)

    async def _handle(self, request):
        body = await self._read_body(request)
        headers = request.headers
        request_id = headers.get("X-Attempt-Id", "")
        target = headers.get("X-Target-Instance")
        common = {"X-Attempt-Id": request_id}
        if target is not None and target != self.id:
            self.refused_count += 1
            self.record.write(
                f"server {self.id}: {request_id} names {target} -> 421"
            )
            return web.Response(
                status=421, headers=common | {"X-Instance-Id": self.id}
            )
        run = Run(
            self.record.now_s(),
            request_id,
            request.method,
            request.raw_path,
            headers.get("X-Caller-Service", ""),
            body,
        )
        self.runs.append(run)
        self.record.write(
            f"server {self.id} ({self.service}) runs {request_id} "
            f"{request.method} {request.raw_path}"
        )
        await asyncio.sleep(self.work_s)
        return web.Response(
            status=200,
            body=f"{self.id} ran {request_id}".encode(),
            headers=common
            | {"X-Server-Signature": f"sig.{self.id}.{request_id}"},
        )
