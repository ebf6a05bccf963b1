"""Stand-ins of a small deployment, for the scripts of the second review.

Only the standard library is used. The store, the servers and the clients run in
the process of a script; each node is a process of its own, started with the
command of the deploy file. All addresses are loopback addresses: each machine
has one of its own, and the ports are the same on all machines.
"""

import asyncio
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import signal
import socket
import sys
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "shop.example"
HEARTBEAT_S = 1.5
MEMORY_MB = 300
GRACE_S = 6.0
RESTART_DELAY_S = 0.5
READ_LIMIT = 1 << 20
# A play that takes longer could not be run; the scripts may take 120 s.
MAX_PLAY_S = 113.0


class Record:
    """The file in which a script writes what happened."""

    def __init__(self, folder):
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started = time.monotonic()

    def write(self, text):
        self._file.write(f"{time.monotonic() - self._started:9.3f} {text}\n")

    def say(self, text):
        """Writes a line and shows it."""
        self.write(text)
        self._file.flush()
        print(text, flush=True)

    def close(self):
        self._file.close()


def hide_cancelled(loop, context):
    """Reports what goes wrong in a callback, but no ends of connections."""
    if not isinstance(context.get("exception"), asyncio.CancelledError):
        loop.default_exception_handler(context)


async def read_head(reader):
    """Returns the first line and the fields of a head."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    fields = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return first, fields


async def read_body(reader, fields):
    """Returns the body of a request of a node."""
    if fields.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append(await reader.readexactly(size))
            await reader.readline()
        await reader.readline()
        return b"".join(parts)
    return await reader.readexactly(int(fields.get("content-length", 0)))


def encode(status, fields, body):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


class Store:
    """The platform's metadata store, as PROTOCOL.md describes it."""

    def __init__(self, address):
        self.address = address
        self.revision = 40
        self.objects = {}
        self._events = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, *self.address, limit=READ_LIMIT
        )

    def put(self, kind, name, spec):
        """Writes an object on behalf of the operator."""
        self._write(kind, name, {"spec": spec})

    def _write(self, kind, name, content):
        known = self.objects.get((kind, name))
        spec = content.get("spec")
        if known and known["spec"] == spec:
            return known
        self.revision += 1
        created = known["metadata"]["createRev"] if known else self.revision
        found = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "createRev": created,
                "finalizers": [],
                "deleting": False,
            },
            "spec": spec,
            "status": None,
        }
        self.objects[kind, name] = found
        self._note(kind, found, False)
        return found

    def _note(self, kind, found, deleted):
        self._events.append(
            (self.revision, kind, {"object": found, "deleted": deleted})
        )
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, target, _ = first.split(" ")
                await asyncio.sleep(0.004)
                status, content = await self._respond(method, target, body)
                data = json.dumps(content).encode()
                writer.write(
                    encode(status, {"Content-Type": "application/json"}, data)
                )
                await writer.drain()
        writer.close()

    async def _respond(self, method, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        parts = [urllib.parse.unquote(part) for part in url.path.split("/")]
        kind, name = parts[2], parts[3] if len(parts) > 3 else ""
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET" and name:
            found = self.objects.get((kind, name))
            return (200, found) if found else (404, {})
        if method == "GET":
            items = [
                found
                for key, found in sorted(self.objects.items())
                if key[0] == kind and key[1] > query.get("after", "")
            ]
            page = {"items": items, "hasMore": False}
            return 200, page | {"currentRev": self.revision}
        content = json.loads(body) if body else {}
        metadata = content.get("metadata") or {}
        name = name or metadata.get("name", "")
        known = self.objects.get((kind, name))
        if method == "POST":
            if known:
                return 409, known
            return 201, self._write(kind, name, content)
        if known is None:
            return 404, {}
        expected = metadata.get("revision", query.get("revision"))
        if expected is not None and (
            int(expected) != known["metadata"]["revision"]
        ):
            return 409, known
        if method == "DELETE":
            del self.objects[kind, name]
            self.revision += 1
            self._note(kind, known, True)
            return 200, {}
        return 200, self._write(kind, name, content)

    async def _watch(self, kind, query):
        after = int(query["watch"])
        end = time.monotonic() + int(query.get("waitMs", 0)) / 1000.0
        while True:
            changed = self._changed
            events = [
                event
                for revision, event_kind, event in self._events
                if revision > after and event_kind == kind
            ]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left):
                    await changed.wait()


