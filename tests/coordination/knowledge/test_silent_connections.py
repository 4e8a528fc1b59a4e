"""Connections to the store that fall silent for good, and outages that hang reads.

An endpoint whose entry vanished got requests for 2.1 s from a router whose connections
had fallen silent: its reads hung for 3.0 s each, the second one on a connection as old
as the first, and a peer took the entry for one whose lease had run out in an outage,
though the store answered others all the while.
"""

from __future__ import annotations

import pytest

from tests.simulated_configurations import TROUBLES, Word, rounds_of, worst_of

#: Seconds within which every router must go by a word, whatever two things are wrong.
BOUND = 2.0
#: The same after one trouble.
ONE_TROUBLE = 1.0
SIZES = [(1, 1), (6, 3), (9, 4)]
SEEDS = range(12)


def worst(size, trouble, word):
    return worst_of(rounds_of(*size, TROUBLES[trouble], SEEDS, word=word))


@pytest.mark.parametrize("word", Word)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize(
    "trouble", ["connections silent", "half silenced, half swallowed"]
)
def test_silent_connections_dont_keep_a_word_from_a_router(size, trouble, word):
    assert worst(size, trouble, word) <= BOUND


@pytest.mark.parametrize("word", [Word.VERSION, Word.LEAVES])
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("trouble", ["store silent for all", "store silent for long"])
def test_reads_that_hung_in_an_outage_dont_outlast_it(size, trouble, word):
    assert worst(size, trouble, word) <= ONE_TROUBLE
