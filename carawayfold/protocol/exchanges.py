"""What a forwarded request and its answer say, free of any wire's names."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import msgspec

if TYPE_CHECKING:
    from carawayfold.errors import Refusal
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import OrganisationId, PartId, RequestId
    from carawayfold.transport.client import Head

HeaderList = list[tuple[str, str]]


class Part(msgspec.Struct, frozen=True):
    """A part of a prompt, which other requests may share."""

    id: PartId
    tokens: int


class Asked(msgspec.Struct, frozen=True):
    """What a request's headers say.

    Attributes
    ----------
    key : str
        API key, or an empty string.
    time_left : float or None
        Seconds that the caller goes on waiting, if it says so.
    resume_after : int or None
        Last event that the caller of a resumed stream has.
    prompt : tuple of Part
        Parts of the prompt, in order.
    prompt_tokens, output_tokens : int
        Length of the prompt, and the most that may be generated.
    expected_output : int
        The caller's own estimate of what will be generated, else the most.
    forwarded : list of tuple of str
        Headers that go to the endpoint as they came.
    """

    id: RequestId
    host: str
    key: str
    time_left: float | None
    resume_after: int | None
    prompt: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    expected_output: int
    forwarded: HeaderList


class Load(msgspec.Struct, frozen=True):
    """What an endpoint says of its load."""

    running: int
    waiting: int
    slots: int


class Answered(msgspec.Struct, frozen=True):
    """What the head of an endpoint's answer says.

    Attributes
    ----------
    not_run : bool
        Whether the endpoint states that it did not run the request.
    misdirected : bool
        Whether another endpoint has the address now.
    signed : bool
        Whether it bears the endpoint's signature.
    load : Load or None
        The endpoint's load.
    forwarded : list of tuple of str
        Headers that go to the caller as they came.
    leaving : bool
        Whether the endpoint says that it leaves.
    rest : float
        Seconds for which it wants nothing more from this router; 0 if it does not say.
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
    """How callers and endpoints spell requests and answers."""

    def read_request(self, headers: list[tuple[bytes, bytes]]) -> Asked:
        """Return what a request's headers say; raise `Refusal` if unusable."""

    def request_headers(
        self,
        asked: Asked,
        endpoint: Endpoint,
        organisation: OrganisationId,
        time_left: float,
        resume_after: int | None,
        donor: Endpoint | None = None,
    ) -> HeaderList:
        """Return the headers of a request to `endpoint`.

        With `donor`, the endpoint first copies what that one keeps of the prompt.
        """

    def answers(self, asked: Asked, head: Head) -> bool:
        """Return whether an answer's head belongs to the request."""

    def read_answer(self, head: Head) -> Answered:
        """Return what an answer's head says."""

    def refusal_headers(self, asked: Asked | None, refusal: Refusal) -> HeaderList:
        """Return the headers of an answer that refuses a request."""
