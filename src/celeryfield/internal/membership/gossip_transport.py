"""Encodes, sends, decodes and counts gossip messages."""

import dataclasses
import enum
from collections.abc import Callable, Iterable

from celeryfield.internal.membership import datagrams, records
from celeryfield.internal.membership.broadcast_queue import (
    BroadcastQueue,
    retransmit_limit,
)
from celeryfield.internal.membership.datagrams import Endpoint
from celeryfield.internal.membership.errors import DatagramError
from celeryfield.internal.schema import gossip

# Sizes of the Cap'n Proto encoding.
WORD_BYTES = 8
# Segment table, root struct, and the tags of the three lists that are filled:
# deltas, versions and refused requests.
FIXED_OVERHEAD_BYTES = 176
# Bytes of one list item without its text or blob.
ITEM_BYTES = 16


class Kind(enum.IntEnum):
    """Kinds of gossip messages; ``anti_entropy`` explains 6 to 9."""

    PING = 1
    ACK = 2
    NACK = 3
    PING_REQUEST = 4
    PUSH = 5
    DIGEST = 6
    SUMMARY = 7
    WANT = 8
    RECORDS = 9
    VERSION_QUERY = 10
    VERSIONS = 11


@dataclasses.dataclass(slots=True)
class GossipCounters:
    """Datagrams sent, received and dropped since the start.

    Attributes:
        dropped_datagrams: Malformed, oversized or unauthenticated datagrams.
        largest_sent_bytes: Size of the largest datagram that was sent.
    """

    sent_datagrams: int = 0
    sent_bytes: int = 0
    received_datagrams: int = 0
    received_bytes: int = 0
    dropped_datagrams: int = 0
    largest_sent_bytes: int = 0


