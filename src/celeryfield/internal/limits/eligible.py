"""Nodes that may own slices of rate limits."""

from collections.abc import Iterable

from celeryfield.internal.registry.records import NodeRecord

# A node whose upstream is replaced drains for a while and stays. One that
# drains for longer leaves.
MAX_DRAIN_MS = 10_000.0


class EligibleNodes:
    """Leaves out nodes whose upstreams have been draining for long.

    A node learns of its own drain before any other does, so it stops before
    its successors start.
    """

    def __init__(self) -> None:
        self._draining_since_ms_by_id: dict[str, float] = {}

    def select(
        self, node_records: Iterable[NodeRecord], now_ms: float
    ) -> dict[str, str]:
        """Returns the nodes that may own slices: their zones by their ids.

        Args:
            node_records: Records of all nodes.
            now_ms: Current time.
        """
        previous = self._draining_since_ms_by_id
        self._draining_since_ms_by_id = {}
        zones_by_id = {}
        for record in node_records:
            if record.is_draining:
                since_ms = previous.get(record.node_id, now_ms)
                self._draining_since_ms_by_id[record.node_id] = since_ms
                if now_ms - since_ms >= MAX_DRAIN_MS:
                    continue
            zones_by_id[record.node_id] = record.zone
        return zones_by_id