@dataclasses.dataclass(slots=True)
class Run:
    """A request that a server began to run."""

    attempt: str
    server: str
    at: float


class Server:
    """An application server beside a node.

    Args:
        machine: Its machine.
        service: Its service.
        slots: Requests that it runs concurrently.
        work_s: Returns the time that a request takes, by its path.
        body: Returns the answer to a request, by its path.
    """

    def __init__(self, machine, service, slots, work_s, body):
        self.machine = machine
        self.service = service
        self.slots = slots
        self.id = f"i-{random.getrandbits(32):08x}"
        self.runs = []
        self._work_s = work_s
        self._body = body
        self._running = 0
        self._waiting = 0
        self._free = asyncio.Semaphore(slots)
        self._sequence = 0
        self._born = int(time.time() * 1000)

    async def start(self):
        await asyncio.start_server(
            self._serve, self.machine.ip, self.machine.ports.app, limit=READ_LIMIT
        )

    async def _serve(self, reader, writer):
        with contextlib.suppress(OSError, EOFError, asyncio.IncompleteReadError):
            while True:
                first, fields = await read_head(reader)
                body = await read_body(reader, fields)
                method, path, _ = first.split(" ")
                answering = asyncio.ensure_future(
                    self._answer(method, path, fields, body)
                )
                # Nothing follows a request before its answer, so what can be
                # read next is the end of the connection: the run is dropped.
                closed = asyncio.ensure_future(reader.read(1))
                await asyncio.wait(
                    (answering, closed), return_when=asyncio.FIRST_COMPLETED
                )
                if not answering.done():
                    answering.cancel()
                    break
                writer.write(answering.result())
                await writer.drain()
                if closed.done():
                    break
                closed.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await closed
        writer.close()

    async def _answer(self, method, path, fields, _body):
        attempt = fields.get("x-attempt-id", "")
        common = {"X-Attempt-Id": attempt, "X-Instance-Id": self.id}
        refusal = common | {"X-Not-Executed": "1"}
        if path == "/health":
            return encode(200, common | {"X-Server-Load": self._load()}, b"")
        if fields.get("x-target-instance", self.id) != self.id:
            return encode(421, refusal, b"")
        if not attempt:
            return encode(400, refusal, b"")
        limit_s = int(fields.get("x-deadline-ms", "30000")) / 1000.0
        if self._running >= self.slots and self._waiting >= 108:
            return encode(503, refusal | {"X-Server-Load": self._load()}, b"")
        self._waiting += 1
        try:
            async with asyncio.timeout(limit_s):
                await self._free.acquire()
        except TimeoutError:
            return encode(503, refusal | {"X-Server-Load": self._load()}, b"")
        finally:
            self._waiting -= 1
        self._running += 1
        self.runs.append(Run(attempt, self.id, time.monotonic()))
        try:
            await asyncio.sleep(min(self._work_s(path), limit_s))
        finally:
            self._running -= 1
            self._free.release()
        fields = common | {
            "X-Server-Signature": f"sig-{attempt}",
            "X-Server-Load": self._load(),
            "Keep-Alive": "timeout=10",
        }
        return encode(200, fields, self._body(path))

    def _load(self):
        return f"{self._running},{self._waiting},{self.slots},100"

    async def keep_reporting(self):
        """Sends a status report about every ``HEARTBEAT_S``."""
        machine = self.machine
        while True:
            self._sequence += 1
            report = {
                "service": self.service,
                "address": f"{machine.ip}:{machine.ports.app}",
                "zone": machine.zone,
                "version": "v1",
                "slots": self.slots,
                "state": "ready",
                "coldRemainingMs": 0,
                "sequence": self._sequence,
                "born": self._born,
            }
            with contextlib.suppress(
                OSError, EOFError, TimeoutError, asyncio.IncompleteReadError
            ):
                async with asyncio.timeout(1.0):
                    await self._report(json.dumps(report).encode())
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    async def _report(self, body):
        machine = self.machine
        reader, writer = await asyncio.open_connection(
            machine.ip, machine.ports.control
        )
        try:
            head = (
                f"PUT /instances/{self.id} HTTP/1.1\r\nHost: {machine.ip}\r\n"
                "Content-Type: application/json\r\nConnection: close\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await reader.read()
        finally:
            writer.close()


@dataclasses.dataclass(slots=True, frozen=True)
class Ports:
    """Ports, which are the same on all machines."""

    inbound: int
    app: int
    ready: int
    outbound: int
    control: int
    internal: int


class Machine:
    """A machine of class ``sidecar`` and the process of its node.

    Attributes:
        ends: Times at which the process ended because of its memory.
        peak_mb: Most anonymous memory that the process was seen to hold.
    """

    def __init__(self, name, zone, ip, ports, service, fleet):
        self.name = name
        self.zone = zone
        self.ip = ip
        self.ports = ports
        self.service = service
        self.ends = []
        self.peak_mb = 0.0
        self.server = None
        self._fleet = fleet
        self._process = None
        self._is_wanted = False

    def settings(self, first_start):
        fleet, ports = self._fleet, self.ports
        seeds = [
            f'"{each.ip}:{ports.control}"' for each in fleet.machines[:3]
        ]
        zones = "".join(f'{zone} = "hu-west"\n' for zone in fleet.zones)
        return f"""[self]
nodeName = "{self.name}"
role = "node"
machineClass = "sidecar"
serves = ["sidecar","control"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "hu-west"
inTolerance = false
firstStart = {str(first_start).lower()}
appAddr = "{self.ip}:{ports.app}"
service = "{self.service}"
[self.limits]
cpuShare = 0.86
cores = 2
memoryMb = {fleet.memory_mb}
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[network]
internalPorts = [{ports.internal},{ports.internal + 15}]
seeds = [{",".join(seeds)}]
[network.listen]
inbound = "{self.ip}:{ports.inbound}"
outbound = "{self.ip}:{ports.outbound}"
ready = "{self.ip}:{ports.ready}"
control = "{self.ip}:{ports.control}"
[network.zones]
{zones}[platform]
discovery = "local"
entry = "local"
heartbeatMs = 1500
[platform.platform]
address = "{fleet.store.address[0]}:{fleet.store.address[1]}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
[terms]
contracts = ["base","drain","config","cost","retry","recover","pressure","platform"]
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

    async def start(self, first_start=True):
        self._is_wanted = True
        path = self._fleet.folder / f"{self.name}.toml"
        path.write_text(self.settings(first_start))
        keep = ("PATH", "HOME", "LANG")
        environment = {
            name: os.environ[name] for name in keep if name in os.environ
        }
        environment["CELERYFIELD_BOOT"] = str(path)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with open(self._fleet.folder / f"{self.name}.log", "ab") as log:
            self._process = await asyncio.create_subprocess_exec(
                "python3",
                "-m",
                "celeryfield.platform",
                cwd=ROOT,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number):
        """Sends a signal to the process of the node."""
        if self._process is not None and self._process.returncode is None:
            self._process.send_signal(number)

    async def kill(self):
        self._is_wanted = False
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self._process is not None:
            await self._process.wait()

    def memory_mb(self):
        """Returns the anonymous memory of the process, in MB."""
        try:
            text = pathlib.Path(f"/proc/{self._process.pid}/status").read_text()
        except OSError:
            return 0.0
        _, found, rest = text.partition("RssAnon:")
        return int(rest.split()[0]) / 1024.0 if found else 0.0

    async def watch(self):
        """Does what the platform does: kills above the limit, restarts."""
        record = self._fleet.record
        while True:
            await asyncio.sleep(0.02)
            if not self._is_wanted:
                continue
            if self._process.returncode is not None:
                record.say(
                    f"{self.name}: process ended with status "
                    f"{self._process.returncode}"
                )
                self.ends.append(time.monotonic())
                await asyncio.sleep(RESTART_DELAY_S)
                await self.start(first_start=False)
                continue
            used = self.memory_mb()
            self.peak_mb = max(self.peak_mb, used)
            if used > self._fleet.memory_mb:
                record.say(
                    f"{self.name}: {used:.0f} MB are over the limit of "
                    f"{self._fleet.memory_mb} MB; the platform kills it"
                )
                self._process.kill()
                await self._process.wait()

    async def is_ready(self):
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    self.ip, self.ports.ready
                )
                writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
                try:
                    line = await reader.readline()
                finally:
                    writer.close()
                return b" 200 " in line
        return False


def route(name, prefix, service, kind, timeout_ms, **fields):
    """Returns a route of the configuration."""
    spec = {
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 1500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2,
    } | fields
    return {
        "resourceType": "routes",
        "metadata": {"name": name},
        "spec": spec,
    }


class Fleet:
    """Machines, their servers and the store.

    Args:
        record: Where to write what happens.
        folder: Temporary folder for settings and logs.
        services: Number of machines and slots by service.
        routes: Routes of the configuration.
        work_s: Returns the time that a request takes, by its path.
        body: Returns the answer to a request, by its path.
        memory_mb: Memory limit of each node.
    """

    def __init__(
        self, record, folder, services, routes, work_s, body, memory_mb=MEMORY_MB
    ):
        self.record = record
        self.folder = folder
        self.memory_mb = memory_mb
        self.zones = ("gyor-a", "gyor-b", "gyor-c")
        self.machines = []
        self.servers = []
        self._tasks = []
        net = f"127.{random.randrange(20, 250)}.{random.randrange(1, 250)}"
        count = sum(number for number, _ in services.values())
        ports = self._free_ports([f"{net}.{n + 2}" for n in range(count)])
        self.store = Store((f"{net}.1", ports.app))
        for service, (number, slots) in services.items():
            for index in range(number):
                machine = Machine(
                    f"sidecar-{service}-{index + 1}",
                    self.zones[index % len(self.zones)],
                    f"{net}.{len(self.machines) + 2}",
                    ports,
                    service,
                    self,
                )
                machine.server = Server(machine, service, slots, work_s, body)
                self.machines.append(machine)
                self.servers.append(machine.server)
        self.store.put(
            "config",
            "main",
            {
                "version": "00000007",
                "resources": [
                    *routes,
                    *(
                        {
                            "resourceType": "services",
                            "metadata": {"name": service},
                            "spec": {
                                "healthPath": "/health",
                                "maxConnections": 574,
                                "protocol": "h1",
                                "tls": False,
                            },
                        }
                        for service in services
                    ),
                    {
                        "resourceType": "limits",
                        "metadata": {},
                        "spec": {
                            "maxHeaderBytes": 16384,
                            "maxBodyBytes": 67108864,
                            "headerTimeoutMs": 3000,
                            "idleTimeoutMs": 15000,
                        },
                    },
                ],
            },
        )

    @staticmethod
    def _free_ports(ips):
        """Returns ports that are free on all machines."""
        while True:
            first = random.randrange(12_000, 30_000)
            ports = Ports(*range(first, first + 5), first + 5)
            with contextlib.ExitStack() as stack:
                try:
                    for ip in ips:
                        for port in range(first, first + 21):
                            probe = stack.enter_context(socket.socket())
                            probe.bind((ip, port))
                except OSError:
                    continue
            return ports

    def on(self, service):
        """Returns the machines of a service."""
        return [each for each in self.machines if each.service == service]

    def runs_by_attempt(self):
        """Returns the runs of each attempt on all servers."""
        runs = {}
        for server in self.servers:
            for run in server.runs:
                runs.setdefault(run.attempt, []).append(run)
        return runs

    async def start(self):
        """Starts all, and waits until each node is ready."""
        asyncio.get_running_loop().set_exception_handler(hide_cancelled)
        await self.store.start()
        for server in self.servers:
            await server.start()
        for machine in self.machines:
            await machine.start()
        for server in self.servers:
            self.spawn(server.keep_reporting())
        async with asyncio.timeout(40):
            for machine in self.machines:
                while not await machine.is_ready():
                    await asyncio.sleep(0.1)
        for machine in self.machines:
            self.spawn(machine.watch())
        self.record.say(f"{len(self.machines)} nodes are ready")

    def spawn(self, work):
        task = asyncio.ensure_future(work)
        self._tasks.append(task)
        return task

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for machine in self.machines:
            await machine.kill()


@dataclasses.dataclass(slots=True)
class Try:
    """One client attempt.

    Attributes:
        status: Status of the answer; 0 if there was none.
        is_kept: Whether the connection had carried a request before, or
            was to carry another one.
        end: ``answer``, or how the connection ended instead.
    """

    attempt: str
    kind: str
    machine: str
    sent: float
    ended: float = 0.0
    status: int = 0
    is_kept: bool = True
    end: str = ""
    is_whole: bool = False


def new_attempt():
    return f"{random.getrandbits(64):016x}"


def request_bytes(method, path, attempt, limit_ms, body=b""):
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"X-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {limit_ms}\r\n"
    )
    if body or method == "POST":
        head += f"Content-Length: {len(body)}\r\n"
    return head.encode() + b"\r\n" + body


async def read_answer(reader, tried):
    """Reads a whole answer; returns whether the connection may be kept."""
    first, fields = await read_head(reader)
    body = await reader.readexactly(int(fields.get("content-length", 0)))
    tried.status = int(first.split(" ")[1])
    tried.is_whole = bool(fields.get("x-server-signature")) and (
        tried.status == 200
    )
    tried.end = "answer"
    del body
    return fields.get("connection", "").lower() != "close"


async def keep_asking(machine, kind, method, path, limit_ms, tries, pause_s, body=b""):
    """An ordinary client: one request after another on a kept connection."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(
                machine.ip, machine.ports.outbound, limit=READ_LIMIT
            )
        except OSError:
            await asyncio.sleep(0.2)
            continue
        try:
            is_kept = True
            while is_kept:
                attempt = new_attempt()
                tried = Try(attempt, kind, machine.name, time.monotonic())
                tries.append(tried)
                try:
                    async with asyncio.timeout(limit_ms / 1000.0 + 0.5):
                        writer.write(
                            request_bytes(method, path, attempt, limit_ms, body)
                        )
                        await writer.drain()
                        is_kept = await read_answer(reader, tried)
                except asyncio.IncompleteReadError:
                    tried.end = "closed"
                except OSError as error:
                    is_late = isinstance(error, TimeoutError)
                    tried.end = "gave up" if is_late else "reset"
                tried.ended = time.monotonic()
                if tried.end != "answer":
                    is_kept = False
                await asyncio.sleep(pause_s * random.uniform(0.5, 1.5))
        finally:
            writer.transport.abort()
        await asyncio.sleep(0.2)


