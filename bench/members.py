"""Worker process of the membership benchmark, which runs several members."""

import asyncio
import collections
import os
import random
import resource
import time

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.gossip_transport import Kind
from celeryfield.internal.membership.records import Health, SeedAddress
from celeryfield.internal.membership.service import Membership
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import (
    IdentitySettings,
    ListenSettings,
    MembershipSettings,
    NodeSettings,
)

ZONES = 9
REGIONS = 4
# IPv4 and UDP headers of each datagram.
UDP_HEADER_BYTES = 28
POLL_S = 0.01
# Long enough to use no measurable CPU.
TIMER_INTERVAL_S = 0.2
WAIT_LIMIT_S = 60.0


class Worker:
    """The members of one process.

    The public coroutines are commands that the main process sends by name,
    except ``measure_timer_lag``.
    """

    def __init__(self) -> None:
        self.clock = Clock()
        self.members_by_id: dict[str, Membership] = {}
        self.seed_ports: list[int] = []
        self.secret_file = ""
        self.counts: collections.Counter[str] = collections.Counter()
        self.ack_times_ms: list[float] = []
        self.timer_lags_ms: list[float] = []

    async def measure_timer_lag(self) -> None:
        """Records how late the timers of this event loop fire."""
        while True:
            due_s = time.monotonic() + TIMER_INTERVAL_S
            await asyncio.sleep(TIMER_INTERVAL_S)
            self.timer_lags_ms.append(1000 * (time.monotonic() - due_s))

    async def _seeds(self) -> list[SeedAddress]:
        return [SeedAddress("127.0.0.1", port) for port in self.seed_ports]

    async def add(self, numbers: list[int]) -> list[tuple[str, int, bytes]]:
        """Starts members; returns id, port and record of each."""
        return [await self._add(number) for number in numbers]

    async def _add(self, number: int) -> tuple[str, int, bytes]:
        zone = number % ZONES
        settings = NodeSettings(
            node=IdentitySettings(
                id=f"hu-west-{zone}-vm{number:05}",
                zone=f"hu-west-{zone}",
                region=f"region-{zone % REGIONS}",
            ),
            listen=ListenSettings(peer_port=0),
            membership=MembershipSettings(secret_file=self.secret_file),
        )
        rng = random.Random(number)
        member = Membership(settings, self.clock, rng, self._seeds)
        service = gossip.Announcement(
            f"service{number % 100}", "ready", 70, 500
        )
        member.update_local([service], "alive")
        self._instrument(member)
        await member.start()
        member_id = settings.node.id
        self.members_by_id[member_id] = member
        return member_id, member.port, member.members_by_id[member_id].blob

    def _instrument(self, member: Membership) -> None:
        """Wraps methods of a member to count and time its messages.

        Counts messages by kind, health changes and refutations, and records
        the times from pings to their acks.
        """
        counts, transport = self.counts, member._transport
        send, set_health = transport.send, member._table.set_health
        refute, on_ack = member._local.refute, member._detector.on_ack
        sent_s_by_sequence: dict[int, float] = {}

        def counted_send(message, endpoints, piggyback=True):
            receivers = tuple(endpoints)
            before = transport.counters.sent_bytes
            send(message, receivers, piggyback)
            kind = Kind(message.kind).name
            sent_bytes = transport.counters.sent_bytes - before
            counts["sent_bytes"] += sent_bytes + UDP_HEADER_BYTES * len(
                receivers
            )
            counts[f"kind_{kind}"] += len(receivers)
            if kind == "PING":
                sent_s_by_sequence[message.sequence] = time.monotonic()

        def timed_on_ack(message):
            sent_s = sent_s_by_sequence.pop(message.sequence, None)
            if sent_s is not None:
                self.ack_times_ms.append(1000 * (time.monotonic() - sent_s))
            on_ack(message)

        def counted_set_health(target, health, gone_ms=0):
            is_set = set_health(target, health, gone_ms)
            counts[f"set_{Health(health).name}"] += is_set
            return is_set

        def counted_refute(record, health):
            is_refuted = refute(record, health)
            counts["refuted"] += is_refuted
            return is_refuted

        transport.send = counted_send
        member._detector.on_ack = timed_on_ack
        member._table.set_health = counted_set_health
        member._local.refute = counted_refute

    async def introduce(self, blobs: list[bytes], ports: list[int]) -> None:
        """Adds the records of all members to each table, without traffic.

        Also sets the seed ports of members that start later.
        """
        deltas = [gossip.Delta(blob) for blob in blobs]
        for member in self.members_by_id.values():
            for delta in deltas:
                member._table.merge(delta)
            member._delta_queue._sent_by_key.clear()
            member._join_coordinator.is_synced = True
            await asyncio.sleep(0)
        self.seed_ports = ports

    async def use_secret(self, path: str) -> None:
        """Sets the secret file of members that start later."""
        self.secret_file = path

    async def use_seeds(self, ports: list[int]) -> None:
        """Sets the seed ports of members that start later."""
        self.seed_ports = ports

    async def read(self) -> dict[str, float]:
        """Returns the totals of this process and the bytes each member sent.

        The recorded ack times and timer lags are cleared.
        """
        acks_ms, self.ack_times_ms = self.ack_times_ms, []
        lags_ms, self.timer_lags_ms = self.timer_lags_ms, []
        usage = resource.getrusage(resource.RUSAGE_SELF)
        sent_by_id = {
            member_id: member.counters.sent_bytes
            + UDP_HEADER_BYTES * member.counters.sent_datagrams
            for member_id, member in self.members_by_id.items()
        }
        return {
            "wall_s": time.monotonic(),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss_mb": usage.ru_maxrss / 1024,
            "acks_ms": acks_ms,
            "lags_ms": lags_ms,
            "counts": dict(self.counts),
            "sent_by_id": sent_by_id,
        }

    async def crash(self, member_ids: list[str]) -> None:
        """Stops members without announcing that they leave."""
        for member_id in member_ids:
            member = self.members_by_id.pop(member_id)
            await member.stop()

    async def replace(self, member_id: str, number: int) -> float:
        """Lets a member leave and starts a new one in its place.

        Returns:
            The time in s until the new member has joined.
        """
        member = self.members_by_id.pop(member_id)
        member.update_local([], "leaving")
        await asyncio.sleep(0.5)
        await member.leave()
        await member.stop()
        new_id, _, _ = await self._add(number)
        started_s = time.monotonic()
        new = self.members_by_id[new_id]
        while not new.is_synced and time.monotonic() < started_s + WAIT_LIMIT_S:
            await asyncio.sleep(POLL_S)
        return time.monotonic() - started_s

    async def announce_leave(self, member_id: str) -> float:
        """Marks a member as leaving; returns the monotonic time in s."""
        self.members_by_id[member_id].update_local([], "leaving")
        return time.monotonic()

    async def hold_versions(self, versions: dict[str, int]) -> None:
        """Sets the versions of all members, which then adopt higher ones."""
        for member in self.members_by_id.values():
            member.subscribe_versions(adopt_higher_versions(member, versions))
            member.set_config_versions(versions)

    async def set_version(self, member_id: str, team: str) -> float:
        """Increments a version at one member; returns the time in s."""
        member = self.members_by_id[member_id]
        held = member._tracker.versions_by_team
        member.set_config_versions(held | {team: held[team] + 1})
        return time.monotonic()

    async def await_leaving(self, member_id: str) -> float:
        """Waits until all members see a member as leaving or gone.

        Returns:
            The monotonic time in s; infinite after the time limit.
        """

        def is_not_alive(member: Membership) -> bool:
            view = member.members_by_id.get(member_id)
            return view is None or view.state == "leaving"

        return await self._wait_for_all(is_not_alive)

    async def await_version(self, team: str, version: int) -> float:
        """Waits until all members hold a version of a team.

        Returns:
            The monotonic time in s; infinite after the time limit.
        """
        return await self._wait_for_all(
            lambda member: member._tracker.versions_by_team[team] >= version
        )

    async def _wait_for_all(self, condition) -> float:
        limit_s = time.monotonic() + WAIT_LIMIT_S
        while not all(map(condition, self.members_by_id.values())):
            if time.monotonic() > limit_s:
                return float("inf")
            await asyncio.sleep(POLL_S)
        return time.monotonic()


def adopt_higher_versions(member: Membership, held):
    """Returns a callback that adopts higher versions of peers."""
    highest = dict(held)

    def on_peer_versions(_peer, versions) -> None:
        for team, version in versions.items():
            highest[team] = max(version, highest.get(team, 0))
        member.set_config_versions(highest)

    return on_peer_versions


async def run_commands(pipe) -> None:
    """Runs commands from a pipe until it delivers None."""
    worker = Worker()
    lag_task = asyncio.create_task(worker.measure_timer_lag())
    loop = asyncio.get_running_loop()
    while True:
        command = await loop.run_in_executor(None, pipe.recv)
        if command is None:
            lag_task.cancel()
            os._exit(0)
        name, arguments = command
        pipe.send(await getattr(worker, name)(*arguments))


def run_worker(pipe) -> None:
    """Entry point of a worker process."""
    asyncio.run(run_commands(pipe))
