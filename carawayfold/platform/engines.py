"""What model engines tell of their caches."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayfold.protocol.exchanges import Part
from carawayfold.protocol.sources import SourceError
from carawayfold.state.ids import PartId
from carawayfold.transport.client import ExchangeError

if TYPE_CHECKING:
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.transport.client import HttpClient

KEPT_PATH = "/kv-list"
#: Seconds for an answer: the list is ready at once, a busy engine sends it within
#: tens of milliseconds.
TIMEOUT = 0.5


class WireKept(msgspec.Struct):
    """Answer with the parts kept: rows of an empty text, id, tokens and model.

    ``born`` is the start of the engine that answers, where it says so.
    """

    held: list[tuple[str, str, int, str]]
    born: int = 0


class EngineClient:
    """Implements `carawayfold.protocol.sources.CacheSource`."""

    def __init__(self, http: HttpClient) -> None:
        self.http = http

    async def kept(self, endpoint: Endpoint) -> list[Part]:
        """Return the parts of prompts that an engine keeps.

        Raises
        ------
        SourceError
            If it does not say.
        """
        try:
            answer = await self.http.fetch(
                endpoint.address, "GET", KEPT_PATH, timeout=TIMEOUT
            )
            if answer.head.status != 200:
                raise SourceError(f"status {answer.head.status}")
            listed = msgspec.json.decode(answer.body, type=WireKept)
        except (ExchangeError, msgspec.MsgspecError) as error:
            raise SourceError(str(error)) from error
        if listed.born and listed.born != endpoint.incarnation:
            raise SourceError("another incarnation of the endpoint answers")
        return [Part(PartId(part), tokens) for _, part, tokens, _ in listed.held]
