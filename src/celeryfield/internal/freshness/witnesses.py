"""Which nodes are asked for a proof, and in which order.

Problem: hundreds of nodes need a proof every second or so, and each call
to the store has a price. All nodes prefer the same few, the witnesses, and find
them without an election. Nodes that fail are passed over for a while.
"""

import random
from collections.abc import Callable, Mapping

from celeryfield.internal import rendezvous
from celeryfield.internal.clock import Clock
from celeryfield.internal.registry.records import NodeRecord

# Nodes for each witness that is asked first. Its answers take a small part of
# a processor, and one more witness costs the store one more call per interval.
NODES_PER_WITNESS = 64
# Witnesses behind those asked first, which read the store when they are asked.
SPARE_WITNESSES = 2
# Nodes asked in one round.
TARGETS_PER_ROUND = 3
# Time for which a node that did not answer is passed over. Asking it again
# takes a whole time limit if its VM is off.
SILENT_MS = 20_000.0
# The same for a node that answered without a recent proof.
UNPROVED_MS = 2_000.0
# All nodes rank the witnesses by this key.
ORDER_KEY = "witness"

RecordsById = Mapping[str, NodeRecord]


class WitnessList:
    """Order in which this node asks for proofs.

    Args:
        own_id: Id of this node.
        clock: Time source.
        read_records: Returns the records of all nodes.
    """

    def __init__(
        self,
        own_id: str,
        clock: Clock,
        read_records: Callable[[], RecordsById],
    ) -> None:
        self._own_id = own_id
        self._clock = clock
        self._read_records = read_records
        self._skipped_until_ms: dict[str, float] = {}

    @property
    def fleet_size(self) -> int:
        """Number of known nodes, this one included."""
        return len(self._read_records().keys() | {self._own_id})

    @property
    def is_witness(self) -> bool:
        """Whether this node reads the store when others ask it."""
        last = _first_witnesses(self.fleet_size) + SPARE_WITNESSES
        return self._own_id in self._order()[:last]

    def targets(self, others_first: bool = False) -> tuple[str, ...]:
        """Returns the ids of the nodes to ask in this round.

        Args:
            others_first: Puts this node, which reads the store, last.
        """
        now_ms = self._clock.boot_ms()
        # Nodes that are passed over come last, the longest known ones first.
        ordered = sorted(
            self._preferred_order(),
            key=lambda node_id: self._skipped_ms(node_id, now_ms),
        )
        targets = ordered[:TARGETS_PER_ROUND]
        if others_first:
            targets.sort(key=lambda node_id: node_id == self._own_id)
        return tuple(targets)

    def sample(self, rng: random.Random) -> tuple[str, ...]:
        """Returns the ids of other nodes in no order."""
        others = [
            node_id for node_id in self._order() if node_id != self._own_id
        ]
        return tuple(rng.sample(others, min(len(others), TARGETS_PER_ROUND)))

    def skip(self, node_id: str, duration_ms: float) -> None:
        """Passes over a node for a time in ms."""
        self._skipped_until_ms[node_id] = self._clock.boot_ms() + duration_ms
        known = self._read_records().keys() | {self._own_id}
        for other_id in self._skipped_until_ms.keys() - known:
            del self._skipped_until_ms[other_id]

    def _skipped_ms(self, node_id: str, now_ms: float) -> float:
        """Returns for how long a node is still passed over, in ms."""
        return max(self._skipped_until_ms.get(node_id, 0.0) - now_ms, 0.0)

    def _order(self) -> list[str]:
        """Returns the ids of all nodes that may be asked, the same at each."""
        ids = {
            node_id
            for node_id, record in self._read_records().items()
            if not record.is_draining
        }
        ids.add(self._own_id)
        return rendezvous.first_nodes(ORDER_KEY, ids, len(ids))

    def _preferred_order(self) -> list[str]:
        """Returns the order that begins with this node's witness."""
        order = self._order()
        count = min(_first_witnesses(len(order)), len(order))
        position = order.index(self._own_id)
        if position >= count:
            position = rendezvous.score(ORDER_KEY, self._own_id)[0] % count
        return order[position:] + order[:position]


def _first_witnesses(fleet_size: int) -> int:
    return 1 + fleet_size // NODES_PER_WITNESS
