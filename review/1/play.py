"""After a silence of the store a node goes on with an old configuration.

The store answers nothing to machine 1 for 9 s, while it serves the other
machines and the operator. Meanwhile the operator moves a route to another
service. The answer to the watch of machine 1 is lost in the silence, and its
connection returns nothing further; new calls are answered again after the
silence. The rule CONFIG is checked as written: a request sent later than
configMs after the acknowledgement of a version is not handled as only an older
version allows, by machines in touch.
"""

import asyncio
import pathlib

from deployment import (
    BROKEN,
    HELD,
    Caller,
    config,
    has_trouble,
    run_case,
)

CONFIG_S = 2.0
STABILITY_WINDOW_S = 3.0
SILENCE_S = 9.0
CHECK_S = 8.0
MACHINES = ["stock", "orders", "orders"]


async def play(site):
    """Plays the case."""
    record, store = site.record, site.store
    await site.start(move_route(1, "stock"))
    machine, old_server = site.machines[0], site.servers[0]
    caller = Caller(record, machine, "c")
    await asyncio.sleep(STABILITY_WINDOW_S + 0.5)
    await put(site, move_route(2, "stock", timeout_ms=1900))
    await asyncio.sleep(CONFIG_S)
    await caller.send("/read/before")
    if has_trouble():
        store.silent_ports.add(machine.store_port)
        record.write("the store is silent to machine 1")
    await asyncio.sleep(SILENCE_S / 2)
    acked_s = await put(site, move_route(3, "orders"))
    await asyncio.sleep(SILENCE_S / 2)
    store.silent_ports.clear()
    record.write("the store answers machine 1 again")
    await asyncio.sleep(STABILITY_WINDOW_S + 0.3)
    in_touch_s = record.write("machine 1 is in touch")
    while record.now_s() < in_touch_s + CHECK_S:
        await caller.send("/read/after")
        await asyncio.sleep(0.2)
    old_s = [run.at_s for run in old_server.runs if run.at_s > in_touch_s]
    late_s = [f"{at_s - acked_s:.1f}" for at_s in old_s]
    record.write(f"run by the old service, s after the ack: {' '.join(late_s)}")
    return BROKEN if any(at_s > acked_s + CONFIG_S for at_s in old_s) else HELD


def move_route(version, service, timeout_ms=2000):
    """Returns a configuration whose route goes to a service."""
    fields = {
        "pathPrefix": "/read/",
        "service": service,
        "timeoutMs": timeout_ms,
    }
    return config(version, {"read": fields}, ["stock", "orders"])


async def put(site, content):
    """Writes a configuration as the operator; returns when it was acked."""
    await site.store.put("config", "main", content)
    return site.record.write(f"version {content['version']} is acknowledged")


run_case(pathlib.Path(__file__).parent, MACHINES, play)
