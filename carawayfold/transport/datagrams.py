"""UDP socket for messages between routers.

Datagrams carry absolute router state, which is sent periodically, so a lost datagram
needs no retransmission and no connection has to be supervised.
"""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.protocol.datagrams import MAX_DATAGRAM_BYTES, Datagram, decode, encode
from carawayfold.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayfold.protocol.datagrams import Message
    from carawayfold.state.ids import RouterId

logger = logbook.Logger(__name__)

#: Seconds after a datagram to a peer during which further messages to it are batched.
BATCH_DELAY = 0.001
#: Maximum number of datagrams read per loop iteration.
MAX_READS_PER_TURN = 128
#: Maximum size of a received datagram, in bytes.
READ_SIZE = 65536


class PeerSocket:
    """Sends messages to peers and passes on received datagrams.

    Parameters
    ----------
    router : RouterId
        This router.
    incarnation : int
        Random number generated at each process start.
    on_datagram : callable
        Called with each datagram and the address of its sender.
    """

    def __init__(
        self,
        router: RouterId,
        incarnation: int,
        on_datagram: Callable[[Datagram, Address], None],
    ) -> None:
        self.router = router
        self.incarnation = incarnation
        self.on_datagram = on_datagram
        self.loop = asyncio.get_running_loop()
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.setblocking(False)
        self.batches: dict[Address, list[Message]] = {}
        #: Address on which peers reach this router; set by `open`.
        self.address = Address("", 0)
        self.sent_bytes = 0
        self.sent_datagrams = 0

    def open(self, address: Address) -> None:
        """Bind the socket."""
        self.sock.bind((address.host, address.port))
        self.address = address
        self.loop.add_reader(self.sock.fileno(), self._read)

    def _read(self) -> None:
        """Read pending datagrams; one per loop iteration would let a backlog grow."""
        for _ in range(MAX_READS_PER_TURN):
            try:
                data, source = self.sock.recvfrom(READ_SIZE)
            except BlockingIOError:
                return
            except OSError as error:
                # The port of a peer is closed; missing heartbeats report it too.
                logger.debug("datagram refused", extra={"reason": str(error)})
                continue
            self._handle(data, Address(source[0], source[1]))

    def _handle(self, data: bytes, source: Address) -> None:
        try:
            datagram = decode(data)
        except msgspec.MsgspecError as error:
            logger.warning("datagram not understood", extra={"reason": str(error)})
            return
        self.on_datagram(datagram, source)

    def send(self, address: Address, message: Message) -> None:
        """Send a message at once, or batch it if one was just sent to the peer.

        The first message is not delayed: waiting for a batch adds two timer rounds
        to a decision in each direction, 10 ms of the 70 ms that a plain request
        takes at a network latency of 2 ms.
        """
        batches = self.batches.get(address)
        if batches is None:
            self.batches[address] = []
            self.loop.call_later(BATCH_DELAY, self._flush, address)
            self._send_all(address, [message])
            return
        batches.append(message)

    def broadcast(self, addresses: Iterable[Address], message: Message) -> None:
        """Send one message to many peers at once, encoded only once.

        Heartbeats are most of the traffic of a large fleet; batching and encoding
        them for each peer takes twice the time.
        """
        data = encode(Datagram(self.router, self.incarnation, [message]))
        for address in addresses:
            self._send_data(address, data)

    def _flush(self, address: Address) -> None:
        messages = self.batches.pop(address, [])
        if messages:
            self._send_all(address, messages)

    def _send_all(self, address: Address, messages: list[Message]) -> None:
        data = encode(Datagram(self.router, self.incarnation, messages))
        if len(data) > MAX_DATAGRAM_BYTES and len(messages) > 1:
            half = len(messages) // 2
            self._send_all(address, messages[:half])
            self._send_all(address, messages[half:])
            return
        self._send_data(address, data)

    def _send_data(self, address: Address, data: bytes) -> None:
        try:
            self.sock.sendto(data, (address.host, address.port))
        except OSError as error:
            logger.debug("datagram not sent", extra={"reason": str(error)})
            return
        self.sent_bytes += len(data)
        self.sent_datagrams += 1

    def flush_all(self) -> None:
        """Send all batched messages."""
        for address in list(self.batches):
            self._flush(address)

    def close(self) -> None:
        """Close the socket."""
        self.loop.remove_reader(self.sock.fileno())
        self.sock.close()
