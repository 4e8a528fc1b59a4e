"""Streams that a caller gets from two runs, by the ending of the first one.

Guards against streams with missing, repeated or foreign events, and against incomplete
ones that look complete. The table of all ways is in docs/design/streams.md.
"""

from __future__ import annotations

import asyncio

import pytest

from carawayfold.coordination.containment import endpoint_activity
from carawayfold.coordination.requests import attempts
from tests.coordination.requests.stream_builders import (
    LAST,
    Ending,
    Framing,
    numbers,
    stream_router,
    versions,
    whole,
)

WHOLE = list(range(1, LAST + 1))
TIMEOUT = 15

#: Endings of a run that has not sent its whole answer: framing, last whole event,
#: begin of a further event, and what becomes of the connection.
BROKEN_ENDINGS = {
    "reset within an event": (Framing.CHUNKED, 3, b"id: 4\nda", Ending.RESET),
    "closed within an event": (Framing.CHUNKED, 3, b"id: 4\nda", Ending.CLOSE),
    "ended within an event": (Framing.CHUNKED, 3, b"id: 4\nda", Ending.END),
    "reset before the end of an event": (
        Framing.CHUNKED,
        3,
        b"id: 4\ndata: v1 r\n",
        Ending.RESET,
    ),
    "reset between events": (Framing.CHUNKED, 3, b"", Ending.RESET),
    "closed between events": (Framing.CHUNKED, 3, b"", Ending.CLOSE),
    "reset after the last event": (Framing.CHUNKED, LAST, b"", Ending.RESET),
    "closed after the last event": (Framing.CHUNKED, LAST, b"", Ending.CLOSE),
    "shorter than its length": (Framing.LENGTH, 3, b"", Ending.CLOSE),
    "shorter than its length, last event sent": (
        Framing.LENGTH,
        LAST,
        b"",
        Ending.CLOSE,
    ),
    "without length, closed within an event": (
        Framing.CLOSE,
        3,
        b"id: 4\nda",
        Ending.CLOSE,
    ),
    "without length, reset between events": (Framing.CLOSE, 3, b"", Ending.RESET),
    "without length, reset after the last event": (
        Framing.CLOSE,
        LAST,
        b"",
        Ending.RESET,
    ),
}
#: Endings with which an endpoint states that its answer is complete.
WHOLE_ENDINGS = {
    "chunks": (Framing.CHUNKED, Ending.END),
    "without length": (Framing.CLOSE, Ending.CLOSE),
}
broken_endings = pytest.mark.parametrize(
    "ending", BROKEN_ENDINGS.values(), ids=BROKEN_ENDINGS
)


def ending_as(ending):
    """Return a script of an answer that begins a stream, or goes on, and breaks off."""
    framing, last, begun, how = ending

    async def script(answer):
        answer.begin(framing)
        answer.events(*range(answer.resumed_after + 1, last + 1))
        if begun:
            answer.send(begun)
        await answer.end(how)

    return script


def play(scenario, *software):
    """Return the result of a scenario with a router whose endpoints have versions."""

    async def run():
        async with stream_router(*(software or ("v1", "v2", "v1"))) as router:
            return await scenario(router)

    return asyncio.run(asyncio.wait_for(run(), TIMEOUT))


def check_whole(*answers):
    assert answers[-1].complete
    assert numbers(*answers) == WHOLE
    assert versions(*answers) == ["v1"]


# Within one response, after a failure


@broken_endings
def test_a_stream_that_is_resumed_within_its_response_is_whole(ending):
    async def scenario(router):
        router.endpoints[0].scripts.append(ending_as(ending))
        answer = await router.request(request_id="a")
        return answer, router.endpoints

    answer, endpoints = play(scenario)
    check_whole(answer)
    assert [len(item.requests) for item in endpoints] == [1, 0, 1]
    assert endpoints[2].requests[0]["last-event-id"] == str(ending[1])


def test_a_stream_that_breaks_off_twice_is_whole():
    async def scenario(router):
        ends = (Framing.CHUNKED, 2, b"id: 3\nd", Ending.RESET)
        for item, last in ((router.endpoints[0], 2), (router.endpoints[1], 4)):
            item.scripts.append(ending_as((ends[0], last, *ends[2:])))
        return await router.request(request_id="a")

    check_whole(play(scenario, "v1", "v1", "v1"))


