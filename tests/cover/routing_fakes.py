"""Builders of settings, candidates, calls and executors for routing tests."""

import asyncio
import random

from celeryfield.internal.calls import Candidate
from celeryfield.internal.clock import Clock
from celeryfield.internal.routing.balancer import Balancer
from celeryfield.internal.routing.executor import CallExecutor
from celeryfield.internal.routing.levels import LevelTable
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.fileset import ClassSection
from celeryfield.internal.schema.settings import (
    IdentitySettings,
    NodeSettings,
    RoutingSettings,
)


class StepClock(Clock):
    """A stopped clock.

    Sleeps up to 1 ms take a few iterations of the event loop, longer ones
    never end.
    """

    def now_ms(self):
        return 0.0

    async def sleep_ms(self, duration_ms):
        if duration_ms > 1:
            await asyncio.get_running_loop().create_future()
        for _ in range(3):
            await asyncio.sleep(0)


def make_settings(**routing):
    identity = IdentitySettings(id="n1", zone="z1", region="r1")
    return NodeSettings(node=identity, routing=RoutingSettings(**routing))


def make_candidates(service, count, zones=("z1",), **fields):
    return [
        Candidate(
            f"{service}-{number}",
            1,
            "127.0.0.1",
            7301,
            zones[number % len(zones)],
            service,
            **fields,
        )
        for number in range(count)
    ]


def make_executor(send, clock=None, settings=None, rule=None, services=("s",)):
    """Returns an executor with three candidates per service."""
    clock = clock or StepClock()
    settings = settings or make_settings()
    rule = rule or ClassSection(retry_ratio=1)
    balancer = Balancer(settings, clock, random.Random(1))
    for service in services:
        balancer.set_candidates(service, make_candidates(service, 3))
    levels = LevelTable(settings, clock)
    executor = CallExecutor(
        settings, clock, balancer, send, lambda _name: rule, levels
    )
    return executor, levels, balancer


def make_call(service="s", **fields):
    values = {
        "call_id": "c",
        "root_id": "r",
        "class_name": "k",
        "priority": 50,
        "deadline_left_ms": 1000.0,
        "repeatable": True,
    }
    return wire.Call(service=service, **(values | fields))
