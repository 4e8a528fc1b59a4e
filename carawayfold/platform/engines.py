"""Client that lists the prompt caches of model engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated

import msgspec

from carawayfold.checked import COUNT, TEXT
from carawayfold.platform.records import decode
from carawayfold.protocol.exchanges import Part
from carawayfold.protocol.sources import SourceError
from carawayfold.state.ids import PartId
from carawayfold.transport.client import ExchangeError

if TYPE_CHECKING:
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.transport.client import HttpClient

#: Path of the list of cached prompt parts.
CACHE_LIST_PATH = "/kv-list"
#: Seconds to wait for a response: engines keep the list ready, and a busy one sends
#: it within tens of milliseconds.
TIMEOUT = 0.5


class WireCacheList(msgspec.Struct):
    """Response with the cached parts.

    Attributes
    ----------
    held : list of tuple
        One row for each part: an empty string, its id, its tokens and the model.
    born : int
        Incarnation of the responding engine, the Unix millisecond of its start; 0 if
        the engine does not report it.
    """

    held: list[tuple[str, Annotated[str, TEXT], Annotated[int, COUNT], str]]
    born: int = 0


class EngineClient:
    """Cache source that queries engines over HTTP.

    Implements `carawayfold.protocol.sources.CacheReporter`.

    Parameters
    ----------
    http : HttpClient
        Client for the requests.
    """

    def __init__(self, http: HttpClient) -> None:
        self.http = http

    async def cached_parts(self, endpoint: Endpoint) -> list[Part]:
        """Return the prompt parts that an engine has cached.

        Raises
        ------
        SourceError
            If the request fails, the response is invalid, or another incarnation of
            the endpoint responds.
        """
        try:
            answer = await self.http.fetch(
                endpoint.address, "GET", CACHE_LIST_PATH, timeout=TIMEOUT
            )
        except ExchangeError as error:
            raise SourceError(str(error)) from error
        if answer.head.status != 200:
            raise SourceError(f"status {answer.head.status}")
        listed = decode(answer.body, WireCacheList)
        if listed.born and listed.born != endpoint.incarnation:
            raise SourceError("another incarnation of the endpoint answers")
        return [Part(PartId(part), tokens) for _, part, tokens, _ in listed.held]