@broken_endings
def test_a_stream_that_may_not_be_resumed_does_not_look_complete(ending):
    async def scenario(router):
        router.endpoints[0].scripts.append(ending_as(ending))
        answer = await router.request("/plain/x", request_id="a")
        return answer, router.endpoints

    answer, endpoints = play(scenario)
    assert numbers(answer) == WHOLE[: ending[1]]
    assert not answer.complete
    assert answer.body.endswith(b"\n\n")
    assert [len(item.requests) for item in endpoints] == [1, 0, 0]


@pytest.mark.parametrize("ending", WHOLE_ENDINGS.values(), ids=WHOLE_ENDINGS)
def test_a_stream_that_its_endpoint_ended_is_complete(ending):
    framing, how = ending

    async def scenario(router):
        script = ending_as((framing, LAST, b"", how))
        router.endpoints[0].scripts.append(script)
        return await router.request(request_id="a"), router.endpoints

    answer, endpoints = play(scenario)
    check_whole(answer)
    assert [len(item.requests) for item in endpoints] == [1, 0, 0]


# A silent endpoint that is replaced


@pytest.fixture
def short_silence(monkeypatch):
    monkeypatch.setattr(endpoint_activity, "SILENCE_TIMEOUT", 0.05)
    monkeypatch.setattr(attempts, "LIVENESS_CHECK_INTERVAL", 0.01)
    monkeypatch.setattr(attempts, "HANDOVER_DURATION", 5.0)


def falling_silent(ending, silent, wake):
    """Return a script of an answer that goes on once `wake` is set, and its end."""
    framing, last, begun, how = ending

    async def script(answer):
        answer.begin(framing)
        answer.events(*range(1, silent + 1))
        await wake.wait()
        answer.events(*range(silent + 1, last + 1))
        if begun:
            answer.send(begun)
        await answer.end(how)

    return script


@broken_endings
def test_a_stream_whose_silent_endpoint_was_replaced_is_whole(short_silence, ending):
    """What the silent endpoint sends later is not part of the stream."""

    async def scenario(router):
        wake = asyncio.Event()
        silent = ending[1]
        script = falling_silent(ending, silent, wake)
        first, _, second = router.endpoints
        first.scripts.append(script)
        second.scripts.append(go_on_beside(wake))
        return await router.request(request_id="a")

    check_whole(play(scenario))


def go_on_beside(wake):
    """Return a script that begins to answer, lets another go on, and ends."""

    async def script(answer):
        answer.begin()
        await answer.writer.drain()
        await asyncio.sleep(0.02)
        wake.set()
        answer.events(*range(answer.resumed_after + 1, LAST + 1))
        await answer.end()

    return script


@broken_endings
def test_a_stream_whose_silent_endpoint_goes_on_is_whole(short_silence, ending):
    """The endpoint that was to replace it has the request, but yields."""

    async def scenario(router):
        wake = asyncio.Event()
        first, _, second, _ = router.endpoints
        first.scripts.append(falling_silent(ending, 2, wake))

        async def begin_late(answer):
            wake.set()
            await asyncio.sleep(0.01)
            await whole(answer)

        second.scripts.append(begin_late)
        return await router.request(request_id="a")

    check_whole(play(scenario, "v1", "v2", "v1", "v1"))


# Returns of the caller


async def begin_once(router, ending, request_id="a"):
    """Return the answer to a stream that breaks off, and is not resumed within it."""
    router.endpoints[0].scripts.append(ending_as(ending))
    begun = await router.request("/once/x", request_id=request_id)
    assert not begun.complete
    assert numbers(begun) == WHOLE[: ending[1]]
    return begun


@broken_endings
def test_a_stream_that_its_caller_resumes_is_whole(ending):
    async def scenario(router):
        begun = await begin_once(router, ending)
        resumed = await router.request(
            request_id="b", resumes="a", last_event_id=str(numbers(begun)[-1])
        )
        return begun, resumed

    check_whole(*play(scenario))


def test_two_returns_at_once_hold_one_version_each():
    async def scenario(router):
        begun = await begin_once(router, BROKEN_ENDINGS["reset within an event"])
        returns = [
            router.request(request_id=name, resumes="a", last_event_id="3")
            for name in ("b", "c")
        ]
        return begun, await asyncio.gather(*returns)

    begun, returned = play(scenario)
    for answer in returned:
        check_whole(begun, answer)


# Events after which callers resume streams


