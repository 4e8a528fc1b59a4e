"""Connections to the store that stop answering, and outages that block reads.

Guards against requests to a removed endpoint. A router whose connections had stopped
answering sent them for 2.1 s: its reads took 3.0 s each to fail, the second one on a
connection as old as the first, and a peer considered the entry lapsed in an outage,
although the store answered others throughout.
"""

from __future__ import annotations

import pytest

from tests.simulated_configurations import TROUBLES, Word, rounds_of, worst_of

#: Seconds within which every router must apply a record under any two faults.
MAX_DELAY = 2.0
#: The same after one fault.
MAX_DELAY_ONE_FAULT = 1.0
SIZES = [(1, 1), (6, 3), (9, 4)]
SEEDS = range(12)


def worst(size, trouble, word):
    return worst_of(rounds_of(*size, TROUBLES[trouble], SEEDS, word=word))


@pytest.mark.parametrize("word", Word)
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize(
    "trouble", ["connections silent", "half silenced, half swallowed"]
)
def test_silent_connections_dont_keep_a_record_from_a_router(size, trouble, word):
    assert worst(size, trouble, word) <= MAX_DELAY


@pytest.mark.parametrize("word", [Word.VERSION, Word.LEAVES])
@pytest.mark.parametrize("size", SIZES)
@pytest.mark.parametrize("trouble", ["store silent for all", "store silent for long"])
def test_reads_blocked_in_an_outage_dont_outlast_it(size, trouble, word):
    assert worst(size, trouble, word) <= MAX_DELAY_ONE_FAULT
