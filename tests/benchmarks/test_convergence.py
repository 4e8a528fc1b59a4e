"""The benchmark of how long a fleet takes to go by a word."""

from __future__ import annotations

import asyncio
import random

import pytest

from benchmarks.convergence import PATIENCE, Convergence, Trouble, Word
from benchmarks.processes import Processes


@pytest.mark.parametrize("word", Word)
def test_each_word_reaches_every_router(word):
    async def play():
        with Processes() as processes:
            made = Convergence(processes, 2, random.Random(1))
            await made.wait_ready()
            return await made.play(Trouble.NONE, word)

    ages = asyncio.run(play())
    assert len(ages) == 2
    assert all(0 <= age < PATIENCE for age in ages)
