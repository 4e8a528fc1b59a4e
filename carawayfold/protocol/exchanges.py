"""Contents of forwarded requests and responses, independent of header names."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from carawayfold.errors import Refusal
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import OrganisationId, PartId, RequestId
    from carawayfold.transport.client import Head

#: Header names and values, in order.
HeaderList = list[tuple[str, str]]

#: Duration of work that takes as long as usual, in percent.
USUAL_DURATION = 100


class Part(msgspec.Struct, frozen=True):
    """A part of a prompt that other requests may share."""

    id: PartId
    tokens: int


class RequestFields(msgspec.Struct, frozen=True):
    """Contents of the headers of a request.

    Attributes
    ----------
    key : str
        API key, or an empty string.
    time_left : float or None
        Seconds until the caller stops waiting; None if not stated.
    resume_after : int or None
        Number of the last event received, if the caller resumes a stream.
    resumes : RequestId
        Request that brought the first event of a resumed stream; empty if not stated.
    prompt : tuple of Part
        Parts of the prompt, in order.
    prompt_tokens, output_tokens : int
        Number of tokens in the prompt, and the maximum number to generate.
    expected_output : int
        Number of output tokens estimated by the caller, by default the maximum.
    forwarded : list of tuple of str
        Headers that are forwarded to the endpoint unchanged.
    """

    id: RequestId
    host: str
    key: str
    time_left: float | None
    resume_after: int | None
    resumes: RequestId
    prompt: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    expected_output: int
    forwarded: HeaderList


class Load(msgspec.Struct, frozen=True):
    """Load reported by an endpoint.

    Attributes
    ----------
    running, waiting, slots : int
        Requests in process, requests waiting, and requests processed at once.
    duration : int
        Duration of its work at this moment in percent of its usual duration.
    """

    running: int
    waiting: int
    slots: int
    duration: int = USUAL_DURATION


class ResponseFields(msgspec.Struct, frozen=True):
    """Contents of the head of a response from an endpoint.

    Attributes
    ----------
    not_run : bool
        Whether the endpoint reports that it did not run the request.
    misdirected : bool
        Whether the address now belongs to another endpoint.
    signed : bool
        Whether it contains the signature of the endpoint.
    load : Load or None
        Load reported by the endpoint.
    forwarded : list of tuple of str
        Headers that are forwarded to the caller unchanged.
    leaving : bool
        Whether the endpoint reports that it is shutting down.
    rest : float
        Seconds for which this router must not send further requests; 0 if not stated.
    """

    status: int
    not_run: bool
    misdirected: bool
    signed: bool
    load: Load | None
    forwarded: HeaderList
    leaving: bool = False
    rest: float = 0.0


class Dialect(Protocol):
    """Header format of requests and responses of callers and endpoints."""

    def read_request(self, headers: list[tuple[bytes, bytes]]) -> RequestFields:
        """Parse the headers of a request; raise `Refusal` if they are invalid."""

    def request_headers(
        self,
        asked: RequestFields,
        endpoint: Endpoint,
        organisation: OrganisationId,
        time_left: float,
        resume_after: int | None,
        copy_source: Endpoint | None = None,
    ) -> HeaderList:
        """Return the headers of a request to `endpoint`.

        With `copy_source`, the endpoint first copies the prompt parts cached by that
        endpoint. `time_left` is in seconds.
        """

    def matches_request(self, asked: RequestFields, head: Head) -> bool:
        """Return whether the head of a response belongs to the request."""

    def read_answer(self, head: Head) -> ResponseFields:
        """Parse the head of a response."""

    def refusal_headers(
        self, asked: RequestFields | None, refusal: Refusal
    ) -> HeaderList:
        """Return the headers of a response that rejects a request."""
