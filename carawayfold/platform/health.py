"""Client of the health checks of endpoints."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING, Annotated

import msgspec

from carawayfold.platform.records import MAX_WARM_UP_MS
from carawayfold.protocol.sources import SourceError
from carawayfold.transport.client import ExchangeError

if TYPE_CHECKING:
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.transport.client import HttpClient

#: Seconds to wait for a response. Endpoints answer at once; requests wait meanwhile.
TIMEOUT = 0.25
#: Header with the name of the endpoint that responds.
NAME = "instance-id"
#: Header with the milliseconds for which the endpoint still warms up, if it does.
WARM_UP_LEFT = "cold-ms"

Left = Annotated[float, msgspec.Meta(ge=0, le=MAX_WARM_UP_MS)]


class HealthClient:
    """Client that asks endpoints over HTTP whether they warm up.

    Implements `carawayfold.protocol.sources.WarmUpReporter`.

    Parameters
    ----------
    http : HttpClient
        Client for the requests.
    """

    def __init__(self, http: HttpClient) -> None:
        self.http = http

    async def warm_up_left(self, endpoint: Endpoint, path: str) -> float:
        """Return the seconds for which an endpoint still warms up.

        An endpoint states them only while it warms up.

        Raises
        ------
        SourceError
            If the request fails, another endpoint responds, or the endpoint is not
            healthy and does not state them.
        """
        try:
            answer = await self.http.fetch(
                endpoint.address, "GET", path, timeout=TIMEOUT
            )
        except ExchangeError as error:
            raise SourceError(str(error)) from error
        headers = answer.head.headers
        if headers.get(NAME) != endpoint.name:
            raise SourceError("another endpoint answers the health check")
        text = headers.get(WARM_UP_LEFT)
        if text is None and answer.head.status != HTTPStatus.OK:
            raise SourceError(f"status {answer.head.status}")
        try:
            left = msgspec.convert(text or 0, Left, strict=False)
        except msgspec.ValidationError as error:
            raise SourceError(f"no duration of the warm-up: {error}") from None
        return left / 1000
