"""Datagrams between routers over real sockets."""

from __future__ import annotations

import asyncio
import socket

from carawayfold.protocol.datagrams import Heartbeat, decode
from carawayfold.settings import Address
from carawayfold.transport.datagrams import PeerSocket

BEAT = Heartbeat("north", False, 7, 100, 12)


def receivers(count):
    """Return bound sockets and their addresses."""
    made = []
    for _ in range(count):
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.bind(("127.0.0.1", 0))
        sock.settimeout(10)
        made.append((sock, Address(*sock.getsockname())))
    return made


def test_broadcast_reaches_all_peers_when_sending_to_one_fails():
    peers = receivers(3)
    addresses = [address for _, address in peers]
    # Sending to the broadcast address fails without SO_BROADCAST.
    addresses.insert(1, Address("255.255.255.255", 9))

    async def run():
        peer_socket = PeerSocket("router-0", 5, lambda *_: None)
        peer_socket.open(Address("127.0.0.1", 0))
        try:
            peer_socket.broadcast(addresses, BEAT)
        finally:
            peer_socket.close()
        return peer_socket.sent_datagrams

    sent = asyncio.run(run())
    got = [decode(sock.recv(65536)) for sock, _ in peers]
    for sock, _ in peers:
        sock.close()
    assert sent == 3
    assert [item.messages for item in got] == [[BEAT]] * 3
    assert {(item.sender, item.incarnation) for item in got} == {("router-0", 5)}


def test_first_message_is_sent_at_once_and_later_ones_are_batched():
    ((sock, address),) = receivers(1)

    async def run():
        peer_socket = PeerSocket("router-0", 5, lambda *_: None)
        peer_socket.open(Address("127.0.0.1", 0))
        try:
            for _ in range(3):
                peer_socket.send(address, BEAT)
            at_once = peer_socket.sent_datagrams
            while peer_socket.batches:
                await asyncio.sleep(0.001)
        finally:
            peer_socket.close()
        return at_once, peer_socket.sent_datagrams

    counts = asyncio.run(run())
    got = [decode(sock.recv(65536)) for _ in range(2)]
    sock.close()
    assert counts == (1, 2)
    assert [len(item.messages) for item in got] == [1, 2]
