"""Decoding of the response headers by which endpoints report their state."""

from __future__ import annotations

import contextlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.platform.headers import (
    MAX_DURATION,
    MAX_TIME_LEFT,
    MAX_TOKENS,
    MIN_DURATION,
    SINGLE_HEADERS,
    PlatformDialect,
)
from carawayfold.protocol.exchanges import Load
from carawayfold.transport.client import Head

#: Request headers whose values the dialect reads.
READ_HEADERS = SINGLE_HEADERS | {"host", "prompt-prefix", "token-usage", "length-hint"}


def read(status, *fields):
    return PlatformDialect().read_answer(Head(status, dict(fields), list(fields)))


@pytest.mark.parametrize(
    ("values", "leaving"),
    [
        ([], False),
        (["1"], True),
        ([" 1 "], True),
        (["0"], False),
        (["yes"], False),
        (["0", "1"], True),
    ],
)
@pytest.mark.parametrize("status", [200, 404, 500, 503])
def test_shutdown_is_announced_with_any_status(status, values, leaving):
    fields = [("server-leaving", value) for value in values]
    assert read(status, *fields).leaving is leaving


def test_misdirected_response_does_not_count_for_the_expected_endpoint():
    answered = read(421, ("server-leaving", "1"), ("retry-after", "3"))
    assert (answered.leaving, answered.rest) == (False, 0.0)


@pytest.mark.parametrize(
    ("values", "rest"),
    [
        ([], 0.0),
        (["3"], 3.0),
        ([" 2.5 "], 2.5),
        (["0"], 0.0),
        (["-1"], 0.0),
        (["soon"], 0.0),
        (["inf"], 0.0),
        (["nan"], 0.0),
        (["1e9"], 0.0),
        (["٣"], 0.0),
        (["Thu, 03 Dec 2026 16:00:00 GMT"], 0.0),
        (["1000000000"], 1e9),
        (["3", "1"], 3.0),
        (["x", "1"], 1.0),
    ],
)
def test_requested_backoff_is_a_number_of_seconds(values, rest):
    fields = [("retry-after", value) for value in values]
    assert read(503, *fields).rest == rest


@pytest.mark.parametrize("status", [200, 429, 500])
def test_only_status_503_requests_a_backoff(status):
    assert read(status, ("retry-after", "3")).rest == 0.0


def test_a_resumed_stream_names_the_request_that_began_it():
    headers = [
        (b"request-id", b"second"),
        (b"last-event-id", b"12"),
        (b"resumes", b"first"),
    ]
    parsed = PlatformDialect().read_request(headers)
    assert (parsed.id, parsed.resumes, parsed.resume_after) == ("second", "first", 12)


def test_a_new_request_resumes_none():
    assert PlatformDialect().read_request([(b"request-id", b"first")]).resumes == ""


@pytest.mark.parametrize(
    ("name", "value"),
    [
        ("request-deadline", "²"),
        ("token-usage", "³,¹"),
        ("length-hint", "²"),
        ("prompt-prefix", "aa:²"),
    ],
)
def test_digits_that_are_no_numbers_are_read_as_no_number(name, value):
    parsed = PlatformDialect().read_request([(name.encode(), value.encode("latin-1"))])
    assert (parsed.time_left, parsed.prompt) == (None, ())
    assert (parsed.prompt_tokens, parsed.expected_output) == (0, 0)


@pytest.mark.parametrize("name", ["request-id", "last-event-id", "resumes"])
def test_a_header_that_must_be_single_is_refused_twice(name):
    with pytest.raises(Refusal) as refused:
        PlatformDialect().read_request([(name.encode(), b"1"), (name.encode(), b"2")])
    assert refused.value.kind is ErrorKind.MALFORMED_REQUEST


