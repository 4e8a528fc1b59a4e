"""Reports of kept connections on their way from routers to the leader of a pool."""

from __future__ import annotations

import asyncio

import msgspec

from carawayfold.coordination.scheduling.endpoint_load import ActiveRequest
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.coordination.scheduling.offers import Outcome, holder_of
from carawayfold.protocol.datagrams import AttemptEndedMessage, Datagram, decode, encode
from tests.coordination.scheduling.offer_builders import (
    CALL,
    POOL,
    RecordingFleet,
    coordinator,
    request,
)
from tests.simulated_fleet import simulate

OTHER_CALL = "r.7.1"


def run(work):
    """Return the result of a coroutine in simulated time."""
    return simulate(work)


def learned(message, reuse=True):
    """Return whether a leader knows a connection after a message of another router."""

    async def work():
        features = SchedulingFeatures(reuse_connections=reuse)
        made = coordinator(RecordingFleet("own"), features=features)
        scheduler = made.pools[POOL].scheduler
        now = asyncio.get_running_loop().time()
        active = ActiveRequest(OTHER_CALL, "r", 0, 0, now, now)
        scheduler.record_active("e-0", active)
        made.take(decode(encode(Datagram("r", 7, [message]))))
        connections = scheduler.loads["e-0"].connections
        if connections is None:
            return None
        return connections.has_connection(holder_of(OTHER_CALL), now)

    return run(work)


def test_a_router_reports_for_how_long_it_keeps_a_connection():
    async def work():
        fleet = RecordingFleet("first")
        made = coordinator(fleet)
        placing = asyncio.create_task(made.place(request(), POOL))
        await asyncio.sleep(0)
        fleet.grant(made, CALL, "first")
        await placing
        made.ended(CALL, Outcome.COMPLETE, 3000)
        return fleet.sent[-1]

    message = AttemptEndedMessage(POOL, CALL, "whole", 3000)
    assert run(work) == ("first", message)


def test_a_leader_learns_of_a_connection():
    assert learned(AttemptEndedMessage(POOL, OTHER_CALL, "whole", 3000)) is True


def test_a_connection_that_was_closed_is_not_known():
    assert learned(AttemptEndedMessage(POOL, OTHER_CALL, "whole")) is False


def test_a_leader_keeps_no_connections_if_it_is_off():
    message = AttemptEndedMessage(POOL, OTHER_CALL, "whole", 3000)
    assert learned(message, reuse=False) is None


def test_a_report_of_a_version_without_the_field_counts_as_closed():
    data = msgspec.msgpack.encode(["r", 7, [[8, POOL, OTHER_CALL, "whole"]]])
    [message] = decode(data).messages
    assert message.kept == 0
