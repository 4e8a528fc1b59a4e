"""Callers that return to their streams at other routers, once more or twice at once."""

from __future__ import annotations

import asyncio

import pytest

from benchmarks.hosted import (
    KEY,
    HostedFleet,
    call,
    configuration,
    resuming_headers,
    stream_events,
)

#: Software version of each endpoint.
ENGINES = {"m-1": "v1", "m-2": "v2", "m-3": "v1", "m-4": "v2"}
ROUTERS = ["router-0", "router-1", "router-2"]
STREAMS = 8
EVENTS = 5
#: Seconds of the retry window: its first end shows that a router knows its peers.
RETRY_WINDOW = 0.1


@pytest.fixture
def fleet(processes):
    fleet = HostedFleet(processes)
    fleet.configure(configuration())
    for name, software in ENGINES.items():
        fleet.start_endpoint(name, "model", software=software)
    for router in ROUTERS:
        fleet.start_router(router, retry_window=RETRY_WINDOW)
    for router in ROUTERS:
        asyncio.run(fleet.wait_retrying(router))
    return fleet


def break_after(fleet, count, within=False):
    """Let the endpoints break streams off after some events, 0 for never."""
    for name in ENGINES:
        fleet.set_faults(name, break_after=count, within=within)


def send(fleet, router, headers, path="/stream-once/x"):
    return call(fleet.ports[router][0], "POST", path, b"body", headers)


async def begin(fleet, router):
    """Return the answers to streams that break off, by request id."""
    names = [f"stream-{number}" for number in range(STREAMS)]
    calls = []
    for name in names:
        headers = {
            "Request-Id": name,
            "X-Api-Key": KEY,
            "Request-Deadline": "8000",
            "Token-Usage": f"400,{EVENTS}",
            "Prompt-Prefix": f"{name}:400",
        }
        calls.append(send(fleet, router, headers))
    return dict(zip(names, await asyncio.gather(*calls), strict=True))


async def go_on(fleet, router, begun, request, resumes):
    """Return the answers to callers that return with all their answers, by stream.

    `request` and `resumes` are added to the name of each stream.
    """
    calls = []
    for name, answers in begun.items():
        last = numbers(*answers)[-1]
        headers = resuming_headers(name + request, name + resumes, last, EVENTS)
        calls.append(send(fleet, router, headers))
    return dict(zip(begun, await asyncio.gather(*calls), strict=True))


def numbers(*answers):
    return [event.number for x in answers for event in stream_events(x.body)]


def versions(*answers):
    return {event.software for x in answers for event in stream_events(x.body)}


def check_whole(*answers):
    assert [answer.status for answer in answers] == [200] * len(answers)
    assert answers[-1].complete
    assert numbers(*answers) == list(range(1, EVENTS + 1))
    assert len(versions(*answers)) == 1


@pytest.mark.parametrize("named", ["", "-b"], ids=["first request", "request before"])
def test_a_chain_of_returns_at_three_routers_is_whole(fleet, named):
    """The third request names the one that began the stream, or the one before it."""

    async def play():
        break_after(fleet, 2)
        begun = await begin(fleet, "router-0")
        held = {name: [answer] for name, answer in begun.items()}
        break_after(fleet, 1, within=True)
        for name, answer in (await go_on(fleet, "router-1", held, "-b", "")).items():
            held[name].append(answer)
        break_after(fleet, 0)
        for name, answer in (await go_on(fleet, "router-2", held, "-c", named)).items():
            held[name].append(answer)
        return held

    held = asyncio.run(play())
    assert versions(*[answers[0] for answers in held.values()]) == {"v1", "v2"}
    for answers in held.values():
        check_whole(*answers)


def test_two_returns_at_once_at_two_routers_are_whole(fleet):
    async def play():
        break_after(fleet, 3, within=True)
        begun = await begin(fleet, "router-0")
        held = {name: [answer] for name, answer in begun.items()}
        break_after(fleet, 0)
        returns = [
            go_on(fleet, router, held, f"-{router}", "") for router in ROUTERS[1:]
        ]
        return begun, await asyncio.gather(*returns)

    begun, returned = asyncio.run(play())
    assert versions(*begun.values()) == {"v1", "v2"}
    for answers in returned:
        for name, answer in answers.items():
            check_whole(begun[name], answer)
