"""Versions of configurations in heartbeats of this and of earlier versions."""

from __future__ import annotations

import msgspec
import pytest

from carawayfold.protocol.datagrams import Datagram, Heartbeat, decode, encode


class EarlierHeartbeat(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """Heartbeat of routers that don't state whether they have a configuration."""

    data_centre: str
    stopping: bool
    version: int
    endpoints_offset: int
    store_age: int
    processor: int = 100
    hub: bool = True
    size: int = 0
    hub_list_checksum: int = 0
    verdicts: int = 0
    refused: bool = False
    evacuations_changed: int = 0
    operators_age: int = 0
    lagging: bool = False


class EarlierDatagram(msgspec.Struct, array_like=True, frozen=True):
    """Datagram of such a router."""

    sender: str
    incarnation: int
    messages: list[EarlierHeartbeat]


def heartbeat(version):
    """Return the heartbeat of a router with a version, or None for none."""
    return Heartbeat("north", False, version or 0, 7, 5, configured=version is not None)


# Guards against a version 0 that peers take for no configuration.
@pytest.mark.parametrize("version", [None, 0, 1, 7])
def test_the_version_of_a_heartbeat_is_read_as_stated(version):
    read = decode(encode(Datagram("router-1", 1, [heartbeat(version)])))
    assert read.messages[0].configuration == version


@pytest.mark.parametrize(("stated", "version"), [(0, None), (1, 1), (7, 7)])
def test_a_heartbeat_of_an_earlier_version_states_0_for_none(stated, version):
    sent = EarlierDatagram(
        "router-1", 1, [EarlierHeartbeat("north", False, stated, 7, 5)]
    )
    read = decode(msgspec.msgpack.encode(sent))
    assert read.messages[0].configuration == version


@pytest.mark.parametrize(("version", "stated"), [(None, 0), (0, 0), (7, 7)])
def test_routers_of_an_earlier_version_read_heartbeats_of_this_one(version, stated):
    sent = encode(Datagram("router-1", 1, [heartbeat(version)]))
    read = msgspec.msgpack.decode(sent, type=EarlierDatagram)
    assert read.messages == [EarlierHeartbeat("north", False, stated, 7, 5)]