def write_tries(record, tries, runs):
    """Writes what was sent, answered and run."""
    for each in tries:
        record.write(
            f"{each.kind} {each.attempt} at {each.machine}: "
            f"{each.end or 'open'} {each.status} after "
            f"{max(each.ended - each.sent, 0.0) * 1000.0:.0f} ms, "
            f"run {len(runs.get(each.attempt, ()))} times"
        )


async def run_until_ended(work):
    """Runs a play; SIGTERM, as of a time limit, ends it with its processes."""
    playing = asyncio.ensure_future(work)
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, playing.cancel)
    async with asyncio.timeout(MAX_PLAY_S):
        return await playing


def main(folder, play):
    """Runs a play; ends the process with its result.

    Args:
        folder: Folder of the case.
        play: Coroutine function of record, temporary folder and whether there
            is trouble; returns whether the rule held, or None if it could not
            be tried.
    """
    import tempfile

    record = Record(folder)
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    result = None
    with tempfile.TemporaryDirectory() as temporary:
        try:
            result = asyncio.run(
                run_until_ended(
                    play(record, pathlib.Path(temporary), has_trouble)
                )
            )
        except (Exception, asyncio.CancelledError) as error:
            record.say(f"the case could not run: {error!r}")
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                import shutil

                shutil.copytree(temporary, keep, dirs_exist_ok=True)
        record.close()
    sys.exit({None: 2, False: 1, True: 0}[result])
