"""Tests of the manual clock."""

import asyncio

from celeryfield.internal.clock import ManualClock


async def test_wakes_sleepers_only_when_their_time_has_come():
    """Guards against tests that pass because sleeps return early."""
    clock = ManualClock()
    sleeper = asyncio.ensure_future(clock.sleep_ms(50))
    await asyncio.sleep(0)
    clock.advance(49)
    await asyncio.sleep(0)
    assert not sleeper.done()
    clock.advance(1)
    await sleeper
