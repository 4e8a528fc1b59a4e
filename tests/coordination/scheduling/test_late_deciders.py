"""Shares of organisations while the leaders of pools are overloaded."""

from __future__ import annotations

from tests.simulated_deciders import Deciders, floods

#: Minimum share of an organisation as a fraction of its fair share.
MIN_SHARE = 0.5


def test_an_organisation_behind_three_routers_gets_its_share_of_flooded_leaders():
    made = floods()
    played = Deciders(made).play()
    assert played.least_part([flood.name for flood in made], 8) >= MIN_SHARE


def test_leaders_under_a_flood_decide_for_all_routers():
    made = floods(weak=True)
    played = Deciders(made).play()
    assert played.least_part([flood.name for flood in made], 8) >= MIN_SHARE
    assert played.part_alone() == 0.0
