"""Shares of organisations while those who decide have more to do than they can."""

from __future__ import annotations

from tests.simulated_deciders import Deciders, floods

#: What the platform's users allow an organisation to fall to.
LEAST_PART = 0.5


def test_an_organisation_behind_three_routers_gets_its_share_of_flooded_deciders():
    made = floods()
    played = Deciders(made).play()
    assert played.least_part([flood.name for flood in made], 8) >= LEAST_PART


def test_deciders_beside_a_flood_decide_centrally():
    made = floods(weak=True)
    played = Deciders(made).play()
    assert played.least_part([flood.name for flood in made], 8) >= LEAST_PART
    assert played.part_alone() == 0.0
