"""Clusters of node processes on loopback, with stand-ins around them.

Used by the demo, the benchmarks and the tests that run real nodes. All
processes are started here and are signalled only by their process id.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import sys
import tempfile
import time

import aiohttp

from celeryfield.internal.clock import Clock
from celeryfield.internal.config.fileset import load_directory
from celeryfield.internal.schema.settings import StoreSettings
from celeryfield.internal.store.applier import FileSetApplier
from celeryfield.internal.store.client import StoreClient
from celeryfield.standins.platform import PlatformStore
from celeryfield.standins.upstream import (
    Endpoint,
    StandInUpstream,
    UpstreamSpec,
)
from celeryfield.standins.upstream_process import UpstreamProcess

Upstream = StandInUpstream | UpstreamProcess

START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 20.0
# A start fails if the free TCP port that a node chose is in use for UDP.
START_ATTEMPTS = 3
LINE_LIMIT_BYTES = 1_048_576


@dataclasses.dataclass(slots=True, frozen=True)
class NodePlan:
    """Configuration of one node and the upstream beside it.

    Attributes:
        id: Id of the node.
        service: Service of the upstream; empty for a node without one.
        zone: Availability zone.
        slots: Calls that the upstream runs concurrently.
        connections: Connections that the upstream accepts.
        endpoints: How the upstream serves its paths.
        region: Region.
    """

    id: str
    service: str = ""
    zone: str = "z1"
    slots: int = 16
    connections: int = 100
    endpoints: tuple[Endpoint, ...] = ()
    region: str = "r1"


class NodeProcess:
    """One running ``celeryfield node``."""

    def __init__(
        self,
        plan: NodePlan,
        settings_path: pathlib.Path,
        program: list[str] | None = None,
    ) -> None:
        self.plan = plan
        self.caller_url = ""
        self.admin_url = ""
        self.peer_port = 0
        self.log: list[dict] = []
        self._program = program or [sys.executable, "-m", "celeryfield"]
        self._settings_path = settings_path
        self._process: asyncio.subprocess.Process | None = None
        self._log_task: asyncio.Task[None] | None = None

    @property
    def pid(self) -> int:
        """Process id."""
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self._process is not None and self._process.returncode is None

    async def start(self) -> None:
        """Starts the process and waits until its listeners are open.

        A node that has ended can be started again; new log lines are appended.
        """
        for _ in range(START_ATTEMPTS):
            if await self._start_once():
                self._log_task = asyncio.ensure_future(self._read_log())
                return
        raise RuntimeError(f"node {self.plan.id} did not start")

    async def _start_once(self) -> bool:
        """Starts the process and returns whether it opened its listeners."""
        self.caller_url = ""
        self._process = await asyncio.create_subprocess_exec(
            *self._program,
            "node",
            "--settings",
            str(self._settings_path),
            stdout=asyncio.subprocess.PIPE,
            limit=LINE_LIMIT_BYTES,
        )
        async with asyncio.timeout(START_TIMEOUT_S):
            while not self.caller_url:
                line = await self._process.stdout.readline()
                if not line:
                    await self._process.wait()
                    return False
                self._record_log_line(line)
        return True

    async def stop(self) -> int:
        """Stops the process gracefully and returns its exit status.

        Kills it if it does not exit within ``STOP_TIMEOUT_S``.
        """
        if self.is_running:
            self.send(signal.SIGCONT)
            self.send(signal.SIGTERM)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                status = await self._process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            status = await self._process.wait()
        if self._log_task is not None:
            await self._log_task
        return status

    def pin_peer_port(self) -> None:
        """Makes the node use its current peer port after a restart."""
        text = self._settings_path.read_text()
        pinned = text.replace("peer_port = 0", f"peer_port = {self.peer_port}")
        self._settings_path.write_text(pinned)

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self._process.pid, number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGKILL)
        await self._process.wait()

    async def _read_log(self) -> None:
        while line := await self._process.stdout.readline():
            self._record_log_line(line)

    def _record_log_line(self, line: bytes) -> None:
        try:
            entry = json.loads(line)
        except ValueError:
            entry = {"message": line.decode(errors="replace")}
        entry["read_s"] = time.monotonic()
        self.log.append(entry)
        if entry.get("message") == "node started":
            self.caller_url = f"http://127.0.0.1:{entry['caller_port']}"
            self.admin_url = f"http://127.0.0.1:{entry['admin_port']}"
            self.peer_port = entry["peer_port"]


class Cluster:
    """A stand-in platform, node processes and their upstreams.

    Args:
        plans: Nodes to start.
        policy: Routing policy of all nodes.
        settings: Further settings of all nodes, by section and key.
        upstream_processes: Whether each upstream runs in its own process.
        program: Command to run instead of ``python -m celeryfield``.
    """

    def __init__(
        self,
        plans: list[NodePlan],
        policy: str = "adaptive",
        settings: dict[str, dict[str, str]] | None = None,
        upstream_processes: bool = False,
        program: list[str] | None = None,
    ) -> None:
        self.plans = plans
        self.platform = PlatformStore()
        self.nodes_by_id: dict[str, NodeProcess] = {}
        self.upstreams_by_id: dict[str, Upstream] = {}
        self._upstream_type = (
            UpstreamProcess if upstream_processes else StandInUpstream
        )
        self._policy = policy
        self._settings = settings or {}
        self._program = program
        self._directory = tempfile.TemporaryDirectory(prefix="celeryfield-")
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> "Cluster":
        """Starts the platform, the nodes and their upstreams."""
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=0)
        )
        await self.platform.start()
        results = await asyncio.gather(
            *(self.start_node(plan) for plan in self.plans),
            return_exceptions=True,
        )
        for result in results:
            if isinstance(result, BaseException):
                # Otherwise, processes that did start would outlive this one.
                await self.__aexit__()
                raise result
        return self

    async def __aexit__(self, *_: object) -> None:
        """Stops the nodes, their upstreams and the platform."""
        nodes = self.nodes_by_id.values()
        await asyncio.gather(
            *(node.stop() for node in nodes if node.is_running),
            return_exceptions=True,
        )
        for upstream in self.upstreams_by_id.values():
            await upstream.stop()
        await self.platform.stop()
        await self.session.close()
        self._directory.cleanup()

    async def start_node(self, plan: NodePlan) -> None:
        """Starts a node and its upstream."""
        path = pathlib.Path(self._directory.name) / f"{plan.id}.ini"
        path.write_text(self._settings_text(plan))
        node = NodeProcess(plan, path, self._program)
        self.nodes_by_id[plan.id] = node
        await node.start()
        if plan.service:
            await self._start_upstream(plan, node)

    async def restart_node(self, node_id: str) -> None:
        """Restarts a node that has ended and updates its upstream."""
        node = self.nodes_by_id[node_id]
        await node.start()
        upstream = self.upstreams_by_id.get(node_id)
        if upstream is not None:
            await upstream.set_node(node.caller_url, node.admin_url)

    async def apply(self, directory: pathlib.Path) -> int:
        """Applies a file set and returns its version.

        Raises:
            RuntimeError: The file set is invalid or was not accepted.
        """
        loaded = load_directory(directory)
        if loaded.is_error():
            raise RuntimeError("\n".join(map(str, loaded.error)))
        clock = Clock()
        client = StoreClient(StoreSettings(url=self.platform.url), clock)
        applier = FileSetApplier(client, clock)
        current = await applier.current_version(loaded.ok.team)
        applied = await applier.apply(
            loaded.ok.message.files, current.default_value(0), "stand-in"
        )
        await client.close()
        if applied.is_error():
            raise RuntimeError(str(applied.error))
        return applied.ok.version

    async def wait_ready(self) -> None:
        """Waits until all nodes have a configuration and see all upstreams.

        Raises:
            TimeoutError: A node was not ready within ``START_TIMEOUT_S``.
        """
        async with asyncio.timeout(START_TIMEOUT_S):
            for node in self.nodes_by_id.values():
                while not await self._is_ready(node):  # noqa: ASYNC110
                    await asyncio.sleep(0.05)

    async def status(self, node: NodeProcess) -> dict:
        """Returns the status of one node from its admin API."""
        async with self.session.get(f"{node.admin_url}/v1/status") as response:
            response.raise_for_status()
            return await response.json()

    async def _is_ready(self, node: NodeProcess) -> bool:
        status = await self.status(node)
        expected_ids = {
            plan.id
            for plan in self.plans
            if plan.service and self.nodes_by_id[plan.id].is_running
        }
        ready_ids = {
            candidate["node"]
            for candidate in status["upstreams"]
            if candidate["state"] == "ready"
        }
        return bool(status["configuration"]) and expected_ids <= ready_ids

    async def _start_upstream(self, plan: NodePlan, node: NodeProcess) -> None:
        upstream = self._upstream_type(
            UpstreamSpec(
                service=plan.service,
                slots=plan.slots,
                connections=plan.connections,
                endpoints=plan.endpoints,
                node_url=node.caller_url,
                admin_url=node.admin_url,
                seed=len(self.upstreams_by_id),
            )
        )
        self.upstreams_by_id[plan.id] = upstream
        await upstream.start()

    def _settings_text(self, plan: NodePlan) -> str:
        sections = {
            "node": {"id": plan.id, "zone": plan.zone, "region": plan.region},
            "listen": {"caller_port": 0, "peer_port": 0, "admin_port": 0},
            "store": {"url": self.platform.url},
            "routing": {"policy": self._policy},
            "membership": {"probe_interval_ms": "200"},
        }
        for name, values in self._settings.items():
            sections.setdefault(name, {}).update(values)
        lines = []
        for name, values in sections.items():
            lines.append(f"[{name}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        return "\n".join(lines) + "\n"
