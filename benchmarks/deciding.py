"""Measures the steps of scheduling decisions: ``python -m benchmarks.deciding``."""

from __future__ import annotations

import random
import time
from typing import TYPE_CHECKING

import typer

from carawayfold.coordination.scheduling.messages import (
    offer_from_message,
    offer_message,
)
from carawayfold.coordination.scheduling.offers import Offer
from carawayfold.coordination.scheduling.scheduler import PoolPlan, Scheduler
from carawayfold.protocol.datagrams import Datagram, decode, encode
from carawayfold.protocol.exchanges import Part
from carawayfold.settings import Address
from carawayfold.state.endpoints import Endpoint

if TYPE_CHECKING:
    from collections.abc import Callable

#: Engines of a pool, their slots, memory in tokens and speed in tokens per second.
ENGINES, SLOTS, MEMORY, SPEED = 16, 24, 771_922, 157_000.0
#: Window of the usage of organisations in seconds.
WINDOW = 4.0
#: Repetitions of each step, and of a review.
TIMES, REVIEWS = 200, 20
#: Numbers of waiting requests and of organisations.
WAITING = (10, 100, 1000)
ORGANISATIONS = (30, 1300)


def offers(count: int, organisations: int, seed: int = 1) -> list[Offer]:
    """Return requests of organisations, most of which belong to a few of them."""
    draw = random.Random(seed)
    made = []
    for number in range(count):
        name = f"o-{min(organisations - 1, int(draw.paretovariate(0.5)))}"
        shared = draw.randint(300, 4000)
        own = draw.randint(100, 2000)
        prefix = f"{name}-{draw.randint(0, 600)}"
        prompt = (Part(prefix, shared), Part(f"own-{number}", own))
        made.append(
            Offer(
                call=f"router-{number % 67}.1.{number}",
                router=f"router-{number % 67}",
                data_centre="north",
                organisation=name,
                route=f"route-{number % 3}",
                priority=1,
                prompt=prompt,
                prompt_tokens=shared + own,
                output_tokens=draw.randint(10, 400),
                arrived=0.0,
                due=1e9,
                expires=1e9,
            )
        )
    return made


def scheduler() -> Scheduler:
    """Return a scheduler of a pool."""
    made = Scheduler(WINDOW)
    address = Address("127.0.0.1", 1)
    members = [
        Endpoint(f"e-{number}", "model", address, "north", SLOTS)
        for number in range(ENGINES)
    ]
    made.set_endpoints(members, PoolPlan(0.0, MEMORY, SPEED))
    return made


def timed(work: Callable[[], object], times: int = TIMES) -> float:
    """Return the mean duration of `work` in microseconds."""
    begun = time.perf_counter()
    for _ in range(times):
        work()
    return (time.perf_counter() - begun) / times * 1e6


def row(count: int, organisations: int) -> list[float]:
    """Return the microseconds of each step with `count` requests waiting.

    The steps are decoding an offer, queueing it, listing the loads of the engines,
    choosing an engine for a request, and a review of the queue.
    """
    made = scheduler()
    wanted = offers(count + TIMES, organisations)
    message = offer_message(wanted[0], "model/0", 0.0)
    data = encode(Datagram("router-1", 1, [message]))
    for offer in wanted[:count]:
        made.offer(offer, 0.0)
    more = iter(wanted[count:])
    parse = timed(lambda: offer_from_message(decode(data).messages[0], "router-1", 0.0))
    note = timed(lambda: made.offer(next(more), 0.0))
    for offer in wanted[count:]:
        made.withdraw(offer.call)
    full = made.backlogs(0.0)
    list_backlogs = timed(lambda: made.backlogs(0.0))
    for backlog in full:
        backlog.running = 2 * SLOTS
    decide = timed(lambda: made._decide_one(wanted[0], full, 0.0))
    review = timed(lambda: made._review(list(full), 0.0), REVIEWS)
    return [parse, note, list_backlogs, decide, review]


def main() -> None:
    """Print the microseconds of each step by waiting requests and organisations."""
    print("waiting organisations   parse    note    look   weigh  review")
    for count in WAITING:
        for organisations in ORGANISATIONS:
            times = " ".join(f"{item:7.1f}" for item in row(count, organisations))
            print(f"{count:7} {organisations:13} {times}")


if __name__ == "__main__":
    typer.run(main)
