"""The frame of a script: temporary folder, record, end of all processes."""

import asyncio
import os
import pathlib
import signal
import sys
import tempfile
import traceback

import net
from machine import Machine, Ports
from record import Record
from server import Server
from store import Store

HELD = 0
BROKEN = 1
NOT_RUN = 2
LIMIT_S = 110.0


def has_trouble() -> bool:
    """Returns whether the run includes the disturbance."""
    return os.environ.get("TROUBLE", "1") != "0"


class Site:
    """A small deployment: machines with nodes and servers, and the store."""

    def __init__(self, record, folder, services) -> None:
        self.record = record
        self.store = Store()
        self.machines = []
        self.servers = []
        hosts = [f"127.0.7.{number}" for number in range(1, len(services) + 1)]
        ports = Ports(hosts)
        store_ports = net.free_ports([net_host()], len(services))
        seeds = [f"{host}:{ports.control}" for host in hosts]
        for number, service in enumerate(services):
            host = hosts[number]
            machine = Machine(
                record,
                folder,
                f"sidecar-z1-{number + 1}",
                host,
                service,
                ports,
                store_ports[number],
                [seed for seed in seeds[:3] if not seed.startswith(f"{host}:")],
            )
            self.machines.append(machine)
            self.servers.append(
                Server(
                    record,
                    f"i-{number + 1:08x}",
                    service,
                    machine.app,
                    machine.control,
                )
            )

    async def start(self, config) -> None:
        """Starts everything and waits until all nodes are ready."""
        await self.store.put("config", "main", config)
        for machine in self.machines:
            await self.store.listen(machine.store_port)
            machine.start()
        for server in self.servers:
            await server.start()
        for machine in self.machines:
            await machine.wait_ready()
        for server in self.servers:
            server.start_reports()

    async def close(self) -> None:
        """Ends all processes and stand-ins."""
        for machine in self.machines:
            machine.end_now()
        for server in self.servers:
            await server.stop()
        await self.store.close()


def net_host():
    return "127.0.0.1"


def config(version, routes, services, limits=None):
    """Returns a configuration of the operator.

    Args:
        version: Its number.
        routes: Fields of each route by its name.
        services: Names of the services.
        limits: Limits that differ from those of the sites.
    """
    resources = [
        {
            "resourceType": "routes",
            "metadata": {"name": name},
            "spec": {
                "host": "shop.example",
                "routeType": "safe",
                "timeoutMs": 2000,
                "targetLatencyMs": 1000,
                "priority": 1,
                "maxAttempts": 2,
            }
            | fields,
        }
        for name, fields in routes.items()
    ]
    resources += [
        {
            "resourceType": "services",
            "metadata": {"name": name},
            "spec": {
                "healthPath": "/health",
                "maxConnections": 574,
                "protocol": "h1",
                "tls": False,
            },
        }
        for name in services
    ]
    resources.append(
        {
            "resourceType": "limits",
            "metadata": {},
            "spec": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 67108864,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            }
            | (limits or {}),
        }
    )
    return {"version": f"{version:08x}", "resources": resources}


class Caller:
    """A client on one machine; each request has an id of its own."""

    def __init__(self, record, machine, name) -> None:
        self._record = record
        self._machine = machine
        self._name = name
        self._number = 0

    async def send(self, path, method="GET", body=b"", limit_ms=2000):
        """Sends a request; returns its id, when it was sent and the answer."""
        self._number += 1
        request_id = f"{self._name}{self._number:04x}"
        sent_s = self._record.now_s()
        answer = await net.request(
            self._machine.outbound,
            method,
            path,
            {
                "Host": "shop.example",
                "X-Attempt-Id": request_id,
                "X-Deadline-Ms": str(limit_ms),
            },
            body,
            limit_s=limit_ms / 1000.0 + 0.5,
        )
        self._record.write(
            f"client at {self._machine.name}: {request_id} {method} {path} "
            f"sent {sent_s:.3f} -> {answer.status} {answer.problem}"
        )
        return request_id, sent_s, answer


async def send_rounds(callers, path, rounds, at_once=6, pause_s=0.1):
    """Sends rounds of requests from several machines at the same time."""
    for _ in range(rounds):
        await asyncio.gather(
            *(caller.send(path) for caller in callers for _ in range(at_once))
        )
        await asyncio.sleep(pause_s)


def run_case(folder, services, play) -> None:
    """Runs a case and exits with its status.

    Args:
        folder: Folder of the case; the record is written there.
        services: Service of each machine.
        play: Coroutine function of a Site; returns HELD or BROKEN.
    """
    status = NOT_RUN
    try:
        status = asyncio.run(_run(pathlib.Path(folder), services, play))
    except Exception:
        traceback.print_exc()
    sys.exit(status)


async def _run(folder, services, play):
    # Ended from outside, the script still ends all that it started.
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, asyncio.current_task().cancel)
    record = Record(folder / "record.txt")
    record.write(f"disturbance: {'yes' if has_trouble() else 'no'}")
    status = NOT_RUN
    with tempfile.TemporaryDirectory() as name:
        site = Site(record, pathlib.Path(name), services)
        try:
            async with asyncio.timeout(LIMIT_S):
                status = await play(site)
        except (Exception, asyncio.CancelledError):
            record.write("the case could not run: " + traceback.format_exc())
            for machine in site.machines:
                log = pathlib.Path(name) / f"{machine.name}.log"
                if log.exists():
                    record.write(
                        f"end of the log of {machine.name}:\n"
                        + log.read_text()[-1500:]
                    )
        finally:
            await site.close()
    verdict = {HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status]
    record.write(f"result: {verdict}")
    record.close()
    return status
