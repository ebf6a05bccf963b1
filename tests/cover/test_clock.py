"""Tests of the manual clock."""

import asyncio

from celeryfield.internal.clock import ManualClock


async def test_sleep_ends_only_when_the_clock_passes_its_end():
    """Guards against tests that pass because sleeps return early."""
    clock = ManualClock()
    sleeper = asyncio.ensure_future(clock.sleep_ms(50))
    await asyncio.sleep(0)
    clock.advance(49)
    await asyncio.sleep(0)
    assert not sleeper.done()
    clock.advance(1)
    await sleeper
