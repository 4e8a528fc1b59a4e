"""Fitted model of the time to the first token."""

from __future__ import annotations

import random

import pytest

from carawayfold.state.first_tokens import INITIAL_FIRST_TOKEN_DELAY, FirstTokenModel


def play(model, speed, first_token, count=200, seed=1, noise=0.0):
    draw = random.Random(seed)
    for _ in range(count):
        tokens = draw.lognormvariate(8, 1)
        model.note(tokens, first_token + tokens / speed + draw.uniform(0, noise))


def test_before_any_observation_the_configured_speed_applies():
    model = FirstTokenModel(100_000.0)
    assert model.predict(10_000) == pytest.approx(INITIAL_FIRST_TOKEN_DELAY + 0.1)


@pytest.mark.parametrize("speed", [40_000, 92_000, 157_000])
@pytest.mark.parametrize("first_token", [0.02, 0.06, 0.15])
def test_model_fits_engines_of_different_speeds(speed, first_token):
    model = FirstTokenModel(100_000.0)
    play(model, speed, first_token)
    for tokens in (500, 5000, 20_000):
        true = first_token + tokens / speed
        assert model.predict(tokens) == pytest.approx(true, rel=0.15)


def test_model_follows_an_engine_that_becomes_slower():
    model = FirstTokenModel(100_000.0)
    play(model, 100_000, 0.03)
    play(model, 30_000, 0.1, count=100, seed=2)
    assert model.predict(10_000) == pytest.approx(0.1 + 10_000 / 30_000, rel=0.2)


def test_single_pause_hardly_changes_the_prediction():
    model = FirstTokenModel(100_000.0)
    play(model, 100_000, 0.03)
    before = model.predict(5000)
    model.note(5000, 8.0)
    assert model.predict(5000) < 1.2 * before


def test_similar_prompts_do_not_distort_the_slope():
    model = FirstTokenModel(100_000.0)
    draw = random.Random(3)
    for _ in range(300):
        model.note(2000 + draw.uniform(0, 5), 0.05 + draw.uniform(0, 0.02))
    assert 0 < model.predict(20_000) < 0.6
    assert model.predict(2000) == pytest.approx(0.06, rel=0.3)


def test_mean_error_is_positive_with_noise():
    model = FirstTokenModel(100_000.0)
    play(model, 100_000, 0.03, noise=0.02)
    assert 0.001 < model.error < 0.02
