"""Shares of organisations while pools or their leaders change."""

from __future__ import annotations

import pytest

from benchmarks.fair_parts import MIN_PART
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from tests.decider_faults import FAULTS
from tests.simulated_deciders import Deciders, many_floods

SECONDS = 8


def least_part(fault, seed, features=None):
    """Return the lowest share of an organisation, and which organisation has it."""
    floods = many_floods(routers=9)
    run = Deciders(floods, seconds=SECONDS, seed=seed, faults=fault, features=features)
    return run.play().least([flood.name for flood in run.floods], SECONDS)


@pytest.mark.parametrize("seed", [2, 3, 9])
def test_an_organisation_gets_its_share_while_there_is_a_pool_less(seed):
    assert least_part(FAULTS["shrink"], seed).part >= MIN_PART


@pytest.mark.parametrize("seed", [1, 5])
def test_an_organisation_gets_its_share_while_leaders_give_up_deciding(seed):
    assert least_part(FAULTS["hand-over"], seed).part >= MIN_PART


@pytest.mark.parametrize("seed", [1, 2])
def test_an_organisation_gets_its_share_with_balance_between_pools(seed):
    features = SchedulingFeatures(balance_pools=True)
    assert least_part(FAULTS["none"], seed, features).part >= MIN_PART


@pytest.mark.parametrize("seed", [1, 3])
def test_an_organisation_gets_its_share_with_balance_while_there_is_a_pool_less(seed):
    features = SchedulingFeatures(balance_pools=True)
    assert least_part(FAULTS["shrink"], seed, features).part >= MIN_PART
