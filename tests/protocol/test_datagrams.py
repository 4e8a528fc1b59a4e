"""Datagrams that are corrupted or of unknown origin are rejected or decoded."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.protocol.datagrams import (
    ActiveRequestReport,
    ActiveRequestsMessage,
    AttemptEndedMessage,
    Datagram,
    GrantMessage,
    Heartbeat,
    HubEntry,
    HubListMessage,
    OfferMessage,
    VerdictMessage,
    decode,
    encode,
)
from carawayfold.state.quarantine import Level
from tests.foreign_datagrams import ODD_DATAGRAMS, SOUND, datagram
from tests.platform.record_builders import CONTENT

MESSAGES = [
    Heartbeat("north", False, 3, 7, 120),
    OfferMessage("model/0", "r.0.1", "alder", "summary", 1, [("p", 9)], 9, 4, 80, 900),
    OfferMessage("p", "r.0.1", "o", "s", 1, [], 9, 4, 80, 900, abandoned_in=700),
    GrantMessage("r.0.1", "e-1", None, 7, 12),
    AttemptEndedMessage("model/0", "r.0.1", "whole"),
    ActiveRequestsMessage("model/0", [ActiveRequestReport("r.0.1", "e-1", 3, 9, True)]),
    HubListMessage("north", [HubEntry("router-1", "127.0.0.1", 7400, 1, 100)]),
    VerdictMessage(CONTENT, "alder", Level.RESTED, 5, 10, 20, 30, ["e-1"]),
]
VALID = [encode(Datagram("router-1", 1, [message])) for message in MESSAGES]


@given(st.sampled_from(VALID), st.data())
def test_corrupted_datagram_is_rejected_or_decoded(whole, data):
    place = data.draw(st.integers(0, len(whole) - 1))
    byte = data.draw(st.integers(0, 255))
    cut = data.draw(st.integers(1, len(whole)))
    damaged = (whole[:place] + bytes([byte]) + whole[place + 1 :])[:cut]
    try:
        read = decode(damaged)
    except msgspec.MsgspecError:
        return
    assert decode(encode(read)) == read


@given(st.binary(max_size=200))
def test_arbitrary_bytes_are_rejected_or_decoded(data):
    try:
        decode(data)
    except msgspec.MsgspecError:
        return


def test_name_that_is_not_utf8_is_rejected():
    with pytest.raises(msgspec.MsgspecError):
        decode(b"\x93\xa1\xff\x01\x90")


@pytest.mark.parametrize("data", ODD_DATAGRAMS)
def test_datagram_with_a_field_that_no_router_sends_is_rejected(data):
    """Such a field could end the process, or one nested too deeply fill its log."""
    with pytest.raises(msgspec.MsgspecError):
        decode(data)


@pytest.mark.parametrize("fields", SOUND.values(), ids=SOUND)
def test_the_same_datagrams_with_sound_fields_are_decoded(fields):
    assert len(decode(datagram(fields)).messages) == 1


def test_all_messages_round_trip():
    for message, data in zip(MESSAGES, VALID, strict=True):
        assert decode(data) == Datagram("router-1", 1, [message])