@pytest.mark.parametrize("digits", [18, 19, 400, 5000])
def test_a_number_of_thousands_of_digits_raised_an_error(digits):
    number = b"9" * digits
    headers = [
        (b"request-deadline", number),
        (b"token-usage", number + b"," + number),
        (b"length-hint", number),
        (b"prompt-prefix", b"aa:" + number),
    ]
    parsed = PlatformDialect().read_request(headers)
    assert parsed.time_left == MAX_TIME_LEFT
    counts = parsed.prompt_tokens, parsed.output_tokens, parsed.expected_output
    assert (*counts, parsed.prompt[0].tokens) == (MAX_TOKENS,) * 4
    forwarded = [item for item in headers if item[0] != b"request-deadline"]
    assert [(n.encode(), v.encode()) for n, v in parsed.forwarded] == forwarded


@pytest.mark.parametrize("name", ["request-deadline", "last-event-id", "length-hint"])
def test_a_number_with_thousands_of_leading_zeros_raised_an_error(name):
    pair = (name.encode(), b"0" * 5000 + b"12")
    parsed = PlatformDialect().read_request([pair])
    read_as = {
        "request-deadline": parsed.time_left,
        "last-event-id": parsed.resume_after,
        "length-hint": parsed.expected_output,
    }
    assert read_as[name] == (0.012 if name == "request-deadline" else 12)


@pytest.mark.parametrize("event", ["9" * 19, "9" * 5000, "1²", "three", "-3", "3.0"])
def test_an_event_that_no_stream_can_have_is_malformed(event):
    with pytest.raises(Refusal) as refused:
        PlatformDialect().read_request([(b"last-event-id", event.encode("latin-1"))])
    assert refused.value.kind is ErrorKind.MALFORMED_REQUEST


# Guards against a first number that is read as none.
def test_event_0_and_a_deadline_of_0_are_stated():
    pairs = [(b"last-event-id", b"0"), (b"request-deadline", b"0")]
    parsed = PlatformDialect().read_request(pairs)
    assert (parsed.resume_after, parsed.time_left) == (0, 0.0)


@pytest.mark.parametrize("headers", [[], [(b"last-event-id", b"")]])
def test_a_request_that_names_no_event_resumes_no_stream(headers):
    assert PlatformDialect().read_request(headers).resume_after is None


@pytest.mark.parametrize(
    ("text", "load"),
    [
        ("1,2,3", Load(1, 2, 3, 100)),
        ("1,2,3,250", Load(1, 2, 3, 250)),
        (" 1 ,2,\t3, 20 ", Load(1, 2, 3, 20)),
        ("0,0,0,0", Load(0, 0, 0, MIN_DURATION)),
        ("1,2,3,100001", Load(1, 2, 3, MAX_DURATION)),
        ("1,2,3," + "9" * 400, Load(1, 2, 3, MAX_DURATION)),
        ("9" * 400 + ",2,3,100", Load(MAX_TOKENS, 2, 3, 100)),
    ],
)
def test_a_load_has_three_or_four_bounded_numbers(text, load):
    assert read(200, ("server-load", text)).load == load


@pytest.mark.parametrize(
    "text",
    [
        "",
        "1",
        "1,2",
        "1,2,3,",
        ",1,2,3",
        "1,2,3,100,5",
        "1,2,3,4,5,6",
        "a,b,c",
        "1,2,3,usual",
        "-1,2,3,100",
        "1,2,3,-100",
        "1,2,3,+100",
        "1,2,3,100%",
        "1,2,3,1.5",
        "1,2,3,1e3",
        "1,2,3,\xb2",
        "1 1,2,3",
        "1;2;3",
    ],
)
def test_anything_else_is_no_load(text):
    assert read(200, ("server-load", text)).load is None


def test_an_answer_without_the_header_has_no_load():
    assert read(200).load is None


def test_a_load_of_thousands_of_digits_raised_an_error():
    assert read(200, ("server-load", "1,2," + "9" * 5000)).load.slots == MAX_TOKENS


@given(
    st.lists(
        st.tuples(
            st.sampled_from(sorted(READ_HEADERS)),
            st.text(alphabet="0123456789,:-+. aé²", max_size=30)
            | st.integers(0, 6000).map("7".__mul__),
        ),
        max_size=6,
    )
)
def test_proper_headers_are_read_or_refused(headers):
    pairs = [(name.encode(), value.encode("latin-1")) for name, value in headers]
    with contextlib.suppress(Refusal):
        PlatformDialect().read_request(pairs)