@pytest.mark.parametrize("text", ["3", "\t 3 ", "0003", "0" * 30 + "3"])
def test_a_number_is_read_with_spaces_around_it_and_zeros_before_it(text):
    async def scenario(router):
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        await router.send_raw(f"Request-Id: b\r\nResumes: a\r\nLast-Event-Id:{text}")
        return router.endpoints[0].requests

    _, resumed = play(scenario)
    assert resumed["last-event-id"] == "3"


def test_a_return_after_two_events_is_refused():
    async def scenario(router):
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        twice = "Request-Id: b\r\nResumes: a\r\nLast-Event-Id: 3\r\nLast-Event-Id: 2"
        return await router.send_raw(twice), router.endpoints[0].requests

    answer, requests = play(scenario)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert len(requests) == 1


@pytest.mark.parametrize("headers", [{}, {"last_event_id": ""}])
def test_a_return_that_names_no_event_begins_a_new_stream(headers):
    async def scenario(router):
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        return await router.request(request_id="b", resumes="a", **headers)

    check_whole(play(scenario))


@pytest.mark.parametrize("after", [0, 1, 2])
def test_a_return_behind_what_the_caller_has_goes_on_where_it_asks(after):
    async def scenario(router):
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        return await router.request(
            request_id="b", resumes="a", last_event_id=str(after)
        )

    answer = play(scenario)
    assert (numbers(answer), versions(answer)) == (WHOLE[after:], ["v1"])


@pytest.mark.parametrize("after", [LAST, LAST + 1, 10**18 - 1])
def test_a_return_at_or_beyond_the_last_event_gets_what_its_endpoint_answers(after):
    async def scenario(router):
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        return await router.request(
            request_id="b", resumes="a", last_event_id=str(after)
        )

    answer = play(scenario)
    assert (answer.status, answer.body, answer.complete) == (200, b"", True)


def test_a_return_to_a_stream_that_nobody_began_is_refused():
    async def scenario(router):
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        answers = [
            await router.request(request_id="b", last_event_id="3", **named)
            for named in ({}, {"resumes": "another"})
        ]
        return answers, router.endpoints

    answers, endpoints = play(scenario)
    assert [answer.status for answer in answers] == [503, 503]
    assert [len(item.requests) for item in endpoints] == [1, 0, 0]


def test_a_request_id_that_began_streams_of_two_versions_resumes_neither():
    async def scenario(router):
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        router.endpoints.reverse()
        router.coordinator.endpoints = dict(
            reversed(router.coordinator.endpoints.items())
        )
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        return await router.request(request_id="b", resumes="a", last_event_id="3")

    assert play(scenario, "v1", "v2").status == 503


# Endpoints that resume otherwise than they were asked


def sending(*pieces, status=200, framing=Framing.CHUNKED, how=Ending.END):
    """Return a script that sends events, by number, and other bytes."""

    async def script(answer):
        answer.begin(framing, status)
        for piece in pieces:
            answer.send(answer.event(piece) if isinstance(piece, int) else piece)
        await answer.end(how)

    return script


def resume_at(*scripts):
    """Return the answer to a stream that breaks off after its third event.

    The endpoints at which it is resumed answer by the scripts.
    """

    async def scenario(router):
        broken = BROKEN_ENDINGS["reset between events"]
        router.endpoints[0].scripts.append(ending_as(broken))
        for item, script in zip(router.endpoints[1:], scripts, strict=False):
            item.scripts.append(script)
        return await router.request(request_id="a")

    return play(scenario, "v1", "v1", "v1", "v1")


def test_an_endpoint_that_repeats_the_last_event_resumes_the_stream():
    check_whole(resume_at(sending(3, 4, 5)))


def test_an_event_that_is_sent_twice_reaches_the_caller_once():
    async def scenario(router):
        router.endpoints[0].scripts.append(sending(1, 1, 2, 3, 3, 3, 4, 5))
        return await router.request(request_id="a")

    check_whole(play(scenario))


def test_a_skipped_event_cannot_be_told_from_a_number_that_is_not_used():
    assert numbers(resume_at(sending(5))) == [1, 2, 3, 5]


def test_comments_before_the_first_event_of_a_resumption_do_no_harm():
    check_whole(resume_at(sending(b": alive\n\n", 4, b": alive\n\n", 5)))


