"""The sum of all routers' repeats against the fleet's budget."""

from __future__ import annotations

import pytest

from carawayfold.state.budget import BudgetBounds
from tests.simulated_repeats import SimulatedRepeats

#: Of the two smallest deployments: routers, and repeats that the fleet has besides.
FLEETS = [(6, 52.0), (9, 58.0)]


def played(routers, extra, known=None, per_s=10.0, restarts=()):
    bounds = BudgetBounds(ratio=0.2, extra=extra, window=10.0)
    fleet = SimulatedRepeats(bounds, routers, known or routers, per_s)
    fleet.play(16.0, restarts)
    return fleet


@pytest.mark.parametrize(("routers", "extra"), FLEETS)
def test_a_fleet_that_nothing_happens_to_stays_within_its_budget(routers, extra):
    fleet = played(routers, extra)
    assert fleet.repeats
    assert fleet.most_over() <= 0


@pytest.mark.parametrize("times", [1, 2, 4])
def test_routers_that_start_again_dont_get_a_second_part(times):
    restarts = [3.0 + 1.5 * number for number in range(times)]
    for routers, extra in FLEETS:
        assert played(routers, extra, restarts=restarts).most_over() <= 0
