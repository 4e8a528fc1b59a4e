"""Results of probing an address."""

from __future__ import annotations

import asyncio
import socket

import pytest

from carawayfold.settings import Address
from carawayfold.transport import probes
from carawayfold.transport.probes import ProbeResult, probe

HOST = "127.0.0.1"


def test_listening_process_gives_accepted():
    with socket.create_server((HOST, 0)) as server:
        address = Address(HOST, server.getsockname()[1])
        assert asyncio.run(probe(address)) is ProbeResult.ACCEPTED


def test_address_without_listening_process_gives_refused():
    with socket.create_server((HOST, 0)) as server:
        address = Address(HOST, server.getsockname()[1])
    assert asyncio.run(probe(address)) is ProbeResult.REFUSED


@pytest.mark.parametrize("error", [TimeoutError, OSError("no descriptor left")])
def test_other_errors_give_no_verdict(monkeypatch, error):
    async def fail(address):
        raise error

    monkeypatch.setattr(probes, "_connect", fail)
    assert asyncio.run(probe(Address(HOST, 1))) is ProbeResult.SILENT
