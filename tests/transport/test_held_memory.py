"""Which requests give way once callers hold too much memory."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest

from carawayfold.transport.held_memory import FREED_FRACTION, HeldMemory

LIMIT = 1000


@dataclass(eq=False)
class FakeHolder:
    """A connection that releases its bytes when it gives way."""

    name: str
    since: float
    memory: HeldMemory
    given_up: list[str]
    held: int = 0
    can_yield: bool = True
    size: int = field(default=0)

    def give_up(self):
        self.given_up.append(self.name)
        self.memory.update(self, 0)


def make_room(*sizes, now=10.0, limit=LIMIT):
    """Return the holders given up, by (name, since, bytes) and the memory."""
    memory = HeldMemory(limit)
    given_up = []
    holders = []
    for name, since, size in sizes:
        holder = FakeHolder(name, since, memory, given_up)
        memory.update(holder, size)
        holders.append(holder)
    if memory.is_exceeded:
        memory.make_room(holders, now)
    return given_up, memory


def test_nobody_gives_way_within_the_limit():
    given_up, memory = make_room(("a", 0.0, 500), ("b", 0.0, 500))
    assert (given_up, memory.total, memory.given_up) == ([], 1000, 0)


def test_a_large_body_that_stands_still_gives_way_to_a_new_one():
    given_up, memory = make_room(("held", 0.0, 900), ("new", 9.9, 200))
    assert given_up == ["held"]
    assert memory.total == 200


def test_a_small_slow_request_stays_beside_large_ones():
    crowd = [(f"held-{number}", 5.0, 180) for number in range(6)]
    given_up, _ = make_room(("slow", 0.0, 5), *crowd)
    assert "slow" not in given_up
    assert given_up


def test_no_more_is_given_up_than_needed():
    crowd = [(f"held-{number}", 0.0, 100) for number in range(11)]
    given_up, memory = make_room(*crowd)
    assert memory.total <= FREED_FRACTION * LIMIT
    assert len(given_up) == memory.given_up == 2


def test_requests_that_were_passed_on_are_kept():
    memory = HeldMemory(LIMIT)
    given_up = []
    running = FakeHolder("running", 0.0, memory, given_up, can_yield=False)
    new = FakeHolder("new", 9.0, memory, given_up)
    memory.update(running, 990)
    memory.update(new, 20)
    memory.make_room([running, new], 10.0)
    assert given_up == ["new"]


@pytest.mark.parametrize("sizes", [(5, 3, 0), (0, 0, 7), (1, 1, 1)])
def test_the_total_follows_what_each_holds(sizes):
    memory = HeldMemory(LIMIT)
    holder = FakeHolder("a", 0.0, memory, [])
    for size in sizes:
        memory.update(holder, size)
        assert (memory.total, holder.held) == (size, size)
