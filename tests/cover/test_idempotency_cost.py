"""Test of the ledger's memory use, and a benchmark of its operations.

``PYTHONPATH=src python tests/cover/test_idempotency_cost.py`` prints the CPU
time of each operation and the size of an entry.
"""

import asyncio
import gc
import itertools
import statistics
import time
import tracemalloc

from celeryfield.internal.calls import CallResult, Outcome
from celeryfield.internal.clock import Clock
from celeryfield.internal.idempotency.keys import KeyOwner
from celeryfield.internal.idempotency.ledger import KeyLedger
from celeryfield.internal.schema import wire
from celeryfield.internal.schema.ledger import LedgerSnapshot
from celeryfield.internal.schema.settings import NodeSettings

NODE_MEMORY_BYTES = 256 * 1024 * 1024
# Share of the ledger, which is one of several tables of a node.
LEDGER_SHARE = 0.25
ENTRY_COUNT = 2_000
PROGRAM_COUNT = 20_000
ROUNDS = 5

SETTINGS = NodeSettings.model_validate(
    {"node": {"id": "hu-west-1a-order-017", "zone": "z", "region": "r"}}
)


def make_ledger(incarnation=1_796_360_000_000):
    return KeyLedger(SETTINGS, Clock(), SETTINGS.node.id, incarnation)


async def start():
    header = wire.Header("content-type", "application/json")
    return CallResult(outcome=Outcome.OK, headers=(header,))


async def run_all(ledger, issued):
    for number, key in enumerate(issued):
        await ledger.run_once(key, b"%016d" % number, start)


async def measure_entry_bytes(count):
    """Returns the size in bytes of one entry without its answer's body."""
    ledger = make_ledger()
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    await run_all(ledger, ledger.issue_many(count))
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / count


async def test_full_ledger_fits_its_share_of_the_node():
    """Guards against larger entries, or a limit of entries that is too high."""
    limits = SETTINGS.idempotency
    entry_bytes = await measure_entry_bytes(ENTRY_COUNT)
    total_bytes = limits.max_entries * entry_bytes + limits.total_answer_bytes
    assert total_bytes <= NODE_MEMORY_BYTES * LEDGER_SHARE


async def measure_costs(count):
    """Returns the CPU time of each operation in us, and a snapshot's size.

    The size is in bytes per entry.
    """
    ledger, successor = make_ledger(), make_ledger(2)
    times = [time.process_time()]

    def lap():
        times.append(time.process_time())

    issued = ledger.issue_many(count)
    lap()
    for key in issued:
        ledger.parse_owner(key)
    lap()
    await run_all(ledger, issued)
    lap()
    await run_all(ledger, issued)
    lap()
    owner = KeyOwner(SETTINGS.node.id, 2)
    data = ledger.close_and_export(owner).ok.encode()
    lap()
    successor.adopt(LedgerSnapshot.decode(data))
    lap()
    names = ("issue", "parse_owner", "first run", "re-send", "export", "adopt")
    costs = [
        (end - begin) / count * 1e6 for begin, end in itertools.pairwise(times)
    ]
    return dict(zip(names, costs, strict=True)), len(data) / count


async def print_costs():
    """Prints medians of several rounds, and their range."""
    rounds = [await measure_costs(PROGRAM_COUNT) for _ in range(ROUNDS)]
    for name in rounds[0][0]:
        values = [costs[name] for costs, _ in rounds]
        median = statistics.median(values)
        print(f"{name}: {median:.1f} us ({min(values):.1f}-{max(values):.1f})")
    print(f"snapshot: {rounds[0][1]:.0f} bytes per entry")
    print(f"entry: {await measure_entry_bytes(PROGRAM_COUNT):.0f} bytes")


if __name__ == "__main__":
    asyncio.run(print_costs())
