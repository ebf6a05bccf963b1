"""Tests of datagrams that are malformed, oversized or unauthenticated."""

import asyncio
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from celeryfield.internal.clock import Clock
from celeryfield.internal.membership import datagrams, records
from celeryfield.internal.membership.errors import (
    DatagramError,
    MembershipError,
)
from celeryfield.internal.membership.service import Membership
from celeryfield.internal.schema import gossip
from celeryfield.internal.schema.base import read_limit
from celeryfield.internal.schema.settings import (
    IdentitySettings,
    ListenSettings,
    MembershipSettings,
    NodeSettings,
)

SECRET = b"a shared secret"
VALID = gossip.GossipMessage(
    kind=1, sender_id="n1", digests=b"d" * 512
).encode()


async def open_member(secret_file, node_id="n0"):
    async def seeds():
        return []

    settings = NodeSettings(
        node=IdentitySettings(id=node_id, zone="z", region="r"),
        listen=ListenSettings(peer_port=0),
        membership=MembershipSettings(secret_file=str(secret_file)),
    )
    member = Membership(settings, Clock(), random.Random(0), seeds)
    await member.start()
    return member


async def test_drops_and_counts_unacceptable_datagrams(tmp_path):
    """Guards against forged datagrams that change the view or crash a node."""
    path = tmp_path / "secret"
    path.write_bytes(SECRET)
    member = await open_member(path)
    assert member.port > 0
    sealed = datagrams.append_mac(SECRET, VALID)
    bad = [VALID, sealed[:-1] + b"!", b"", sealed + b"x" * 1400]
    bad.append(datagrams.append_mac(SECRET, b"x" * 40))
    for number, datagram in enumerate(bad, 1):
        member._on_datagram(datagram, ("127.0.0.1", 9))
        assert member.counters.dropped_datagrams == number
    member._on_datagram(sealed, ("127.0.0.1", 9))
    assert member.counters.dropped_datagrams == len(bad)
    await member.stop()


def test_an_empty_secret_file_is_rejected(tmp_path):
    """Guards against a node that silently runs without authentication."""
    path = tmp_path / "secret"
    path.write_bytes(b"\n")
    with pytest.raises(MembershipError, match="write the secret"):
        datagrams.read_secret(str(path))


@given(st.data())
def test_damaged_messages_are_decoded_or_rejected(data):
    """Guards against crashes and huge allocations due to damaged messages."""
    damaged = bytearray(VALID)
    for _ in range(data.draw(st.integers(1, 6))):
        position = data.draw(st.integers(0, 200))
        damaged[position] = data.draw(st.integers(0, 255))
    try:
        message = records.decode_message(gossip.GossipMessage, bytes(damaged))
    except DatagramError:
        return
    assert len(message.deltas) <= read_limit(bytes(damaged))


def test_a_list_that_claims_millions_of_elements_is_rejected():
    """Guards against a small datagram that takes seconds to decode."""
    message = gossip.GossipMessage(sender_id="n1", deltas=(gossip.Delta(),))
    data = bytearray(message.encode())
    words = [
        int.from_bytes(data[offset : offset + 8], "little")
        for offset in range(0, len(data), 8)
    ]
    # Tag of the list: one element of one data word and one pointer.
    tag = words.index(1 << 2 | 1 << 32 | 1 << 48)
    data[tag * 8 : tag * 8 + 8] = ((1 << 28) << 2).to_bytes(8, "little")
    with pytest.raises(DatagramError):
        records.decode_message(gossip.GossipMessage, bytes(data))


def test_reads_all_queued_datagrams_in_one_loop_iteration():
    """Guards against acks that are delayed while timers are on time."""

    async def main():
        received = []
        receiver = await datagrams.open_udp(
            "127.0.0.1", 0, lambda data, _: received.append(data)
        )
        sender = await datagrams.open_udp("127.0.0.1", 0, lambda *_: None)
        for number in range(10):
            sender.send(bytes([number]), ("127.0.0.1", receiver.port))
        for _ in range(3):
            await asyncio.sleep(0)
        receiver.close()
        sender.close()
        assert len(received) == 10

    asyncio.run(main())
