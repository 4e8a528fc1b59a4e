"""How long requests stay at routers while those that decide have trouble."""

from __future__ import annotations

import pytest

from carawayfold.coordination.fleet.fleet import FAILURE_HEARTBEATS, HEARTBEAT_INTERVAL
from carawayfold.coordination.scheduling.coordinator import OFFER_RETRY_INTERVALS
from tests.coordination.requests.change_builders import ASKED
from tests.coordination.requests.queued_builders import TROUBLES as QUEUED_TROUBLES
from tests.coordination.requests.queued_builders import play_queued
from tests.simulated_holds import TROUBLES, run
from tests.simulated_requests import end_of

#: Part of the requests that may stay for longer than `tests.simulated_holds.LOST`.
FEW = 0.01
#: Troubles in which ends of requests are lost, so that leaders believe slots are taken.
LOSSES = {name for name, trouble in TROUBLES.items() if trouble.loss}


@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("name", sorted(TROUBLES.keys() - LOSSES))
def test_no_request_stays_for_longer_than_all_offers_to_one_router(name, seed):
    holds = run(TROUBLES[name], seed)
    assert holds.other == 0
    assert holds.longest < sum(OFFER_RETRY_INTERVALS) + 0.05
    assert holds.beyond <= FEW * holds.requests


@pytest.mark.parametrize("busy", [0.3, 0.45, 0.6, 0.75])
@pytest.mark.parametrize("trouble", QUEUED_TROUBLES)
def test_a_queued_request_goes_on_once_its_leader_is_known_to_have_failed(
    trouble, busy
):
    world, hold = play_queued(trouble, busy)
    world.check()
    assert end_of(world.callers[ASKED]) == "whole"
    assert hold < FAILURE_HEARTBEATS * HEARTBEAT_INTERVAL + HEARTBEAT_INTERVAL
