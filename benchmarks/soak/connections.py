"""Connections of the soak test's callers, which tell how they ended."""

from __future__ import annotations

import asyncio
import socket
import time
from typing import TYPE_CHECKING

import h11

from benchmarks.hosted import HOST, read_answer

if TYPE_CHECKING:
    from benchmarks.hosted import CallAnswer

#: States of a socket as `TCP_INFO` tells them.
TCP_ESTABLISHED = 1
TCP_CLOSE = 7
#: Seconds after a request was sent within which a reset may have met it on its way.
CROSSING_BOUND = 0.05
#: Seconds in which a reset follows data that reached a closed connection.
RESET_DELAY = 0.005


class CallerConnection:
    """A connection that a caller uses until it is closed.

    Attributes
    ----------
    idle_since : float
        Time at which the last answer was complete, or the connection was opened.
    sent_at : float
        Time at which the last request was sent.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer
        self.parser = h11.Connection(h11.CLIENT)
        self.idle_since = time.time()
        self.sent_at = 0.0

    async def ask(self, path: str, headers: dict[str, str]) -> CallAnswer:
        """Send a request and read its answer."""
        fields = {"Host": HOST, "Content-Length": "4", **headers}
        head = h11.Request(method="POST", target=path, headers=list(fields.items()))
        data = self.parser.send(head) + self.parser.send(h11.Data(data=b"body"))
        data += self.parser.send(h11.EndOfMessage())
        self.sent_at = time.time()
        self.writer.write(data)
        answer = await read_answer(self.reader, self.parser)
        self.idle_since = time.time()
        return answer

    def usable(self) -> bool:
        """Return whether it can be used for another request, and prepare it."""
        if self.parser.our_state is not h11.DONE:
            return False
        if self.parser.their_state is not h11.DONE or not self.is_open():
            return False
        self.parser.start_next_cycle()
        return True

    def is_open(self) -> bool:
        """Return whether neither side has closed it, as far as the kernel knows."""
        return self._tcp_state() == TCP_ESTABLISHED

    async def crossed(self) -> bool:
        """Return whether the router had closed before the last request reached it.

        To be called after the connection has ended without an answer. A router that
        closes with data unread resets the connection at once; if it closed before the
        data arrived, the reset follows the end of the connection.
        """
        if isinstance(self.reader.exception(), ConnectionError):
            return self.idle_since - self.sent_at < CROSSING_BOUND
        await asyncio.sleep(RESET_DELAY)
        return self._tcp_state() == TCP_CLOSE

    def _tcp_state(self) -> int:
        if self.reader.exception() is not None or self.writer.transport.is_closing():
            return TCP_CLOSE
        sock = self.writer.get_extra_info("socket")
        return sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]

    def close(self) -> None:
        """Close the connection at once."""
        self.writer.transport.abort()
