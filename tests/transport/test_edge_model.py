"""Every order of requests, answers, timers and stops on one connection."""

from __future__ import annotations

import asyncio
import contextlib
import socket

from hypothesis import example, given
from hypothesis import strategies as st

from carawayfold.transport.edge import Stage
from tests.transport.edge_builders import POST, accepted, open_edge

#: What may happen on a connection, and what the caller may send.
STEPS = [
    "send",
    "send-two",
    "send-part",
    "turn",
    "answer",
    "begin",
    "end",
    "expire",
    "close-idle",
    "stop",
    "fail-next",
    "answer-at-once",
]
#: Bytes of a request that are sent before the rest.
PART = 20
CLOSE = b"Connection: close\r\n"


class OneConnection:
    """A caller's connection to an edge, driven step by step."""

    def __init__(self, edge, connection, sock):
        self.edge = edge
        self.connection = connection
        self.sock = sock
        self.waiting = []
        self.begun = None
        self.served = 0
        self.sent = 0
        self.sent_at_close = None
        self.fails = False
        self.at_once = False
        self.part = 0

    def serve(self, incoming):
        """Answer a request at once, later, or not at all because of an error."""
        self.served += 1
        if self.fails:
            self.fails = False
            raise ValueError("no such thing")
        if self.at_once:
            incoming.answer(200, [])
        else:
            self.waiting.append(incoming)

    def send(self, data):
        """Send bytes; return whether the connection took them."""
        try:
            self.sock.sendall(data)
        except OSError:
            return False
        return True

    async def do(self, step):
        """Carry out one step."""
        edge = self.edge
        if step == "send":
            self.sent += self.send(POST[self.part :])
            self.part = 0
        elif step == "send-part" and not self.part:
            self.part = PART if self.send(POST[:PART]) else 0
        elif step == "send-two":
            await self.do("send")
            await self.do("send")
        elif step == "turn":
            await asyncio.sleep(0)
        elif step == "answer" and self.waiting and self.begun is None:
            self.waiting.pop(0).answer(200, [])
        elif step == "begin" and self.waiting and self.begun is None:
            self.begun = self.waiting.pop(0)
            self.begun.begin(200, [])
        elif step == "end" and self.begun is not None:
            begun, self.begun = self.begun, None
            begun.end()
        elif step == "expire":
            self.connection.idle_since -= 1000.0
            if self.connection.stage is Stage.IDLE:
                self.connection.expire_idle()
        elif step == "close-idle":
            edge.close_idle()
        elif step == "stop":
            edge.stop_accepting()
        elif step == "fail-next":
            self.fails = True
        elif step == "answer-at-once":
            self.at_once = True
        if self.sent_at_close is None and edge.closed:
            self.sent_at_close = self.sent

    def is_owed(self):
        """Return whether an open connection has requests without an answer."""
        taken = self.waiting or self.begun or self.served < self.sent
        return bool(taken) and self.connection.stage is not Stage.CLOSED

    async def settle(self):
        """Answer all that is in flight, then return all that the caller gets."""
        loop = asyncio.get_running_loop()
        got = b""
        while self.is_owed():
            await self.do("end")
            await self.do("answer")
            await self.do("turn")
        # Bytes that crossed the close of an idle connection reset it.
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_WR)
        with contextlib.suppress(ConnectionResetError):
            while part := await loop.sock_recv(self.sock, 65536):
                got += part
        return got


async def play(steps):
    async with open_edge(lambda incoming: None) as edge:
        sock = socket.socket()
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setblocking(False)
        address = ("127.0.0.1", edge.server.port)
        await asyncio.get_running_loop().sock_connect(sock, address)
        caller = OneConnection(edge, await accepted(edge), sock)
        edge.serve = caller.serve
        for step in steps:
            await caller.do(step)
        got = await caller.settle()
        sock.close()
        return caller, got


@given(st.lists(st.sampled_from(STEPS), max_size=14))
@example(["send", "turn", "send", "stop", "answer"])
@example(["send-two", "answer-at-once", "expire"])
def test_each_request_that_was_taken_is_answered_once(steps):
    caller, got = asyncio.run(asyncio.wait_for(play(steps), 10))
    answers = got.count(b"HTTP/1.1 ")
    assert answers >= caller.served
    if CLOSE in got:
        # Nothing follows the answer that announces the close.
        assert got.count(CLOSE) == 1
        assert b"HTTP/1.1 " not in got.partition(CLOSE)[2]
    else:
        sent = caller.sent if caller.sent_at_close is None else caller.sent_at_close
        assert answers == sent
