"""What endpoints say of themselves in their answers, and who else is told.

The load it answers: the store is silent, or tells only some routers, while endpoints
leave. Each answer of such an endpoint says so. The router that gets one tells all
others. Checksums show who has missed it, so that one that has just started is told as
well; they are sent while there is something to tell.
"""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import logbook
import xxhash

from carawayfold.protocol.datagrams import LeavingDigest, LeavingMessage
from carawayfold.state.ids import RouterId

if TYPE_CHECKING:
    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.knowledge.knowledge import Knowledge
    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.protocol.exchanges import Answered
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.rests import Rests

logger = logbook.Logger(__name__)

#: Seconds between checksums.
DIGEST_INTERVAL = 0.5
#: Least seconds between two times that one peer is told of all endpoints that leave.
EVEN_OUT_INTERVAL = 1.0
#: Endpoints named in one message, so that it fits a datagram.
NAMED_IN_ONE = 40


class Notices:
    """Takes what endpoints say of themselves, and tells the other routers.

    Parameters
    ----------
    fleet : Fleet
        The routers.
    knowledge : Knowledge
        Where it is kept that an endpoint leaves.
    rests : Rests
        Where it is kept that an endpoint wants nothing from this router for a while;
        others may go on.
    """

    def __init__(self, fleet: Fleet, knowledge: Knowledge, rests: Rests) -> None:
        self.fleet = fleet
        self.knowledge = knowledge
        self.rests = rests
        self.loop = asyncio.get_running_loop()
        #: When each peer was last told everything.
        self.evened_out: dict[RouterId, float] = {}

    @property
    def checksum(self) -> int:
        """Return a number that is equal where the same is known, 0 for nothing."""
        said = self.knowledge.endpoints.said_leaving()
        if not said:
            return 0
        # 31 bits: a message holds it in five bytes.
        return xxhash.xxh3_64_intdigest("\n".join(said).encode()) >> 33 or 1

    def heard(self, endpoint: Endpoint, answered: Answered, sent_at: float) -> None:
        """Take what the head of an endpoint's answer says of the endpoint.

        Parameters
        ----------
        sent_at : float
            Loop time at which the request was sent that it answers.
        """
        if answered.leaving and self.knowledge.take_leaving(endpoint.id):
            self.fleet.send_to_all(LeavingMessage([endpoint.id]))
        if not answered.rest:
            self.rests.answered(endpoint.id, sent_at)
            return
        self.rests.ask(endpoint.id, answered.rest, self.loop.time())
        extra = {"endpoint": endpoint.id, "rest_s": answered.rest}
        logger.info("endpoint asks for rest", extra=extra)

    async def keep_telling(self) -> None:
        """Tell for ever how much is known, while that is anything."""
        while True:
            await asyncio.sleep(DIGEST_INTERVAL)
            checksum = self.checksum
            if checksum:
                self.fleet.send_to_all(LeavingDigest(checksum))

    def take(self, datagram: Datagram) -> None:
        """Take the messages of a peer."""
        for message in datagram.messages:
            self._take(message, datagram.sender)

    @singledispatchmethod
    def _take(self, message: Message, sender: RouterId) -> None:
        """Take one message; most are not on endpoints that leave."""

    @_take.register
    def _(self, message: LeavingMessage, sender: RouterId) -> None:
        known = self.knowledge
        news = [x for x in message.endpoints if known.take_leaving(x, sender)]
        if news:
            for router in self.fleet.passed_on_to(sender):
                self.fleet.send(router, LeavingMessage(news))

    @_take.register
    def _(self, message: LeavingDigest, sender: RouterId) -> None:
        checksum = self.checksum
        if message.checksum == checksum:
            return
        now = self.loop.time()
        if now - self.evened_out.get(sender, -EVEN_OUT_INTERVAL) < EVEN_OUT_INTERVAL:
            return
        self.evened_out[sender] = now
        self._tell_all_to(sender)
        if message.checksum:
            # The sender knows something that this router lacks, or lacks something.
            self.fleet.send(sender, LeavingDigest(checksum))

    def _tell_all_to(self, router: RouterId) -> None:
        said = self.knowledge.endpoints.said_leaving()
        for start in range(0, len(said), NAMED_IN_ONE):
            part = said[start : start + NAMED_IN_ONE]
            self.fleet.send(router, LeavingMessage(part))
