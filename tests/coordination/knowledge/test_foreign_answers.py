"""Answers to fetches from peers with values that can't be used."""

from __future__ import annotations

import math

import msgspec
import pytest

from carawayfold.coordination.knowledge import anti_entropy
from carawayfold.coordination.knowledge.knowledge import EndpointSnapshot
from carawayfold.state.evacuations import EvacuationSnapshot
from carawayfold.transport.client import Answer, Head
from tests.coordination.knowledge.test_anti_entropy import starting
from tests.knowledge_builders import knowledge, run_in_loop, table
from tests.schedule_builders import endpoint, route

#: A complete answer on each path, as plain values.
SOUND = {
    anti_entropy.ENDPOINTS_PATH: EndpointSnapshot(9, [endpoint("a", software="v1")]),
    anti_entropy.CONFIGURATION_PATH: msgspec.structs.replace(
        table(7), routes=(route(),)
    ),
    anti_entropy.EVACUATIONS_PATH: EvacuationSnapshot(3, ["north"]),
}
#: Path, names and indices of a field in its answer, and a value that can't be used.
ODD = [
    (path, place, value)
    for path, rows in {
        anti_entropy.ENDPOINTS_PATH: [
            (["offset"], -1),
            (["offset"], 2**63),
            (["complete_for"], math.nan),
            (["complete_for"], math.inf),
            (["complete_for"], -1.0),
            (["lapsed"], {"a": math.nan}),
            (["warming"], {"a": math.inf}),
            (["endpoints", 0, "name"], "a\r\nX-Other: 1"),
            (["endpoints", 0, "name"], ""),
            (["endpoints", 0, "service"], "s" * 300),
            (["endpoints", 0, "data_centre"], "n\0"),
            (["endpoints", 0, "address", "port"], 70000),
            (["endpoints", 0, "address", "host"], "a\0b"),
            (["endpoints", 0, "address", "host"], "endpoint.example"),
            (["endpoints", 0, "slots"], 0),
            (["endpoints", 0, "slots"], 2**63),
            (["endpoints", 0, "warm_up"], math.nan),
            (["endpoints", 0, "warm_at"], math.inf),
            (["endpoints", 0, "incarnation"], -1),
            (["endpoints", 0, "software"], "v\n"),
        ],
        anti_entropy.CONFIGURATION_PATH: [
            (["version"], 2**63),
            (["version"], -1),
            (["throughput"], math.nan),
            (["routes", 0, "timeout"], math.nan),
            (["routes", 0, "objective"], math.inf),
            (["routes", 0, "priority"], 2**63),
            (["routes", 0, "attempts"], 0),
            (["limits", "idle_timeout"], math.inf),
            (["limits", "body_bytes"], -1),
        ],
        anti_entropy.EVACUATIONS_PATH: [
            (["changed_at"], -1),
            (["changed_at"], 2**63),
            (["active"], ["n" * 300]),
            (["unconfirmed"], {"north": math.nan}),
        ],
    }.items()
    for place, value in rows
]
#: Nesting that exceeds the recursion limit of the decoder.
NESTED = b"\x91" * 5000 + b"\x90"


class FixedPeer:
    """Answers each request with given bytes."""

    def __init__(self, body):
        self.body = body

    async def fetch(self, address, method, path, timeout):
        return Answer(Head(200, {}), self.body)


def fetched(path, body):
    """Return whether the peer answered, and whether anything was learned from it."""

    async def run():
        known, _ = knowledge()
        made = anti_entropy.AntiEntropy(starting(80), known, FixedPeer(body))
        await made._fetch("router-0", path)
        learned = known.listed, known.routes is not None, known.evacuations.known
        return not made.unresponsive_until, any(learned)

    return run_in_loop(run)


def odd_answer(path, place, value):
    """Return the answer on a path with one odd value."""
    answer = msgspec.msgpack.decode(msgspec.msgpack.encode(SOUND[path]))
    part = answer
    for step in place[:-1]:
        part = part[step]
    assert place[-1] in part
    part[place[-1]] = value
    return msgspec.msgpack.encode(answer)


@pytest.mark.parametrize("path", SOUND)
def test_an_answer_of_a_router_is_applied(path):
    body = msgspec.msgpack.encode(SOUND[path])
    assert fetched(path, body) == (True, True)


@pytest.mark.parametrize(("path", "place", "value"), ODD)
def test_an_answer_with_an_odd_value_counts_as_none(path, place, value):
    """One place too far in the log hid all later records from the router."""
    assert fetched(path, odd_answer(path, place, value)) == (False, False)


@pytest.mark.parametrize("path", SOUND)
def test_an_answer_nested_too_deeply_counts_as_none(path):
    """It ended the task that polls the peers, and with it the router."""
    further = b"\x81\xa7further" + NESTED
    assert fetched(path, further) == (False, False)
