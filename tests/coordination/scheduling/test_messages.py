"""Offers between routers, in the times of each."""

from __future__ import annotations

import msgspec
import pytest

from carawayfold.coordination.scheduling.messages import (
    offer_from_message,
    offer_message,
)
from carawayfold.protocol.datagrams import Datagram, decode, encode
from tests.schedule_builders import offer


def received(made, then):
    """Return an offer as another router reads it at its own time `then`."""
    sent = encode(Datagram("r", 1, [offer_message(made, "model/0", 1.0)]))
    [message] = decode(sent).messages
    return offer_from_message(message, "r", then)


@pytest.mark.parametrize(("abandoned_at", "read"), [(None, None), (3.5, 102.5)])
def test_the_time_at_which_a_caller_leaves_reaches_the_leader(abandoned_at, read):
    made = offer(now=1.0, abandoned_at=abandoned_at)
    assert received(made, 100.0).abandoned_at == pytest.approx(read)


def test_an_offer_of_an_earlier_version_has_no_such_time():
    fields = msgspec.to_builtins(offer_message(offer(), "model/0", 0.0))
    earlier = msgspec.msgpack.encode(fields[:-1])
    message = msgspec.msgpack.decode(earlier, type=type(offer_message(offer(), "p", 0)))
    assert offer_from_message(message, "r", 0.0).abandoned_at is None
