"""Measures gossip traffic and CPU per member.

All members run in this one process and one event loop, over real UDP sockets
on the loopback interface. CPU per member is the CPU time of the process divided
by the number of members, so it includes the event loop and the system calls.
One process is the limit of the method: at 300 members the loop must stay below
one core, or probes are late; the share of the core is printed with the result.

The members of the start are introduced to each other by hand: hundreds of
joins within seconds in one process saturate its core and make it measure its
own overload.

Churn replaces members (leave, then a new member with a new id) at a stated
rate, so that the cost of one replacement can be read from the slope against
the rate at rest.
"""

import argparse
import asyncio
import dataclasses
import gc
import json
import random
import resource
import time

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.records import SeedAddress
from celeryfield.internal.membership.service import Membership
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.settings import (
    IdentitySettings,
    ListenSettings,
    NodeSettings,
)

ZONES = 9
REGIONS = 4
HEADER_BYTES = 28
TARGET_MEMBERS = 1800


@dataclasses.dataclass(slots=True)
class Reading:
    """Totals of the process at one time."""

    wall_s: float
    cpu_s: float
    sent_bytes: int
    sent_datagrams: int
    received_bytes: int
    received_datagrams: int


class Fleet:
    """All members of this process."""

    def __init__(self, probe_interval_ms: float) -> None:
        self.rng = random.Random(1)
        self.clock = Clock()
        self.members_by_id: dict[str, Membership] = {}
        self.left: list[Membership] = []
        self.next_number = 0
        self.is_introduced = False
        self.probe_interval_ms = probe_interval_ms

    async def seeds(self) -> list[SeedAddress]:
        """Returns the first members, once the fleet is introduced."""
        if not self.is_introduced:
            return []
        members = list(self.members_by_id.values())[:3]
        return [SeedAddress("127.0.0.1", member.port) for member in members]

    async def add(self) -> Membership:
        """Starts a member."""
        number = self.next_number
        self.next_number += 1
        zone = number % ZONES
        settings = NodeSettings(
            node=IdentitySettings(
                id=f"hu-west-{zone}-vm{number:05}",
                zone=f"hu-west-{zone}",
                region=f"region-{zone % REGIONS}",
            ),
            listen=ListenSettings(peer_port=0),
            membership={"probe_interval_ms": self.probe_interval_ms},
        )
        rng = random.Random(number)
        member = Membership(settings, self.clock, rng, self.seeds)
        service = gossip.Announcement(
            f"service{number % 100}", "ready", 70, 500
        )
        member.update_local([service], "alive")
        await member.start()
        self.members_by_id[settings.node.id] = member
        return member

    async def replace_one(self) -> None:
        """Lets one member leave and starts another."""
        old_id = self.rng.choice(list(self.members_by_id))
        member = self.members_by_id.pop(old_id)
        member.update_local([], "leaving")
        await asyncio.sleep(0.5)
        await member.leave()
        await member.stop()
        self.left.append(member)
        await self.add()

    async def stop(self) -> None:
        """Stops all members."""
        for member in self.members_by_id.values():
            await member.stop()

    def reading(self) -> Reading:
        """Returns the totals now."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        counters = [
            member.counters
            for member in [*self.members_by_id.values(), *self.left]
        ]
        return Reading(
            time.monotonic(),
            usage.ru_utime + usage.ru_stime,
            sum(entry.sent_bytes for entry in counters),
            sum(entry.sent_datagrams for entry in counters),
            sum(entry.received_bytes for entry in counters),
            sum(entry.received_datagrams for entry in counters),
        )

    def introduce_all(self) -> None:
        """Tells every member of all others, without any traffic."""
        deltas = [
            gossip.Delta(member.members_by_id[member_id].blob)
            for member_id, member in self.members_by_id.items()
        ]
        for member in self.members_by_id.values():
            for delta in deltas:
                member._table.merge(delta)
            member._deltas._sent_by_key.clear()
            member._joining.is_synced = True
        self.is_introduced = True

    async def converge(self) -> float:
        """Waits until every member knows all; returns the seconds."""
        started_s = time.monotonic()
        while any(
            len(member.members_by_id) < len(self.members_by_id)
            for member in self.members_by_id.values()
        ):
            await asyncio.sleep(0.2)
            if time.monotonic() - started_s > 120:
                message = "the members do not converge"
                raise RuntimeError(message)
        return time.monotonic() - started_s


def rates(first: Reading, last: Reading, count: int) -> dict[str, float]:
    """Returns the cost per member and second between two readings."""
    wall_s = last.wall_s - first.wall_s
    per_member = wall_s * count
    sent = last.sent_datagrams - first.sent_datagrams
    received = last.received_datagrams - first.received_datagrams
    sent_bytes = last.sent_bytes - first.sent_bytes + HEADER_BYTES * sent
    received_bytes = (
        last.received_bytes - first.received_bytes + HEADER_BYTES * received
    )
    cpu_s = last.cpu_s - first.cpu_s
    return {
        "sent_bytes_per_s": round(sent_bytes / per_member, 1),
        "received_bytes_per_s": round(received_bytes / per_member, 1),
        "datagrams_per_s": round((sent + received) / per_member, 2),
        "cpu_percent": round(100 * cpu_s / per_member, 4),
        "process_cores": round(cpu_s / wall_s, 3),
    }


async def until(condition, limit_s: float = 30.0) -> float:
    """Returns the milliseconds until a condition holds."""
    started_s = time.monotonic()
    while not condition():
        await asyncio.sleep(0.01)
        if time.monotonic() - started_s > limit_s:
            return -1.0
    return round(1000 * (time.monotonic() - started_s))


async def spread_of_leave(fleet: Fleet) -> float:
    """Returns the time until all know that a member is leaving."""
    member_id, member = next(iter(fleet.members_by_id.items()))
    member.update_local([], "leaving")

    def is_known() -> bool:
        return all(
            other.members_by_id[member_id].state == "leaving"
            for other in fleet.members_by_id.values()
        )

    return await until(is_known)


async def spread_of_versions(fleet: Fleet) -> float:
    """Returns the time until all hold a new version of one of 50 teams.

    Each member takes a version over as soon as it hears of it; the transfer of
    the file set itself is not part of the measurement.
    """
    held = {f"team-{number}": 1 for number in range(50)}
    for member in fleet.members_by_id.values():
        member.subscribe_versions(adopting(member, held))
        member.set_config_versions(held)
    await asyncio.sleep(20)
    newest = held | {"team-7": 2}
    next(iter(fleet.members_by_id.values())).set_config_versions(newest)

    def is_known() -> bool:
        return all(
            member._tracker.versions_by_team["team-7"] == 2
            for member in fleet.members_by_id.values()
        )

    return await until(is_known)


def adopting(member: Membership, held):
    """Returns a callback that takes over higher versions."""
    own = dict(held)

    def on_peer_versions(_peer, versions) -> None:
        for team, version in versions.items():
            own[team] = max(version, own.get(team, 0))
        member.set_config_versions(own)

    return on_peer_versions


async def measure(count: int, seconds: float, churn_per_s: float) -> dict:
    """Measures one number of members."""
    fleet = Fleet(1000.0)
    for _ in range(count):
        await fleet.add()
    result: dict = {"members": count}
    fleet.introduce_all()
    await asyncio.sleep(5)
    gc.collect()
    first = fleet.reading()
    await asyncio.sleep(seconds)
    result["rest"] = rates(first, fleet.reading(), count)
    first = fleet.reading()
    replacements = int(seconds * churn_per_s)
    started_s = time.monotonic()
    for number in range(replacements):
        await fleet.replace_one()
        due_s = started_s + (number + 1) / churn_per_s
        await asyncio.sleep(max(due_s - time.monotonic(), 0.0))
    last = fleet.reading()
    result["churn"] = rates(first, last, count)
    result["replacements_per_s"] = round(
        replacements / (last.wall_s - first.wall_s), 3
    )
    await fleet.converge()
    result["versions_ms"] = await spread_of_versions(fleet)
    result["leave_ms"] = await spread_of_leave(fleet)
    await fleet.stop()
    return result


def main() -> None:
    """Prints one JSON line per number of members."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--members", default="10,30,100,300")
    parser.add_argument("--seconds", type=float, default=30)
    parser.add_argument("--churn", type=float, default=0.2)
    arguments = parser.parse_args()
    for count in arguments.members.split(","):
        result = asyncio.run(
            measure(int(count), arguments.seconds, arguments.churn)
        )
        print(json.dumps(result), flush=True)


if __name__ == "__main__":
    main()
