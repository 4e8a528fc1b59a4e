"""How long requests stay at routers while those that decide have trouble."""

from __future__ import annotations

import pytest

from carawayfold.coordination.scheduling.coordinator import OFFER_RETRY_INTERVALS
from tests.simulated_holds import TROUBLES, run

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
