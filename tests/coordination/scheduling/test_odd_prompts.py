"""Offers whose stated tokens and prompt parts don't agree."""

from __future__ import annotations

from carawayfold.coordination.scheduling.offers import Granted
from tests.schedule_builders import offer, scheduler


def test_a_prompt_may_state_fewer_tokens_than_its_cached_parts():
    made = scheduler(slots=4)
    made.offer(offer("r.0.1", tokens=5000), 0.0)
    assert [type(item) for item in made.decide(0.0)] == [Granted]
    made.offer(offer("r.0.2", tokens=5000, prompt_tokens=10, output_tokens=1), 0.1)
    assert [type(item) for item in made.decide(0.1)] == [Granted]
