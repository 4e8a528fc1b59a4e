"""Ports for processes that a test is about to start."""

from __future__ import annotations

import random

from benchmarks.hosted import free_port


def test_no_port_is_given_twice_even_if_the_generator_is_seeded_again():
    found = []
    for _ in range(50):
        random.seed(0)
        found.append(free_port())
    assert len(set(found)) == 50
