"""In-memory network and virtual time for the membership tests."""

import asyncio
import collections
import random
import selectors

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.records import SeedAddress
from celeryfield.internal.membership.service import Membership
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import (
    IdentitySettings,
    ListenSettings,
    MembershipSettings,
    NodeSettings,
)


class _VirtualSelector(selectors.SelectSelector):
    """Advances the virtual time of the loop instead of waiting."""

    now_s = 1_000.0

    def select(self, timeout=None):
        self.now_s += timeout or 0.0
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose sleeps take no real time."""

    def __init__(self):
        self._virtual = _VirtualSelector()
        super().__init__(self._virtual)

    def time(self):
        return self._virtual.now_s


class NodeClock(Clock):
    """Virtual time of one node, which can be paused."""

    def __init__(self):
        self.running = asyncio.Event()
        self.running.set()

    def now_ms(self):
        return asyncio.get_running_loop().time() * 1000.0

    def wall_ms(self):
        return int(self.now_ms())

    async def sleep_ms(self, duration_ms):
        await asyncio.sleep(max(duration_ms, 0.0) / 1000.0)
        await self.running.wait()


class _Socket:
    def __init__(self, network, endpoint):
        self._network = network
        self._endpoint = endpoint
        self.port = endpoint[1]

    def send(self, data, endpoint):
        self._network.send(self._endpoint, endpoint, data)

    def close(self):
        self._network.nodes_by_endpoint.pop(self._endpoint, None)


class Node:
    """A member with its clock, and datagrams that arrived during a pause."""

    def __init__(self, node_id, membership, clock, endpoint):
        self.id = node_id
        self.membership = membership
        self.clock = clock
        self.endpoint = endpoint
        self.unread = []
        self.on_datagram = None

    def deliver(self, data, source):
        if self.clock.running.is_set():
            self.on_datagram(data, source)
        else:
            self.unread.append((data, source))

    def resume(self):
        self.clock.running.set()
        unread, self.unread = self.unread, []
        for data, source in unread:
            self.on_datagram(data, source)


class Network:
    """Delivers datagrams between nodes with delay, loss and cut links.

    ``is_cut(source_id, target_id)`` returns whether datagrams in this direction
    are dropped.
    """

    def __init__(self, seed=0, **membership):
        self.rng = random.Random(seed)
        self.loss = 0.0
        self.max_delay_ms = 5.0
        self.is_cut = lambda source, target: False
        self.has_store = True
        self.nodes_by_id = {}
        self.nodes_by_endpoint = {}
        self.largest_bytes = 0
        self.sent_bytes = 0
        self.history = collections.deque(maxlen=300)
        self._membership = membership
        self._port = 2000

    def send(self, source, target, data):
        self.largest_bytes = max(self.largest_bytes, len(data))
        self.sent_bytes += len(data)
        self.history.append((data, source))
        receiver = self.nodes_by_endpoint.get(target)
        sender = self.nodes_by_endpoint.get(source)
        if receiver is None or sender is None:
            return
        ids = (sender.id, receiver.id)
        if self.rng.random() < self.loss or self.is_cut(*ids):
            return
        delay_s = self.rng.uniform(0.1, self.max_delay_ms) / 1000.0
        loop = asyncio.get_running_loop()
        loop.call_later(delay_s, self._deliver, target, data, source)

    def _deliver(self, target, data, source):
        receiver = self.nodes_by_endpoint.get(target)
        if receiver is not None:
            receiver.deliver(data, source)

    async def _seeds(self):
        if not self.has_store:
            raise OSError("the store is down")
        endpoints = list(self.nodes_by_endpoint)[:3]
        return [SeedAddress(address, port) for address, port in endpoints]

    async def start(
        self,
        node_id,
        zone="z1",
        region="r1",
        services=("stock",),
        endpoint=None,
    ):
        """Starts a member, or a later incarnation of it."""
        self._port += 1
        endpoint = endpoint or ("127.0.0.1", self._port)
        settings = NodeSettings(
            node=IdentitySettings(id=node_id, zone=zone, region=region),
            listen=ListenSettings(peer_port=endpoint[1]),
            membership=MembershipSettings(**self._membership),
        )
        clock = NodeClock()

        async def open_socket(address, port, on_datagram):
            node.on_datagram = on_datagram
            self.nodes_by_endpoint[endpoint] = node
            return _Socket(self, endpoint)

        rng = random.Random(self.rng.random())
        membership = Membership(settings, clock, rng, self._seeds, open_socket)
        node = Node(node_id, membership, clock, endpoint)
        membership.update_local(make_announcements(services), "alive")
        await membership.start()
        self.nodes_by_id[node_id] = node
        return node

    async def start_many(self, count, zones=1, regions=1):
        """Starts members ``n0``... spread over zones and regions."""
        for number in range(count):
            zone = number % zones
            await self.start(f"n{number}", f"z{zone}", f"r{zone % regions}")

    async def crash(self, node_id):
        """Stops a member without announcing a leave."""
        node = self.nodes_by_id.pop(node_id)
        self.nodes_by_endpoint.pop(node.endpoint, None)
        node.resume()
        await node.membership.stop()

    async def stop(self):
        for node_id in list(self.nodes_by_id):
            await self.crash(node_id)

    def get_views(self, member_id):
        """Returns the record of a member in each running member's view."""
        return [
            node.membership.members_by_id.get(member_id)
            for node in self.nodes_by_id.values()
        ]

    def get_states(self, member_id):
        """Returns the states of a member in the views of running members."""
        return {
            None if view is None else view.state.value
            for view in self.get_views(member_id)
        }

    def disagreements(self):
        """Returns pairs of running members whose views are not current."""
        return [
            (holder_id, member_id)
            for holder_id, holder in self.nodes_by_id.items()
            for member_id, node in self.nodes_by_id.items()
            if not _is_current(holder.membership, node.membership, member_id)
        ]


def _is_current(holder, owner, member_id):
    view = holder.members_by_id.get(member_id)
    own = owner.members_by_id[member_id]
    return view is not None and (view.version, view.state, view.services) == (
        own.version,
        own.state,
        own.services,
    )


def make_announcements(services, state="ready"):
    return [gossip.Announcement(name, state, 70, 500) for name in services]


def run_virtual(coroutine):
    """Runs a test in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