def padded_size(length: int) -> int:
    """Returns the encoded size of a text or blob, in bytes."""
    return -(-length // WORD_BYTES) * WORD_BYTES


def delta_bytes(delta: gossip.Delta) -> int:
    """Returns the encoded size of a delta, in bytes."""
    return ITEM_BYTES + padded_size(len(delta.record))


def version_bytes(version: gossip.TeamVersion) -> int:
    """Returns the encoded size of a team version, in bytes."""
    # Cap'n Proto ends a text with a NUL byte.
    return ITEM_BYTES + padded_size(len(version.team) + 1)


def suspect_request_bytes(entry: gossip.SuspectEntry) -> int:
    """Returns the encoded size of a refused request, in bytes."""
    return ITEM_BYTES + padded_size(len(entry.fingerprint))


class GossipTransport:
    """Sends messages and piggybacks queued changes on them, as in SWIM.

    Args:
        sender_id: Id of this node.
        member_count: Returns the number of members, which determines how often
            a change is sent.
        config_hash: Returns the hash of this node's file set versions.
        delta_queue: Queue of changed members.
        version_queue: Queue of changed file set versions.
        suspect_request_queue: Queue of refused requests.
    """

    def __init__(
        self,
        sender_id: str,
        member_count: Callable[[], int],
        config_hash: Callable[[], int],
        delta_queue: BroadcastQueue[str, gossip.Delta],
        version_queue: BroadcastQueue[str, gossip.TeamVersion],
        suspect_request_queue: BroadcastQueue[bytes, gossip.SuspectEntry],
    ) -> None:
        self._sender_id = sender_id
        self._member_count = member_count
        self._config_hash = config_hash
        self._delta_queue = delta_queue
        self._version_queue = version_queue
        self._suspect_request_queue = suspect_request_queue
        self._secret = b""
        self._socket: datagrams.DatagramSocket | None = None
        self.counters = GossipCounters()

    def attach(self, socket: datagrams.DatagramSocket, secret: bytes) -> None:
        """Starts to send through a socket.

        Args:
            socket: The socket.
            secret: Key of the MACs; empty for messages without a MAC.
        """
        self._socket = socket
        self._secret = secret

    def detach(self) -> None:
        """Closes the socket; messages sent later are dropped."""
        if self._socket is not None:
            self._socket.close()
            self._socket = None

    def max_list_bytes(self, target_id: str = "") -> int:
        """Returns how many bytes the lists of a message may take."""
        # Cap'n Proto ends a text with a NUL byte.
        name_bytes = padded_size(len(self._sender_id) + 1) + padded_size(
            len(target_id) + 1
        )
        mac_bytes = datagrams.MAC_BYTES if self._secret else 0
        return (
            datagrams.MAX_DATAGRAM_BYTES
            - FIXED_OVERHEAD_BYTES
            - name_bytes
            - mac_bytes
        )

    def send(
        self,
        message: gossip.GossipMessage,
        endpoints: Iterable[Endpoint],
        piggyback: bool = True,
    ) -> None:
        """Sends one message to some endpoints.

        Args:
            message: The message; sender and configuration hash are filled in.
            endpoints: The receivers.
            piggyback: Whether to add queued changes to the message.

        Raises:
            DatagramError: The message is too long.
        """
        receivers = tuple(endpoints)
        if self._socket is None or not receivers:
            return
        # Cap'n Proto accepts no enum objects.
        message.kind = int(message.kind)
        message.sender_id = self._sender_id
        message.config_hash = self._config_hash()
        if piggyback:
            self._piggyback_changes(message, len(receivers))
        datagram = datagrams.append_mac(self._secret, message.encode())
        if len(datagram) > datagrams.MAX_DATAGRAM_BYTES:
            text = f"message of {len(datagram)} bytes is too long to send"
            raise DatagramError(text)
        for endpoint in receivers:
            self._socket.send(datagram, endpoint)
        counters = self.counters
        counters.sent_datagrams += len(receivers)
        counters.sent_bytes += len(datagram) * len(receivers)
        counters.largest_sent_bytes = max(
            counters.largest_sent_bytes, len(datagram)
        )

    def _piggyback_changes(
        self, message: gossip.GossipMessage, receiver_count: int
    ) -> None:
        if not (
            self._delta_queue
            or self._version_queue
            or self._suspect_request_queue
        ):
            return
        max_sends = retransmit_limit(self._member_count())
        budget_bytes = self.max_list_bytes(message.target_id)
        budget_bytes -= sum(delta_bytes(delta) for delta in message.deltas)
        # Versions and refused requests get their bytes before queued deltas.
        versions, budget_bytes = self._version_queue.next_batch(
            budget_bytes, max_sends, receiver_count
        )
        suspects, budget_bytes = self._suspect_request_queue.next_batch(
            budget_bytes, max_sends, receiver_count
        )
        deltas, _ = self._delta_queue.next_batch(
            budget_bytes, max_sends, receiver_count
        )
        message.versions = tuple(versions)
        message.suspects = tuple(suspects)
        message.deltas += tuple(deltas)

    def decode(self, datagram: bytes) -> gossip.GossipMessage | None:
        """Returns the message in a datagram, or None if it is rejected."""
        self.counters.received_datagrams += 1
        self.counters.received_bytes += len(datagram)
        try:
            data = datagrams.verify_mac(self._secret, datagram)
            message = records.decode_message(gossip.GossipMessage, data)
        except DatagramError:
            self.counters.dropped_datagrams += 1
            return None
        if not records.is_valid_name(message.sender_id):
            self.counters.dropped_datagrams += 1
            return None
        return message


def split_to_fit(
    items: Iterable, get_size: Callable[[object], int], budget_bytes: int
) -> list[list]:
    """Splits items into lists within the byte budget of a message.

    An item larger than the budget forms a list by itself.

    Args:
        items: The items, in order.
        get_size: Returns the size of an item, in bytes.
        budget_bytes: Bytes that the items of one message may take.
    """
    pieces: list[list] = []
    remaining_bytes = 0
    for item in items:
        size = get_size(item)
        if not pieces or size > remaining_bytes:
            pieces.append([])
            remaining_bytes = budget_bytes
        pieces[-1].append(item)
        remaining_bytes -= size
    return pieces
