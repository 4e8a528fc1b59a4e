"""Stand-in for the platform's list of live and leaving instances.

``GET /instances`` returns the list, ``POST /instances`` adds or replaces entries by
id, and ``POST /faults`` with ``{"down": bool}`` makes the list unavailable.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from carawayfold.protocol.log_service import Instance
from standins.web import WebAnswer

if TYPE_CHECKING:
    from standins.web import WebConnection, WebRequest


class InstanceList:
    """Instance list that is kept in memory."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.down = False

    async def handle(
        self, request: WebRequest, _connection: WebConnection
    ) -> WebAnswer:
        """Serve one request."""
        if request.path == "/faults":
            self.down = msgspec.json.decode(request.body)["down"]
            return WebAnswer.json({})
        if request.method == "POST":
            for item in msgspec.json.decode(request.body, type=list[Instance]):
                self.instances[item.id] = item
            return WebAnswer.json({})
        if self.down:
            return WebAnswer.json({}, 503)
        return WebAnswer.json(list(self.instances.values()))
