"""The sum of all routers' repeats against the fleet's budget."""

from __future__ import annotations

import pytest

from carawayfold.state.budget import BudgetBounds
from tests.simulated_repeats import SimulatedRepeats

#: Of the two smallest deployments: routers, and repeats that the fleet has besides.
FLEETS = [(6, 52.0), (9, 58.0)]


def played(routers, extra, restarts=(), fails_from=0.0, **other):
    bounds = BudgetBounds(ratio=0.2, extra=extra, window=10.0)
    settings = {"known": routers, "per_s": 10.0} | other
    fleet = SimulatedRepeats(bounds, routers, **settings)
    fleet.play(16.0, restarts, fails_from)
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


@pytest.mark.parametrize("times", [1, 2, 3])
def test_routers_that_start_again_dont_earn_twice_what_a_calm_time_earned(times):
    """What ten calm seconds had earned was used at once, and each start earned anew."""
    restarts = [11.5 + 1.2 * number for number in range(times)]
    for routers, extra in FLEETS:
        for per_s in (10.0, 30.0):
            fleet = played(routers, extra, restarts, fails_from=10.0, per_s=per_s)
            assert fleet.most_over() <= 0


def test_routers_that_were_told_of_no_other_dont_take_the_whole_extra_each():
    for routers, extra in FLEETS:
        assert played(routers, extra, known=None).most_over() <= 0


def moved(routers, extra, failing):
    bounds = BudgetBounds(ratio=0.2, extra=extra, window=10.0)
    fleet = SimulatedRepeats(bounds, routers, known=routers, per_s=30.0)
    fleet.play_moved(10.0, failing)
    return fleet


def test_callers_that_move_before_anything_fails_stay_within_the_budget():
    for routers, extra in FLEETS:
        fleet = moved(routers, extra, failing=[(18.0, 19.0)])
        assert fleet.repeats
        assert fleet.most_over() <= 0


def test_callers_that_move_to_other_routers_dont_earn_twice():
    """What ten seconds earned is repeated before the move, and again after it."""
    for routers, extra in FLEETS:
        fleet = moved(routers, extra, failing=[(9.0, 10.0), (18.0, 19.0)])
        assert fleet.most_over() <= 0


@pytest.mark.parametrize("fails_from", [0.0, 10.4])
def test_routers_that_are_added_dont_earn_again_what_others_used(fails_from):
    """The same callers spread over three times as many routers from 9 s on."""
    for routers, extra in FLEETS:
        bounds = BudgetBounds(ratio=0.2, extra=extra, window=10.0)
        fleet = SimulatedRepeats(bounds, routers, known=routers, per_s=30.0)
        fleet.play_added(24.0, 2 * routers, adds_at=9.0, fails_from=fails_from)
        assert fleet.repeats
        assert fleet.most_over() <= 0
