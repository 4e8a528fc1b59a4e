"""HTTP headers of the platform, for callers and endpoints."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.protocol.exchanges import (
    USUAL_DURATION,
    HeaderList,
    Load,
    Part,
    RequestFields,
    ResponseFields,
)
from carawayfold.state.ids import OrganisationId, PartId, RequestId
from carawayfold.state.routes import ANONYMOUS

if TYPE_CHECKING:
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.transport.client import Head

# Names of headers. Those read from requests and responses are in lower case.
REQUEST_ID = "request-id"
TIME_LEFT = "request-deadline"
API_KEY = "x-api-key"
ORGANISATION = "tenant-id"
EXPECTED_ENDPOINT = "target-instance"
PROMPT = "prompt-prefix"
TOKENS = "token-usage"
OUTPUT_ESTIMATE = "length-hint"
RESUME_AFTER = "last-event-id"
RESUMES = "resumes"
COPY_FROM = "kv-fetch"
NOT_RUN = "not-executed"
SIGNATURE = "server-signature"
LOAD = "server-load"
LEAVING = "server-leaving"
RETRY_AFTER = "Retry-After"
#: Status of an endpoint that has taken over the address of the expected one.
MISDIRECTED = 421
#: Status with which an endpoint may request a backoff.
BUSY = 503
#: Decimal seconds of a ``Retry-After`` header; HTTP dates are not supported.
SECONDS = re.compile(r"[0-9]+(\.[0-9]+)?", re.ASCII)

#: Maximum number of digits that are read of a number. More of them can't be sent in
#: messages between routers, and thousands of them can't be converted at all.
MAX_DIGITS = 18
#: Largest number of tokens or requests that is told apart; sums of many still fit.
MAX_TOKENS = 10**12
#: Least and greatest duration of an endpoint's work, in percent of the usual, that is
#: told apart.
MIN_DURATION, MAX_DURATION = 1, 100_000
#: Seconds after which a caller stops waiting, at most; longer values are read as this.
MAX_TIME_LEFT = 86400.0

#: Headers that apply to one connection only and are not forwarded.
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    }
)
#: Request headers that decide what is run, and may occur once only.
SINGLE_HEADERS = frozenset({REQUEST_ID, API_KEY, TIME_LEFT, RESUME_AFTER, RESUMES})
#: Request headers that only the routers may set; they are removed from the requests
#: of callers.
ROUTER_REQUEST_HEADERS = frozenset(
    {
        API_KEY,
        ORGANISATION,
        EXPECTED_ENDPOINT,
        TIME_LEFT,
        RESUME_AFTER,
        "hold",
        "pin-ms",
        "kv-backup",
        "kv-from",
        COPY_FROM,
    }
)
#: Response headers meant for the routers only; callers do not receive them.
ROUTER_RESPONSE_HEADERS = frozenset({LOAD, NOT_RUN})


class PlatformDialect:
    """Reads and writes the headers of the platform.

    Implements `carawayfold.protocol.exchanges.Dialect`.
    """

    def read_request(self, headers: list[tuple[bytes, bytes]]) -> RequestFields:
        """Return the fields decoded from the headers of a request.

        Raises
        ------
        Refusal
            If one of `SINGLE_HEADERS` occurs more than once, or the stream is to be
            resumed after an event that no stream has.
        """
        pairs = [
            (name.decode("latin-1"), value.decode("latin-1")) for name, value in headers
        ]
        values: dict[str, str] = {}
        for name, value in pairs:
            if name in values and name in SINGLE_HEADERS:
                raise Refusal(ErrorKind.MALFORMED_REQUEST, f"two {name} headers")
            values[name] = value
        prompt_tokens, output_tokens = _token_usage(values.get(TOKENS, ""))
        estimate = _count(values.get(OUTPUT_ESTIMATE, ""))
        return RequestFields(
            id=RequestId(values.get(REQUEST_ID, "")),
            host=values.get("host", "").partition(":")[0].lower(),
            key=values.get(API_KEY, ""),
            time_left=_seconds(values.get(TIME_LEFT)),
            resume_after=_event(values.get(RESUME_AFTER)),
            resumes=RequestId(values.get(RESUMES, "")),
            prompt=_parts(values.get(PROMPT, "")),
            prompt_tokens=prompt_tokens,
            output_tokens=output_tokens,
            expected_output=output_tokens if estimate is None else estimate,
            forwarded=_end_to_end(pairs, ROUTER_REQUEST_HEADERS),
        )

    def request_headers(
        self,
        asked: RequestFields,
        endpoint: Endpoint,
        organisation: OrganisationId,
        time_left: float,
        resume_after: int | None,
        copy_source: Endpoint | None = None,
    ) -> HeaderList:
        """Return the headers of a request to `endpoint`; see `Dialect`.

        `time_left` is in seconds.
        """
        headers = list(asked.forwarded)
        headers.append((TIME_LEFT, str(max(1, int(time_left * 1000)))))
        headers.append((EXPECTED_ENDPOINT, endpoint.name))
        if organisation != ANONYMOUS:
            headers.append((ORGANISATION, organisation))
        if resume_after is not None:
            headers.append((RESUME_AFTER, str(resume_after)))
        if copy_source is not None:
            headers.append((COPY_FROM, str(copy_source.address)))
        return headers

    def matches_request(self, asked: RequestFields, head: Head) -> bool:
        """Return whether a response head has the id of the request, or none."""
        return head.headers.get(REQUEST_ID, asked.id) == asked.id

    def read_answer(self, head: Head) -> ResponseFields:
        """Return the fields decoded from the head of a response."""
        return ResponseFields(
            status=head.status,
            not_run=NOT_RUN in head.headers or head.status == MISDIRECTED,
            misdirected=head.status == MISDIRECTED,
            signed=SIGNATURE in head.headers,
            load=_load(head.headers.get(LOAD, "")),
            forwarded=_end_to_end(head.fields, ROUTER_RESPONSE_HEADERS),
            leaving=_leaving(head),
            rest=_requested_backoff(head),
        )

    def refusal_headers(
        self, asked: RequestFields | None, refusal: Refusal
    ) -> HeaderList:
        """Return the headers of a response that rejects a request."""
        headers: HeaderList = []
        if asked is not None and asked.id:
            headers.append((REQUEST_ID, asked.id))
        if refusal.wait is not None:
            headers.append((RETRY_AFTER, f"{refusal.wait:.3g}"))
        return headers


def _end_to_end(pairs: HeaderList, excluded: frozenset[str]) -> HeaderList:
    connection_headers = {
        token.strip().lower()
        for name, value in pairs
        if name == "connection"
        for token in value.split(",")
    }
    return [
        (name, value)
        for name, value in pairs
        if name not in HOP_BY_HOP
        and name not in excluded
        and name not in connection_headers
    ]


def _seconds(text: str | None) -> float | None:
    milliseconds = _number(text)
    return None if milliseconds is None else min(milliseconds / 1000, MAX_TIME_LEFT)


def _event(text: str | None) -> int | None:
    """Return the number of an event, None if none is named.

    Raises
    ------
    Refusal
        If it is no number, or too large. To resume after another event, or to begin a
        new stream, would repeat or omit events.
    """
    if not text:
        return None
    event = _number(text)
    if event is None or event >= 10**MAX_DIGITS:
        raise Refusal(ErrorKind.MALFORMED_REQUEST, "no stream has such an event")
    return event


def _count(text: str) -> int | None:
    number = _number(text)
    return None if number is None else min(number, MAX_TOKENS)


def _number(text: str | None) -> int | None:
    """Return a decimal number, ``10**MAX_DIGITS`` for any with more digits."""
    if text is None or not _is_number(text):
        return None
    if len(text) > MAX_DIGITS:
        text = text.lstrip("0") or "0"
    return int(text) if len(text) <= MAX_DIGITS else 10**MAX_DIGITS


def _is_number(text: str) -> bool:
    """Return whether a text is a decimal number; other digits are not ASCII."""
    return text.isascii() and text.isdigit()


def _token_usage(text: str) -> tuple[int, int]:
    prompt, _, output = text.partition(",")
    prompt_tokens, output_tokens = _count(prompt), _count(output)
    if prompt_tokens is None or output_tokens is None:
        return 0, 0
    return prompt_tokens, output_tokens


def _parts(text: str) -> tuple[Part, ...]:
    parts = []
    for item in text.split(","):
        name, _, tokens = item.strip().partition(":")
        count = _count(tokens)
        if name and count is not None:
            parts.append(Part(PartId(name), count))
    return tuple(parts)


def _leaving(head: Head) -> bool:
    """Return whether an endpoint announces that it shuts down.

    A misdirected response comes from another endpoint at the same address and does
    not count.
    """
    announced = "1" in (value.strip() for name, value in head.fields if name == LEAVING)
    return announced and head.status != MISDIRECTED


def _requested_backoff(head: Head) -> float:
    """Return the longest backoff in seconds that a response requests, 0 for none."""
    if head.status != BUSY:
        return 0.0
    name = RETRY_AFTER.lower()
    values = [value.strip() for key, value in head.fields if key == name]
    return max((float(x) for x in values if SECONDS.fullmatch(x)), default=0.0)


def _load(text: str) -> Load | None:
    """Return the load in three or four numbers; the fourth one is in percent."""
    counts = [_count(item.strip(" \t")) for item in text.split(",")]
    if len(counts) not in (3, 4) or None in counts:
        return None
    running, waiting, slots = counts[:3]
    duration = counts[3] if len(counts) == 4 else USUAL_DURATION
    return Load(running, waiting, slots, min(max(duration, MIN_DURATION), MAX_DURATION))