def test_an_endpoint_that_has_nothing_left_ends_the_stream():
    async def scenario(router):
        broken = BROKEN_ENDINGS["reset after the last event"]
        router.endpoints[0].scripts.append(ending_as(broken))
        router.endpoints[2].scripts.append(sending())
        return await router.request(request_id="a")

    check_whole(play(scenario))


@pytest.mark.parametrize("ending", [Ending.CLOSE, Ending.RESET])
def test_a_resumption_without_event_and_end_does_not_end_the_stream(ending):
    check_whole(resume_at(sending(how=ending), whole))


@pytest.mark.parametrize("status", [200, 500, 404])
def test_a_resumption_that_is_no_stream_does_not_end_the_stream(status):
    check_whole(resume_at(sending(b'{"error": 1}', status=status), whole))


def test_an_address_taken_over_by_another_version_gets_no_part_of_a_stream():
    async def taken_over(answer):
        answer.begin(Framing.LENGTH, status=421, length=0, signed=False)
        await answer.end()

    assert resume_at(taken_over, whole).complete


def test_an_incomplete_stream_is_reset_for_a_caller_without_chunks():
    async def scenario(router):
        broken = BROKEN_ENDINGS["closed within an event"]
        router.endpoints[0].scripts.append(ending_as(broken))
        with pytest.raises(ConnectionResetError):
            await router.send_raw("Request-Id: a", "/plain/x", "1.0")

    play(scenario)


@pytest.mark.parametrize(
    "text", ["three", "-3", "+3", "3.0", "3 4", "3,4", "0x3", "1²", "9" * 19]
)
def test_a_return_after_an_event_without_number_began_the_stream_anew(text):
    """Its caller got the first events twice, of two runs."""

    async def scenario(router):
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        answer = await router.request(
            request_id="b", resumes="a", last_event_id=text.encode("latin-1")
        )
        return answer, router.endpoints

    answer, endpoints = play(scenario)
    assert answer.status == 400
    assert [len(item.requests) for item in endpoints] == [1, 0, 0]


def test_a_stream_that_states_that_it_did_not_run_was_joined_to_a_second_run():
    """The route allows one run, and the statement allowed another one."""

    async def script(answer):
        answer.begin(not_run=True)
        answer.events(1, 2, 3)
        await answer.end(Ending.RESET)

    async def scenario(router):
        router.endpoints[0].scripts.append(script)
        return await router.request("/plain/x", request_id="a")

    answer = play(scenario, "v1", "v1")
    check_whole(answer)
    assert b"m-1/" not in answer.body


def test_a_stream_that_was_begun_anew_was_joined_to_the_first_run():
    """Its first events, of another run than those sent, were dropped."""
    answer = resume_at(sending(1, 2, 3, 4, 5), whole)
    check_whole(answer)
    assert b"m-2/" not in answer.body


def test_a_return_for_which_an_endpoint_begins_anew_goes_to_another_one():
    async def scenario(router):
        begun = await begin_once(router, BROKEN_ENDINGS["reset between events"])
        router.endpoints[0].scripts.append(sending(1, 2, 3, 4, 5))
        resumed = await router.request(request_id="b", resumes="a", last_event_id="3")
        return begun, resumed, router.endpoints

    begun, resumed, endpoints = play(scenario)
    check_whole(begun, resumed)
    assert endpoints[2].requests[0]["last-event-id"] == "3"


@pytest.mark.parametrize("number", [1, 2])
def test_a_stream_whose_numbers_went_back_was_joined_of_two_runs(number):
    async def scenario(router):
        async def go_back(answer):
            answer.begin()
            answer.events(1, 2, 3)
            await asyncio.sleep(0.02)
            answer.events(*range(number, LAST + 1))
            await answer.end()

        router.endpoints[0].scripts.append(go_back)
        return await router.request(request_id="a"), router.endpoints[1].requests

    answer, resumed = play(scenario, "v1", "v1", "v1")
    check_whole(answer)
    assert [headers["last-event-id"] for headers in resumed] == ["3"]


def test_a_closing_event_without_number_ends_a_resumed_stream():
    """It can't be told from any other event without number."""
    answer = resume_at(sending(4, 5, how=Ending.RESET), sending(b"data: [DONE]\n\n"))
    check_whole(answer)
    assert answer.body.endswith(b"data: [DONE]\n\n")


# Copies of cached prompts


