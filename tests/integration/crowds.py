"""Crowds of callers that hold a router's memory, and what the router uses meanwhile."""

from __future__ import annotations

import asyncio
import contextlib
import resource
from pathlib import Path

from benchmarks.hosted import HOST, KEY

#: Seconds between two looks at a process, and looks without work after which it is
#: considered idle.
POLL_INTERVAL = 0.2
IDLE_LOOKS = 3
#: Clock ticks of work between two looks that do not count, as for heartbeats.
IDLE_TICKS = 2
#: Most looks at a process that does not become idle.
MAX_LOOKS = 300
#: Bytes written to a connection at once.
PORTION = 65536


def raise_descriptor_limit(count):
    """Allow this process at least `count` descriptors."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count:
        resource.setrlimit(resource.RLIMIT_NOFILE, (min(count, hard), hard))


def head(request, *lines, path="/once/x", method="POST"):
    """Return the head of a request with further header lines."""
    fixed = (f"Host: {HOST}", f"X-Api-Key: {KEY}", f"Request-Id: {request}")
    return "\r\n".join([f"{method} {path} HTTP/1.1", *fixed, *lines, "", ""]).encode()


def chunks(size, chunk):
    """Return a body of `size` bytes in chunks of `chunk` bytes, without its end."""
    full = b"%x\r\n%b\r\n" % (chunk, b"x" * chunk)
    return full * (size // chunk)


class Crowd:
    """Connections that are kept open, each of which has sent the same bytes.

    Parameters
    ----------
    port : int
        Port of the router for callers.
    """

    def __init__(self, port):
        self.port = port
        self.writers = []

    async def send(self, connections, data):
        """Open connections and send `data` on each; what is not taken is left."""
        await asyncio.gather(*(self._send(data) for _ in range(connections)))

    async def _send(self, data):
        _, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=1024)
        self.writers.append(writer)
        with contextlib.suppress(ConnectionError):
            for start in range(0, len(data), PORTION):
                writer.write(data[start : start + PORTION])
                await writer.drain()

    def close(self):
        for writer in self.writers:
            writer.close()


def processor_ticks(pid):
    """Return the clock ticks that a process has worked."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[11]) + int(fields[12])


async def wait_idle(pid):
    """Wait until a process has processed what it received."""
    idle, before = 0, processor_ticks(pid)
    for _ in range(MAX_LOOKS):
        await asyncio.sleep(POLL_INTERVAL)
        now = processor_ticks(pid)
        idle = idle + 1 if now - before <= IDLE_TICKS else 0
        if idle == IDLE_LOOKS:
            return
        before = now


def most_memory(pid):
    """Return the most resident memory that a process has had, in bytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) * 1024
    raise ValueError("no peak of the memory")


def open_descriptors(pid):
    """Return the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))
