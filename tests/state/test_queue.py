"""Queue of the requests that wait in one router."""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.state.queue import NORMAL_PERIOD, ServiceQueue
from tests.builders import waiter


def test_urgent_requests_go_first_but_do_not_starve_normal_ones():
    async def scenario():
        queue = ServiceQueue(100, 100)
        for _ in range(20):
            queue.push(waiter(urgent=True))
        normal = waiter()
        queue.push(normal)
        taken = [queue.take("alder", "endpoint") for _ in range(NORMAL_PERIOD)]
        return taken, normal

    taken, normal = asyncio.run(scenario())
    assert taken[0].urgent
    assert taken[-1] is normal


@pytest.mark.parametrize(("limit", "total"), [(2, 100), (100, 2)])
def test_full_queue_rejects_requests(limit, total):
    async def scenario():
        queue = ServiceQueue(limit, total)
        queue.push(waiter())
        queue.push(waiter())
        with pytest.raises(Refusal) as caught:
            queue.push(waiter())
        return caught.value

    assert asyncio.run(scenario()).kind is ErrorKind.QUEUE_FULL


def test_request_is_not_sent_to_an_endpoint_at_which_it_failed():
    async def scenario():
        queue = ServiceQueue(10, 10)
        queue.push(waiter(avoid={"bad"}))
        return queue.take("alder", "bad"), queue.take("alder", "good")

    refused, taken = asyncio.run(scenario())
    assert refused is None
    assert taken is not None
