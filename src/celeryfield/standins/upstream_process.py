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

# The list of executions of a long run is one line.
LINE_LIMIT_BYTES = 256 * 1_048_576


class UpstreamProcess:
    """Starts and controls one upstream process."""

    def __init__(self, spec: UpstreamSpec) -> None:
        self.spec = spec
        self.port = 0
        self._process: asyncio.subprocess.Process | None = None
        self._command_lock = asyncio.Lock()

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
        response = await self._send_command(
            "start", spec=dataclasses.asdict(self.spec)
        )
        self.port = response["port"]

    async def stop(self) -> None:
        """Closes the input of the process and waits until it ends."""
        if self._process.returncode is None:
            self._process.stdin.close()
            await self._process.wait()

    async def set_state(self, state: str) -> None:
        """Changes the announced state and announces it immediately."""
        await self._send_command("state", state=state)

    async def set_slowdown(self, factor: float) -> None:
        """Sets the factor of all service times; 1 is normal speed."""
        await self._send_command("slowdown", factor=factor)

    async def set_node(self, node_url: str, admin_url: str) -> None:
        """Sets the URLs of the node.

        Call this after each restart of the node, which changes its ports.
        """
        await self._send_command("node", node_url=node_url, admin_url=admin_url)

    async def crash(self) -> None:
        """Simulates a crash of the upstream; the process continues.

        Resets all connections, refuses new ones and stops announcing.
        """
        await self._send_command("crash")

    async def restart(self) -> None:
        """Simulates a restart: listens again on the same port after a crash."""
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
        async with self._command_lock:
            self._process.stdin.write(line)
            await self._process.stdin.drain()
            response = await self._process.stdout.readline()
        if not response:
            raise RuntimeError("the upstream process ended")
        return json.loads(response)


async def _serve() -> None:
    """Runs commands from standard input until it is closed."""
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader(limit=LINE_LIMIT_BYTES)
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    upstream: StandInUpstream | None = None
    while line := await reader.readline():
        command = json.loads(line)
        if command["command"] == "start":
            upstream = StandInUpstream(_decode_spec(command["spec"]))
            await upstream.start()
            response = {"port": upstream.port}
        else:
            response = await _run_command(upstream, command)
        sys.stdout.write(json.dumps(response) + "\n")
        sys.stdout.flush()
    if upstream is not None:
        await upstream.stop()


async def _run_command(
    upstream: StandInUpstream, command: dict[str, Any]
) -> dict[str, Any]:
    match command["command"]:
        case "state":
            await upstream.set_state(command["state"])
        case "slowdown":
            upstream.slowdown = command["factor"]
        case "node":
            await upstream.set_node(command["node_url"], command["admin_url"])
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
    """Builds the spec from the decoded JSON of ``asdict()``."""
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
