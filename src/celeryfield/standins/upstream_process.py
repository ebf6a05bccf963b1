"""A stand-in upstream in a separate process.

The parent writes JSON commands to standard input and reads JSON responses from
standard output, one per line. The process ends when its input is closed.
"""

import asyncio
import dataclasses
import json
import sys
from typing import Any

from celeryfield.standins.upstream import (
    Endpoint,
    StandInUpstream,
    SubCall,
    UpstreamSpec,
)

LINE_LIMIT_BYTES = 256 * 1_048_576


class UpstreamProcess:
    """Starts and controls one upstream process."""

    def __init__(self, spec: UpstreamSpec) -> None:
        self.spec = spec
        self.port = 0
        self._process: asyncio.subprocess.Process | None = None
        self._lock = asyncio.Lock()

    async def start(self) -> None:
        """Starts the process, which begins to announce its upstream."""
        self._process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "celeryfield.standins.upstream_process",
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT_BYTES,
        )
        answer = await self._send_command(
            "start", spec=dataclasses.asdict(self.spec)
        )
        self.port = answer["port"]

    async def stop(self) -> None:
        """Ends the process."""
        if self._process.returncode is None:
            self._process.stdin.close()
            await self._process.wait()

    async def set_state(self, state: str) -> None:
        """Changes the announced state and announces it immediately."""
        await self._send_command("state", state=state)

    async def set_slowdown(self, factor: float) -> None:
        """Multiplies the service time of every request."""
        await self._send_command("slowdown", factor=factor)

    async def set_node(self, node_url: str, admin_url: str) -> None:
        """Sets the URLs of the node, whose ports change on a restart."""
        await self._send_command("node", node_url=node_url, admin_url=admin_url)

    async def crash(self) -> None:
        """Resets all connections, refuses new ones and stops announcing."""
        await self._send_command("crash")

    async def restart(self) -> None:
        """Listens again on the same port after a crash."""
        await self._send_command("restart")

    async def executions(self) -> list[dict[str, Any]]:
        """Returns all requests that the upstream has run."""
        return (await self._send_command("executions"))["executions"]

    async def execution_count(self) -> int:
        """Returns the number of requests that the upstream has run."""
        return (await self._send_command("count"))["count"]

    async def _send_command(
        self, command: str, **arguments: Any
    ) -> dict[str, Any]:
        line = json.dumps({"command": command, **arguments}).encode() + b"\n"
        async with self._lock:
            self._process.stdin.write(line)
            await self._process.stdin.drain()
            answer = await self._process.stdout.readline()
        if not answer:
            raise RuntimeError("the upstream process ended")
        return json.loads(answer)


async def _serve() -> None:
    """Runs commands from standard input until it is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_LIMIT_BYTES)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    upstream: StandInUpstream | None = None
    while line := await reader.readline():
        request = json.loads(line)
        if request["command"] == "start":
            upstream = StandInUpstream(_decode_spec(request["spec"]))
            await upstream.start()
            answer = {"port": upstream.port}
        else:
            answer = await _run_command(upstream, request)
        sys.stdout.write(json.dumps(answer) + "\n")
        sys.stdout.flush()
    if upstream is not None:
        await upstream.stop()


async def _run_command(
    upstream: StandInUpstream, request: dict[str, Any]
) -> dict[str, Any]:
    match request["command"]:
        case "state":
            await upstream.set_state(request["state"])
        case "slowdown":
            upstream.slowdown = request["factor"]
        case "node":
            await upstream.set_node(request["node_url"], request["admin_url"])
        case "crash":
            await upstream.crash()
        case "restart":
            await upstream.restart()
        case "count":
            return {"count": upstream.execution_count}
        case "executions":
            return {
                "executions": [
                    dataclasses.asdict(item) for item in upstream.executions
                ]
            }
    return {}


def _decode_spec(content: dict[str, Any]) -> UpstreamSpec:
    """Decodes a spec from JSON."""
    endpoints = tuple(
        Endpoint(
            **{
                **endpoint,
                "calls": tuple(
                    SubCall(**sub_call) for sub_call in endpoint["calls"]
                ),
            }
        )
        for endpoint in content["endpoints"]
    )
    return UpstreamSpec(**{**content, "endpoints": endpoints})


if __name__ == "__main__":
    asyncio.run(_serve())
