"""How long ago a node was in contact with the store."""

import math

from celeryfield.internal.clock import Clock
from celeryfield.internal.store.client import StoreClient
from celeryfield.internal.store.prefix_watcher import PrefixWatcher


def contact_age_ms(
    clock: Clock, store: StoreClient, record_watcher: PrefixWatcher
) -> float:
    """Returns the age of the last contact in which records could change.

    Responses that may be stale count only while the watch of the records works:
    a part of the store that has lost the others can give nothing else.

    Returns:
        The age in ms; infinite before the records were first read.
    """
    confirmed_ms = record_watcher.last_confirmed_ms
    if confirmed_ms is None:
        return math.inf
    if record_watcher.available_since_ms is not None:
        confirmed_ms = max(confirmed_ms, store.last_response_ms or 0.0)
    return clock.now_ms() - confirmed_ms
