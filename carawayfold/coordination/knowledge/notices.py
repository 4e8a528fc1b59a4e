"""What endpoints say of themselves in their answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook

if TYPE_CHECKING:
    from carawayfold.protocol.exchanges import Answered
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import EndpointId

logger = logbook.Logger(__name__)


class Notices:
    """Notes which endpoints leave or ask for rest by their own answers.

    Attributes
    ----------
    leaving : dict
        Loop time at which each endpoint first said that it leaves.
    rests : dict
        Loop time until which each endpoint wants nothing from this router.
    """

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.leaving: dict[EndpointId, float] = {}
        self.rests: dict[EndpointId, float] = {}

    def heard(self, endpoint: Endpoint, answered: Answered) -> None:
        """Take what the head of an endpoint's answer says of the endpoint."""
        now = self.loop.time()
        if answered.leaving and endpoint.id not in self.leaving:
            self.leaving[endpoint.id] = now
            logger.info(
                "endpoint says that it leaves",
                extra={"endpoint": endpoint.id, "registered": endpoint.leaving},
            )
        if answered.rest:
            self.rests[endpoint.id] = now + answered.rest
            extra = {"endpoint": endpoint.id, "rest_s": answered.rest}
            logger.info("endpoint asks for rest", extra=extra)

    def note_send(self, endpoint: Endpoint) -> None:
        """Log a send that goes against what its endpoint has said."""
        now = self.loop.time()
        since = self.leaving.get(endpoint.id)
        left = self.rests.get(endpoint.id, now) - now
        if since is None and left <= 0:
            return
        logger.info(
            "sent against a notice",
            extra={
                "endpoint": endpoint.id,
                "leaving_for_ms": round((now - since) * 1000) if since else None,
                "rest_left_ms": max(0, round(left * 1000)),
            },
        )
