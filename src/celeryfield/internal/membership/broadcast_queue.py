"""Queues of changes that are added to outgoing messages."""

import math
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Item = TypeVar("Item")

# Receivers of one push of a change.
PUSH_FANOUT = 4
# One push by every member misses 1 member in 55 (e^-4), two miss 1 in 3,000.
PUSH_ROUNDS = 2
# Each change is sent this many times the decimal logarithm of the members
# after the pushes. With a factor of 1 and 10% loss, 1 change in 10 reached the
# last of 100 members only through a digest, after 8 s.
RETRANSMIT_FACTOR = 3
MAX_QUEUED = 512


def retransmit_limit(member_count: int) -> int:
    """Returns how often one member sends one change."""
    digits = math.ceil(math.log10(member_count + 1))
    return PUSH_ROUNDS * PUSH_FANOUT + RETRANSMIT_FACTOR * digits


class BroadcastQueue(Generic[Key, Item]):
    """Keys of changes with the number of times each was sent.

    Args:
        get_item: Returns the current item of a key, or None if it is void.
        get_size: Returns the bytes that an item takes in a message.
        is_urgent: Tells whether a key's change goes before others.
    """

    def __init__(
        self,
        get_item: Callable[[Key], Item | None],
        get_size: Callable[[Item], int],
        is_urgent: Callable[[Key], bool] = lambda _: False,
    ) -> None:
        self._get_item = get_item
        self._get_size = get_size
        self._is_urgent = is_urgent
        self._send_counts_by_key: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._send_counts_by_key)

    @property
    def needs_push(self) -> bool:
        """Whether a change has not been pushed often enough."""
        enough = PUSH_ROUNDS * PUSH_FANOUT
        return any(sent < enough for sent in self._send_counts_by_key.values())

    @property
    def needs_urgent_push(self) -> bool:
        """Whether an urgent change has not been pushed often enough."""
        return any(
            self._is_pending_urgent(key) for key in self._send_counts_by_key
        )

    def _is_pending_urgent(self, key: Key) -> bool:
        enough = PUSH_ROUNDS * PUSH_FANOUT
        return self._send_counts_by_key[key] < enough and self._is_urgent(key)

    def add(self, key: Key) -> None:
        """Queues a change; an older change of the same key is replaced."""
        self._send_counts_by_key.pop(key, None)
        if len(self._send_counts_by_key) >= MAX_QUEUED:
            most_sent = max(
                self._send_counts_by_key,
                key=self._send_counts_by_key.__getitem__,
            )
            del self._send_counts_by_key[most_sent]
        self._send_counts_by_key[key] = 0

    def next_batch(
        self, budget_bytes: int, limit: int, copies: int = 1
    ) -> tuple[list[Item], int]:
        """Returns the least sent changes that fit, and the bytes left.

        Args:
            budget_bytes: Room in the message.
            limit: Times that each change is sent.
            copies: Receivers of the message.
        """
        items: list[Item] = []
        if not self._send_counts_by_key:
            return items, budget_bytes
        ordered = sorted(
            self._send_counts_by_key,
            key=lambda key: (
                not self._is_pending_urgent(key),
                self._send_counts_by_key[key],
            ),
        )
        for key in ordered:
            item = self._get_item(key)
            if item is None:
                del self._send_counts_by_key[key]
                continue
            size = self._get_size(item)
            if size > budget_bytes:
                continue
            budget_bytes -= size
            items.append(item)
            self._send_counts_by_key[key] += copies
            if self._send_counts_by_key[key] >= limit:
                del self._send_counts_by_key[key]
        return items, budget_bytes