@pytest.mark.parametrize(("software", "copied"), [("v1", True), ("v2", False)])
def test_a_prompt_was_copied_from_an_engine_of_another_version(software, copied):
    """What two versions make does not fit together, and no endpoint checks it."""

    async def scenario(router):
        router.coordinator.copy_source = "m-2"
        await router.request(request_id="a")
        first, second = router.endpoints
        return first.requests[0].get("kv-fetch"), str(second.address)

    source, address = play(scenario, "v1", software)
    assert source == (address if copied else None)


def test_a_prompt_of_a_resumed_stream_is_copied_within_its_version():
    async def scenario(router):
        router.coordinator.copy_source = "m-2"
        broken = BROKEN_ENDINGS["reset between events"]
        router.endpoints[0].scripts.append(ending_as(broken))
        await router.request(request_id="a")
        return router.endpoints[2].requests

    [resumed] = play(scenario)
    assert resumed["last-event-id"] == "3"
    assert "kv-fetch" not in resumed


def test_a_return_whose_twin_has_ended_is_still_found():
    async def scenario(router):
        begun = await begin_once(router, BROKEN_ENDINGS["reset between events"])
        fields = {"resumes": "a", "last_event_id": "3"}
        router.endpoints[0].scripts.append(
            ending_as((Framing.CHUNKED, 4, b"", Ending.RESET))
        )
        broken = await router.request("/once/x", request_id="b", **fields)
        twin = await router.request("/once/x", request_id="c", **fields)
        fields["last_event_id"] = "4"
        return begun, broken, twin, await router.request(request_id="d", **fields)

    begun, broken, twin, last = play(scenario)
    check_whole(begun, twin)
    check_whole(begun, broken, last)


@pytest.mark.parametrize("brought", [1, 0])
def test_a_chain_of_returns_that_names_the_one_before_was_refused(brought):
    """Each return may name the request before it, not the one that began the stream."""

    async def scenario(router):
        begun = await begin_once(router, (Framing.CHUNKED, 2, b"", Ending.RESET))
        last = 2 + brought
        router.endpoints[0].scripts.append(
            ending_as((Framing.CHUNKED, last, b"id: 9\nd", Ending.RESET))
        )
        second = await router.request(
            "/once/x", request_id="b", resumes="a", last_event_id="2"
        )
        third = await router.request(
            request_id="c", resumes="b", last_event_id=str(last)
        )
        return begun, second, third

    check_whole(*play(scenario))


def test_a_completed_stream_and_one_of_its_request_id_were_joined():
    """The answer was whole for its router, but its caller may have lost the end."""

    async def scenario(router):
        await router.request("/once/x", request_id="a")
        router.endpoints.reverse()
        router.coordinator.endpoints = dict(
            reversed(router.coordinator.endpoints.items())
        )
        await begin_once(router, BROKEN_ENDINGS["reset between events"])
        return await router.request(request_id="b", resumes="a", last_event_id="3")

    assert play(scenario, "v1", "v2").status == 503


def test_a_caller_that_lost_the_end_of_a_completed_stream_was_refused():
    """What its router has sent may be lost with the connection."""

    async def scenario(router):
        await router.request("/once/x", request_id="a")
        return await router.request(request_id="b", resumes="a", last_event_id="3")

    answer = play(scenario)
    assert (numbers(answer), versions(answer)) == (WHOLE[3:], ["v1"])


# Endpoints that start again at their address


def test_a_stream_of_an_endpoint_that_changed_its_version_unnoticed_was_joined():
    """Its entry was older than the process that took the request, under its name."""

    async def scenario(router):
        async def start_again(answer):
            answer.software = "v2"
            answer.begin()
            answer.events(1, 2, 3)
            await asyncio.sleep(0.02)
            router.coordinator.superseded.add("m-1")
            await answer.writer.wait_closed()

        router.endpoints[0].scripts.append(start_again)
        return await router.request(request_id="a")

    answer = play(scenario)
    assert len(versions(answer)) == 1
    assert not answer.complete


@pytest.mark.parametrize("name", ["kv_from", "kv_backup", "kv_fetch", "hold", "pin_ms"])
def test_memory_that_a_caller_names_is_not_used(name):
    """A stream would go on from the memory of another request."""

    async def scenario(router):
        await router.request(request_id="a", **{name: "127.0.0.1:1/x"})
        return router.endpoints[0].requests[0]

    assert name.replace("_", "-") not in play(scenario)
