"""Queues of changes that are piggybacked on outgoing messages."""

import math
from collections.abc import Callable, Hashable
from typing import Generic, TypeVar

Key = TypeVar("Key", bound=Hashable)
Item = TypeVar("Item")

# Members that receive one push.
PUSH_FANOUT = 4
# Pushes of a change by each member. After one push by every member, 1 in 55
# members (e^-4) has not received the change; after two, 1 in 3,000.
PUSH_ROUNDS = 2
# After the pushes, each change is sent this many times the decimal logarithm of
# the member count. With a factor of 1 and 10% datagram loss, 1 change in 10
# reached the last of 100 members only through a digest, after 8 s.
RETRANSMIT_FACTOR = 3
MAX_QUEUED = 512


def retransmit_limit(member_count: int) -> int:
    """Returns how many times one member sends a change."""
    digits = math.ceil(math.log10(member_count + 1))
    return PUSH_ROUNDS * PUSH_FANOUT + RETRANSMIT_FACTOR * digits


class BroadcastQueue(Generic[Key, Item]):
    """Changes by key, with the number of times that each was sent.

    Args:
        get_item: Returns the current value of a key, or None if the change is
            obsolete.
        get_size: Returns the encoded size of an item, in bytes.
        is_urgent: Returns whether the change of a key is sent before others.
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
        self._sent_by_key: dict[Key, int] = {}

    def __len__(self) -> int:
        return len(self._sent_by_key)

    @property
    def needs_push(self) -> bool:
        """Whether a change has not been pushed often enough."""
        push_limit = PUSH_ROUNDS * PUSH_FANOUT
        return any(sent < push_limit for sent in self._sent_by_key.values())

    @property
    def needs_urgent_push(self) -> bool:
        """Whether an urgent change has not been pushed often enough."""
        return any(self._is_pending_urgent(key) for key in self._sent_by_key)

    def _is_pending_urgent(self, key: Key) -> bool:
        push_limit = PUSH_ROUNDS * PUSH_FANOUT
        return self._sent_by_key[key] < push_limit and self._is_urgent(key)

    def add(self, key: Key) -> None:
        """Queues a change and replaces an older change of the same key.

        If the queue is full, drops the change that was sent most often.
        """
        self._sent_by_key.pop(key, None)
        if len(self._sent_by_key) >= MAX_QUEUED:
            most_sent = max(
                self._sent_by_key,
                key=self._sent_by_key.__getitem__,
            )
            del self._sent_by_key[most_sent]
        self._sent_by_key[key] = 0

    def next_batch(
        self, budget_bytes: int, limit: int, receiver_count: int = 1
    ) -> tuple[list[Item], int]:
        """Returns the changes to add to a message, and the remaining bytes.

        Urgent changes come first, then those that were sent least often.

        Args:
            budget_bytes: Bytes that the changes may take in the message.
            limit: Number of times that each change is sent before it is dropped
                from the queue.
            receiver_count: Number of receivers of the message.
        """
        items: list[Item] = []
        if not self._sent_by_key:
            return items, budget_bytes
        ordered = sorted(
            self._sent_by_key,
            key=lambda key: (
                not self._is_pending_urgent(key),
                self._sent_by_key[key],
            ),
        )
        for key in ordered:
            item = self._get_item(key)
            if item is None:
                del self._sent_by_key[key]
                continue
            size = self._get_size(item)
            if size > budget_bytes:
                continue
            budget_bytes -= size
            items.append(item)
            self._sent_by_key[key] += receiver_count
            if self._sent_by_key[key] >= limit:
                del self._sent_by_key[key]
        return items, budget_bytes
