"""A planned restart and a late status report undo an acknowledged leave.

Server 1 says with DELETE that it leaves, gets its acknowledgement and serves
on. Its node is stopped and started again as planned work while the store is
slow. A status report that the server sent before the DELETE arrives late, at
the new process, before the answer of the store. The rule DRAIN is checked as
written: no request reaches the server later than drainMs after the
acknowledgement, if the machines that took it and sent it on were in touch.
"""

import asyncio
import pathlib

import net
from deployment import (
    BROKEN,
    HELD,
    NOT_RUN,
    Caller,
    config,
    has_trouble,
    run_case,
    send_rounds,
)

DRAIN_S = 2.0
STABILITY_WINDOW_S = 3.0
# platform_slow of the site file: answers take 60 times as long, for 4.5 s.
USUAL_ANSWER_S = 0.004
SLOW_FACTOR = 60.0
SLOW_S = 4.5
# The platform starts a process again after a short delay.
RESTART_DELAY_S = 0.3
RETRY_S = 0.01
LATEST_S = 8.0


async def play(site):
    """Plays the case."""
    record = site.record
    routes = {"lookup": {"pathPrefix": "/stock/", "service": "stock"}}
    await site.start(config(1, routes, ["stock"]))
    machine, server = site.machines[0], site.servers[0]
    callers = [
        Caller(record, each, f"c{number}")
        for number, each in enumerate(site.machines)
    ]
    await asyncio.sleep(STABILITY_WINDOW_S + 0.5)
    await send_rounds(callers, "/stock/before", 3)
    late_report = server.next_report()
    record.write("server 1 sends a status report that will arrive late")
    await asyncio.sleep(0.3)
    server.stop_reports()
    if await server.send_leave() != 200:
        return NOT_RUN
    acked_s = record.write("the leave of server 1 is acknowledged")
    await machine.terminate()
    if has_trouble():
        slow = asyncio.ensure_future(slow_store(site))
    await asyncio.sleep(RESTART_DELAY_S)
    machine.start()
    await deliver(server, late_report)
    await machine.wait_ready()
    back_s = record.now_s()
    if has_trouble():
        await slow
    await asyncio.sleep(back_s + STABILITY_WINDOW_S + 0.3 - record.now_s())
    await asyncio.sleep(STABILITY_WINDOW_S + 0.3 - quiet_s(site))
    from_s = record.write("all machines are in touch")
    await send_rounds(callers, "/stock/after", 12)
    runs = [run for run in server.runs if run.at_s > from_s]
    late_s = [f"{run.at_s - acked_s:.2f}" for run in runs]
    record.write(f"requests at server 1, s after the ack: {' '.join(late_s)}")
    return BROKEN if any(run.at_s > acked_s + DRAIN_S for run in runs) else HELD


async def slow_store(site):
    """Makes the store slow for a time."""
    site.record.write("the store turns slow")
    site.store.delay_s = SLOW_FACTOR * USUAL_ANSWER_S
    await asyncio.sleep(SLOW_S)
    site.store.delay_s = USUAL_ANSWER_S
    site.slow_end_s = site.record.write("the store is as usual")


def quiet_s(site):
    """Returns the seconds since the store was disturbed last."""
    return site.record.now_s() - getattr(site, "slow_end_s", -1e9)


async def deliver(server, body):
    """Delivers the late report as soon as the control address accepts."""
    end_s = server.record.now_s() + LATEST_S
    while server.record.now_s() < end_s:
        answer = await net.request(
            server.control,
            "PUT",
            f"/instances/{server.id}",
            {"Content-Type": "application/json"},
            body,
        )
        if answer.status:
            server.record.write(
                f"late report {body.decode()} -> {answer.status}"
            )
            return
        await asyncio.sleep(RETRY_S)


run_case(pathlib.Path(__file__).parent, ["stock", "stock", "stock"], play)
