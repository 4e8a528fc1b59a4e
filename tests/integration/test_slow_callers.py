"""Callers that read a long answer late."""

from __future__ import annotations

import asyncio

from benchmarks.hosted import HOST, plain_headers
from tests.integration.endless_endpoints import SIGNED
from tests.integration.test_endless_bytes import call_again, register, start

#: Bytes of the answer: more than the buffers of the sockets and of the router hold.
SIZE = 32 << 20
#: Seconds for which the caller reads nothing, and within which it has the answer.
PAUSE = 0.5
MAX_OUTCOME = 10.0


async def serve_long_answer(reader, writer):
    try:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(SIGNED + b"Content-Length: %d\r\n\r\n" % SIZE + b"x" * SIZE)
        await writer.drain()
        await reader.read()
    except (ConnectionError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def read_late(port):
    """Return the content bytes that arrive, and whether the answer is complete."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=65536)
    headers = {"Host": HOST, "Content-Length": "0", **plain_headers("slow")}
    lines = [f"{name}: {value}\r\n" for name, value in headers.items()]
    writer.write(f"POST /once/x HTTP/1.1\r\n{''.join(lines)}\r\n".encode())
    await reader.readuntil(b"\r\n\r\n")
    await asyncio.sleep(PAUSE)
    size = 0
    try:
        while length := int(await reader.readline(), 16):
            size += len(await reader.readexactly(length))
            await reader.readline()
    except (ValueError, ConnectionError, asyncio.IncompleteReadError):
        return size, False
    finally:
        writer.close()
    return size, True


def test_a_caller_that_pauses_gets_the_whole_of_a_long_answer(processes):
    fleet = start(processes)
    fleet.start_endpoint("d-2", "desk")

    async def work():
        while await call_again(fleet, 0) != 200:
            pass
        fleet.put("keyed.servers", "d-2", None)
        server = await asyncio.start_server(serve_long_answer, "127.0.0.1", 0)
        register(fleet, "d-1", "desk", server.sockets[0].getsockname()[1])
        await asyncio.sleep(PAUSE)
        try:
            return await read_late(fleet.ports["router-0"][0])
        finally:
            server.close()

    received = asyncio.run(asyncio.wait_for(work(), 2 * MAX_OUTCOME))
    assert received == (SIZE, True)
