"""Counters of the executor."""

import dataclasses


@dataclasses.dataclass(slots=True)
class ExecutorCounters:
    """Counters since the start of the node."""

    calls: int = 0
    retries: int = 0
    redirects: int = 0
    hedges: int = 0
    shed: int = 0
