"""Machines that run a node as the deploy file says."""

import asyncio
import os
import pathlib
import signal
import subprocess
import tomllib

import net

ROOT = pathlib.Path(__file__).resolve().parents[2]


class Ports:
    """Ports of a day; they are the same on all machines.

    Args:
        hosts: Addresses of all machines.
    """

    def __init__(self, hosts) -> None:
        found = net.free_ports(hosts, 7)
        self.outbound, self.ready, self.control, self.inbound = found[:4]
        self.peer, self.metrics, self.app = found[4:]


class Machine:
    """A machine with one node; its server is another stand-in.

    Args:
        record: Where starts and ends are written.
        folder: Temporary folder for settings and logs.
        name: Name of the node.
        host: Loopback address of the machine.
        service: Service of the server beside the node.
        ports: Ports of the day.
        store_port: Port of the store for this machine.
        seeds: Control addresses of other machines.
    """

    def __init__(
        self, record, folder, name, host, service, ports, store_port, seeds=()
    ) -> None:
        self.record = record
        self.name = name
        self.host = host
        self.service = service
        self.ports = ports
        self.store_port = store_port
        self.seeds = list(seeds)
        self.process = None
        self._starts = 0
        self._settings = folder / f"{name}.toml"
        self._log = folder / f"{name}.log"

    @property
    def outbound(self):
        return (self.host, self.ports.outbound)

    @property
    def control(self):
        return (self.host, self.ports.control)

    @property
    def app(self):
        return (self.host, self.ports.app)

    def start(self) -> None:
        """Starts the node with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["node"]["run"].split(" ")
        self._settings.write_text(self._settings_text())
        self._starts += 1
        kept = ("PATH", "HOME", "LANG")
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["CELERYFIELD_BOOT"] = str(self._settings)
        env["CELERYFIELD_METRICS_PORT"] = str(self.ports.metrics)
        with self._log.open("a") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )
        self.record.write(f"node {self.name} starts")

    async def kill(self) -> None:
        """Ends the node with SIGKILL."""
        await self._end(signal.SIGKILL)

    async def terminate(self) -> None:
        """Stops the node with SIGTERM and waits until it has ended."""
        await self._end(signal.SIGTERM)

    async def _end(self, signal_number):
        if self.process is None:
            return
        self.process.send_signal(signal_number)
        await asyncio.to_thread(self.process.wait)
        self.record.write(
            f"node {self.name} ended after {signal_number.name}, "
            f"status {self.process.returncode}"
        )
        self.process = None

    def end_now(self) -> None:
        """Ends the node at the end of the run."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None

    async def is_ready(self) -> bool:
        answer = await net.request(
            (self.host, self.ports.ready), "GET", "/ready", {}, limit_s=1.0
        )
        return answer.status == 200

    async def wait_ready(self, limit_s=20.0) -> None:
        """Waits until the node says that it is ready."""
        async with asyncio.timeout(limit_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)
        self.record.write(f"node {self.name} is ready")

    def _settings_text(self):
        host, ports = self.host, self.ports
        first = "true" if self._starts == 0 else "false"
        seeds = ", ".join(f'"{seed}"' for seed in self.seeds)
        return f"""\
[self]
nodeName = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar", "control"]
ip = "{host}"
zone = "z1"
region = "r1"
inTolerance = false
firstStart = {first}
appAddr = "{host}:{ports.app}"
service = "{self.service}"
[self.limits]
cpuShare = 0.86
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPorts = [{ports.peer}, {ports.peer}]
seeds = [{seeds}]
[network.listen]
inbound = "{host}:{ports.inbound}"
outbound = "{host}:{ports.outbound}"
ready = "{host}:{ports.ready}"
control = "{host}:{ports.control}"
[network.zones]
z1 = "r1"
[platform]
discovery = "local"
entry = "local"
heartbeatMs = 1500
[platform.platform]
address = "127.0.0.1:{self.store_port}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[terms]
contracts = ["base", "drain", "config", "cost", "retry", "recover", "platform"]
[terms.faultTolerance]
machines = 2
zones = 0
regions = 0
[terms.bounds]
seedLagS = 3
reuseAfterS = 2
stabilityWindowMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 6
lossSlackMs = 200
configMs = 2000
rollbackSlackMs = 250
outerMs = 5000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 47
recoveryS = 15
"""
