"""The platform's metadata store, as PROTOCOL.md describes it.

Objects by kind and name, one revision counter, lists, watches and conditional
writes. Each machine reaches the store at a port of its own, so that the store
can be slow, or away, for one machine only.
"""

import asyncio
import json

from aiohttp import web

HOST = "127.0.0.1"


class Store:
    """A sound store that loses nothing that it has acknowledged.

    Attributes:
        delay_s: Time that each answer takes.
        objects: Stored objects by kind and name.
        silent_ports: Ports at which calls get no answer and change nothing.
    """

    def __init__(self) -> None:
        self.delay_s = 0.004
        self.objects = {}
        self.silent_ports = set()
        self.on_write = lambda kind, name, spec: None
        self._revision = 100
        self._events = []
        self._changed = asyncio.Condition()
        self._runners = []

    async def listen(self, port: int) -> None:
        """Opens a port for one machine."""

        async def handle(request):
            return await self._handle(request, port)

        server = web.Server(handle, handler_cancellation=True)
        runner = web.ServerRunner(server, shutdown_timeout=0.1)
        await runner.setup()
        await web.TCPSite(runner, HOST, port).start()
        self._runners.append(runner)

    async def close(self) -> None:
        """Closes all ports."""
        for runner in self._runners:
            await runner.cleanup()

    async def put(self, kind: str, name: str, spec: object) -> None:
        """Writes an object on behalf of the operator."""
        self._store(kind, name, spec)
        await self._notify()

    def _store(self, kind, name, spec, status=None, finalizers=()):
        self._revision += 1
        known = self.objects.get((kind, name))
        created = known["metadata"]["createRev"] if known else self._revision
        found = {
            "metadata": {
                "name": name,
                "revision": self._revision,
                "createRev": created,
                "finalizers": list(finalizers),
                "deleting": False,
            },
            "spec": spec,
            "status": status,
        }
        self.objects[kind, name] = found
        self._events.append((self._revision, kind, found, False))
        self.on_write(kind, name, spec)
        return found

    async def _notify(self):
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request, port):
        body = await request.read()
        if port in self.silent_ports:
            await asyncio.Event().wait()
        await asyncio.sleep(self.delay_s)
        parts = request.path.split("/")
        if len(parts) < 3 or parts[1] != "objects":
            return web.Response(status=404)
        kind, name = parts[2], parts[3] if len(parts) > 3 else ""
        if request.method == "GET" and "watch" in request.query:
            return await self._watch(kind, request.query, port)
        if request.method == "GET":
            return self._read(kind, name)
        response = self._write(request, kind, name, body)
        await self._notify()
        return response

    def _read(self, kind, name):
        if name:
            found = self.objects.get((kind, name))
            return _json(found or {}, 200 if found else 404)
        items = [
            found
            for key, found in sorted(self.objects.items())
            if key[0] == kind
        ]
        return _json(
            {"items": items, "hasMore": False, "currentRev": self._revision}
        )

    def _write(self, request, kind, name, body):
        content = json.loads(body) if body else {}
        metadata = content.get("metadata", {})
        name = name or metadata.get("name")
        found = self.objects.get((kind, name))
        if request.method == "POST":
            if found:
                return _json(found, 409)
            return _json(self._store(kind, name, content.get("spec")), 201)
        if not found:
            return _json({}, 404)
        expected = metadata.get("revision", request.query.get("revision"))
        current = found["metadata"]["revision"]
        if expected is not None and int(expected) != current:
            return _json(found, 409)
        if request.method == "DELETE":
            self._revision += 1
            del self.objects[kind, name]
            self._events.append((self._revision, kind, found, True))
            return _json(found)
        spec = content.get("spec")
        if spec == found["spec"]:
            return _json(found)
        return _json(self._store(kind, name, spec))

    async def _watch(self, kind, query, port):
        after = int(query["watch"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query.get("waitMs", 0)) / 1000.0
        while True:
            if port in self.silent_ports:
                await asyncio.Event().wait()
            events = [
                {"object": found, "deleted": deleted}
                for revision, event_kind, found, deleted in self._events
                if event_kind == kind and revision > after
            ]
            left_s = end_s - loop.time()
            if events or left_s <= 0:
                return _json({"events": events, "currentRev": self._revision})
            try:
                async with asyncio.timeout(left_s), self._changed:
                    await self._changed.wait()
            except TimeoutError:
                pass


def _json(content, status=200):
    return web.json_response(content, status=status)
