"""Load generator: sends chat requests at a fixed rate and prints JSON results."""

from __future__ import annotations

import asyncio
import json
import random
import sys
from dataclasses import dataclass, field
from typing import Annotated

import typer

from benchmarks.client import Reply, chat


@dataclass
class LoadResult:
    """Results of a load.

    Attributes
    ----------
    firsts, gaps : list of float
        Milliseconds to the first byte, and between parts of the body.
    tokens : int
        Tokens of complete answers.
    """

    sent: int = 0
    whole: int = 0
    refused: int = 0
    wrong: int = 0
    tokens: int = 0
    firsts: list[float] = field(default_factory=list)
    gaps: list[float] = field(default_factory=list)

    def add(self, reply: Reply, tokens: int) -> None:
        """Add the result of one request."""
        if reply.is_whole_stream(tokens):
            self.whole += 1
            self.tokens += tokens
            self.firsts.append(reply.first * 1000)
            self.gaps.extend(gap * 1000 for gap in reply.gaps)
        elif reply.refused:
            self.refused += 1
        else:
            self.wrong += 1


def percentile(values: list[float], percent: float) -> float:
    """Return a percentile of `values`; 0 if there are none."""
    if not values:
        return 0.0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


async def offer(
    ports: list[int],
    key: str,
    model: str,
    rate: float,
    tokens: int,
    seconds: float,
    seed: int,
) -> LoadResult:
    """Send `rate` requests per second for `seconds`, and wait for all answers."""
    rng = random.Random(seed)
    result = LoadResult()

    async def one(port: int) -> None:
        result.add(await chat(port, key, model, tokens), tokens)

    loop = asyncio.get_running_loop()
    due = loop.time()
    end = due + seconds
    async with asyncio.TaskGroup() as group:
        while due < end:
            due += rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - loop.time()))
            result.sent += 1
            group.create_task(one(ports[result.sent % len(ports)]))
    return result


def main(
    ports: Annotated[list[int], typer.Argument()],
    key: str = "",
    model: str = "",
    rate: float = 36.0,
    tokens: int = 200,
    seconds: float = 5.0,
    seed: int = 1,
) -> None:
    """Generate load and print the results."""
    result = asyncio.run(offer(ports, key, model, rate, tokens, seconds, seed))
    json.dump(vars(result), sys.stdout)


if __name__ == "__main__":
    typer.run(main)
