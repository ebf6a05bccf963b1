"""Probes that a node makes on behalf of other members."""

import dataclasses
from collections.abc import Callable, Coroutine

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership.datagrams import Endpoint
from celeryfield.internal.membership.gossip_transport import (
    GossipTransport,
    Kind,
)
from celeryfield.internal.membership.records import Health, Member
from celeryfield.internal.membership.table import MemberTable
from celeryfield.internal.schema import gossip

MAX_INDIRECT_PROBES = 256


@dataclasses.dataclass(slots=True, frozen=True)
class IndirectProbe:
    """A probe made on behalf of another member.

    Attributes:
        endpoint: Address of the requester.
        sequence: Number of the requester's probe.
        target_id: The probed member.
    """

    endpoint: Endpoint
    sequence: int
    target_id: str


class IndirectProbes:
    """Pings members for others and reports acks and missing answers.

    Args:
        clock: Time.
        table: The members.
        transport: Sends messages.
        next_sequence: Returns a number for a message that expects an answer.
        spawn: Starts a task that ends with the service.
        wait_ms: Time after which a missing answer is reported.
    """

    def __init__(
        self,
        clock: Clock,
        table: MemberTable,
        transport: GossipTransport,
        next_sequence: Callable[[], int],
        spawn: Callable[[Coroutine], object],
        wait_ms: float,
    ) -> None:
        self._clock = clock
        self._table = table
        self._transport = transport
        self._next_sequence = next_sequence
        self._spawn = spawn
        self._wait_ms = wait_ms
        self._probes_by_sequence: dict[int, IndirectProbe] = {}

    def on_ping_request(
        self, message: gossip.GossipMessage, endpoint: Endpoint
    ) -> None:
        """Probes a member on behalf of the sender."""
        target = self._table.members_by_id.get(message.target_id)
        if (
            target is None
            or len(self._probes_by_sequence) >= MAX_INDIRECT_PROBES
        ):
            return
        sequence = self._next_sequence()
        self._probes_by_sequence[sequence] = IndirectProbe(
            endpoint, message.sequence, target.id
        )
        send_ping(
            self._table, self._transport, target, sequence, piggyback=False
        )
        self._spawn(self._send_nack_after_timeout(sequence))

    async def _send_nack_after_timeout(self, sequence: int) -> None:
        """Sends a nack to the requester unless the target has answered."""
        await self._clock.sleep_ms(self._wait_ms)
        indirect_probe = self._probes_by_sequence.pop(sequence, None)
        if indirect_probe is not None:
            self._reply(Kind.NACK, indirect_probe)

    def _reply(self, kind: Kind, indirect_probe: IndirectProbe) -> None:
        message = gossip.GossipMessage(
            kind=kind,
            sequence=indirect_probe.sequence,
            target_id=indirect_probe.target_id,
        )
        self._transport.send(
            message, [indirect_probe.endpoint], piggyback=False
        )

    def relay_ack(self, message: gossip.GossipMessage) -> bool:
        """Reports an ack to the requester; returns False if there is none."""
        indirect_probe = self._probes_by_sequence.get(message.sequence)
        if (
            indirect_probe is None
            or indirect_probe.target_id != message.sender_id
        ):
            return False
        del self._probes_by_sequence[message.sequence]
        self._reply(Kind.ACK, indirect_probe)
        return True


def send_ping(
    table: MemberTable,
    transport: GossipTransport,
    target: Member,
    sequence: int,
    piggyback: bool = True,
) -> None:
    """Pings a member; tells it if it is not considered healthy.

    Args:
        table: The members.
        transport: Sends the message.
        target: The member.
        sequence: Number that the ack carries.
        piggyback: Whether the message may carry changes.
    """
    message = gossip.GossipMessage(
        kind=Kind.PING, sequence=sequence, target_id=target.id
    )
    if target.health is not Health.HEALTHY:
        message.deltas = (table.build_delta(target),)
    transport.send(message, [target.endpoint], piggyback)
