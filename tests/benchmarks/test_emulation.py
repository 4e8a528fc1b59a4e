"""The emulator, and decisions under the loads that it plays."""

from __future__ import annotations

import pytest

from benchmarks.emulation.__main__ import net_of, play
from benchmarks.emulation.ablation import MECHANISMS
from benchmarks.emulation.deployments import DEPLOYMENTS
from benchmarks.emulation.engine import EmulatedEngine, EngineModel, Run
from benchmarks.emulation.harm import HarmPlan
from benchmarks.emulation.run import Policy
from carawayfold.protocol.exchanges import Part
from carawayfold.state.budget import BudgetBounds
from carawayfold.state.crashes import MIN_QUARANTINE_WEIGHT

SECONDS = 4.0


def engine(**other):
    return EmulatedEngine("e", EngineModel(**other), set())


def run_of(name="r", own=9210, shared=0, output=10):
    prompt = (Part("shared", shared), Part(name, own))
    return Run(name, prompt, own + shared, output, 0.0)


def test_reading_takes_its_time_and_a_kept_prefix_takes_none():
    made = engine()
    made.send(run_of("a", own=921, shared=9210))
    begun, _ = made.advance(1.0)
    first = begun[0].first_at
    assert first == pytest.approx(0.11 + 5 * 0.00303, abs=0.01)
    made.send(run_of("b", own=921, shared=9210))
    begun, _ = made.advance(2.0)
    assert begun[0].first_at - 1.0 < first / 4
    assert made.reread_tokens == 0


def test_more_requests_make_each_step_longer():
    one, many = engine(), engine()
    one.send(run_of("a", own=10, output=50))
    for number in range(40):
        many.send(run_of(f"r{number}", own=10, output=50))
    _, ended_one = one.advance(5.0)
    _, ended_many = many.advance(5.0)
    assert len(ended_many) == 40
    assert many.busy > one.busy


def test_the_same_seed_gives_the_same_run():
    deployment = DEPLOYMENTS["altiplano"]
    runs = [play(deployment, Policy.ONE, 1.0, 3, 2.0) for _ in range(2)]
    assert runs[0].kinds == runs[1].kinds
    assert runs[0].reread == runs[1].reread


@pytest.mark.parametrize("name", list(DEPLOYMENTS))
@pytest.mark.parametrize("flood", [False, True])
def test_one_decider_is_worth_more_than_first_come_when_all_is_busy(name, flood):
    deployment = DEPLOYMENTS[name]
    worth = {
        policy: net_of(
            play(deployment, policy, 1.4, 5, SECONDS, flood=flood), deployment
        )
        for policy in (Policy.ONE, Policy.FIRST_COME)
    }
    assert worth[Policy.ONE] > worth[Policy.FIRST_COME]


def test_a_mechanism_is_switched_off_within_a_block_only():
    mechanism = MECHANISMS[0]
    value = getattr(mechanism.module, mechanism.constant)
    with mechanism.switched_off():
        assert getattr(mechanism.module, mechanism.constant) == mechanism.off
    assert getattr(mechanism.module, mechanism.constant) == value


def test_every_mechanism_has_a_constant_to_switch():
    for mechanism in MECHANISMS:
        assert getattr(mechanism.module, mechanism.constant) != mechanism.off


def test_copies_spare_rereads():
    deployment = DEPLOYMENTS["resale"]
    with_copies = play(deployment, Policy.ONE, 1.0, 1, SECONDS)
    with MECHANISMS[0].switched_off():
        without = play(deployment, Policy.ONE, 1.0, 1, SECONDS)
    assert with_copies.copied > 0
    assert without.copied == 0
    assert with_copies.reread < without.reread / 2
    assert net_of(with_copies, deployment) > net_of(without, deployment)


def harmed(**plan):
    plan = HarmPlan(**{"begins": 0.5, "restart": 1.0, **plan})
    deployment = DEPLOYMENTS["altiplano"]
    return play(deployment, Policy.ONE, 0.8, 2, SECONDS, harmful=plan)


def test_a_harmful_content_ends_one_engine_each_time_until_it_is_contained():
    without, contained = harmed(contained=False), harmed()
    assert contained.harm.ends == {"harmful-0": MIN_QUARANTINE_WEIGHT}
    assert contained.harm.refused > 0
    assert without.harm.ends.total() > MIN_QUARANTINE_WEIGHT
    assert without.harm.refused == 0
    assert contained.benefit > without.benefit


def test_what_is_lost_with_an_engine_is_sent_again_within_the_budget():
    harm = harmed().harm
    assert harm.repeated > 0
    assert harm.lost >= harm.repeated + harm.unaffordable
    poor = harmed(budget=BudgetBounds(ratio=0.0, extra=0.0)).harm
    assert poor.repeated == 0
    assert poor.unaffordable > 0
