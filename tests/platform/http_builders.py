"""Builders of responses of the platform's store, and a client that returns them."""

from __future__ import annotations

import struct

from carawayfold.transport.client import Answer, Head


class OneAnswer:
    """HTTP client that returns the given bodies in order and keeps the paths."""

    def __init__(self, *bodies):
        self.bodies = list(bodies)
        self.paths = []

    async def fetch(self, address, method, path, body=b"", timeout=0.0):
        self.paths.append(path)
        return Answer(Head(200, {}), self.bodies.pop(0))


def read_answer(*rows):
    """Return the body of a read of the given keys and values, in bytes."""
    body = struct.pack(">QQ", 0, 0)
    for key, value in rows:
        record = bytes([len(key)]) + key + value
        body += struct.pack(">I", len(record)) + record
    return body
