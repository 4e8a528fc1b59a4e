"""Keeps streams at the software version that began them.

A caller may resume a stream at any router, also after the one that began it has ended.
While endpoints of several versions serve, each router therefore reports the streams
that it begins to two others before their first event leaves, and the router to which
the caller returns queries them. A report is not needed where a single version has
served for a while; that alone shows where a stream began. A router that can't tell
says so, and the request is refused.
"""

from __future__ import annotations

import asyncio
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.fleet.membership import rank
from carawayfold.coordination.knowledge.knowledge import MIN_OUTAGE_AGE
from carawayfold.protocol.datagrams import (
    OriginQueryMessage,
    OriginReplyMessage,
    StreamBegunMessage,
)
from carawayfold.state.ids import RouterId
from carawayfold.state.positions import offset_of
from carawayfold.state.routes import RouteKind
from carawayfold.state.software_history import SERVING_WINDOW
from carawayfold.state.stream_origins import (
    Evidence,
    Finding,
    Origin,
    OriginSource,
    StreamRecord,
    StreamTable,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.coordination.knowledge.knowledge import Knowledge
    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.state.ids import RouteId, ServiceId, StreamId
    from carawayfold.state.routes import Route, RouteTable

#: Seconds between two checks whether a single origin is still certain.
REFRESH_INTERVAL = 0.5
#: Seconds for which a query is answered by peers at the most. A round trip between data
#: centres takes under 3 ms, and a busy router some 10 ms more.
QUERY_TIMEOUT = 0.06
#: Seconds after which an unanswered query is sent again.
QUERY_RETRY_INTERVAL = 0.02
#: Peers that are queried: the first ones in rank, and the first ones of the own data
#: centre. A stream is reported to the first ones only, but routers that have failed or
#: started again since then change the ranks.
MAX_CANDIDATES = 6
MAX_LOCAL_CANDIDATES = 2


class Query(msgspec.Struct, eq=False):
    """A query that peers have not answered yet.

    Attributes
    ----------
    waiting : set of RouterId
        Peers whose reply is missing.
    replies : dict
        Replies by peer.
    answered : asyncio.Future
        Resolved when a peer has a record, or all have replied.
    queried : list of RouterId
        All peers that are queried.
    """

    waiting: set[RouterId]
    answered: asyncio.Future[None]
    queried: list[RouterId]
    replies: dict[RouterId, OriginReplyMessage] = msgspec.field(default_factory=dict)


class StreamOrigins:
    """Where the streams of this router and those reported to it began.

    Parameters
    ----------
    fleet : Fleet
        The routers.
    knowledge : Knowledge
        Registered endpoints and routes, and the versions that served lately.
    registrations_age : callable
        Returns the age in seconds of the registrations.

    Attributes
    ----------
    own : StreamTable
        Streams that this router began or resumed and that are not complete.
    reported : StreamTable
        Streams that other routers have reported.
    sole : dict
        The single origin at which streams of a route can have begun, for those routes
        for which it is certain.
    """

    def __init__(
        self,
        fleet: Fleet,
        knowledge: Knowledge,
        registrations_age: Callable[[], float],
    ) -> None:
        self.fleet = fleet
        self.knowledge = knowledge
        self.registrations_age = registrations_age
        self.loop = asyncio.get_running_loop()
        self.own = StreamTable()
        self.reported = StreamTable()
        self.sole: dict[RouteId, Origin] = {}
        #: Loop time at which the services of a route were last seen to change.
        self.services_changed_at: dict[RouteId, float] = {}
        #: Services of each route at the last refresh.
        self.services: dict[RouteId, frozenset[ServiceId]] = {}
        self.queries: dict[StreamId, Query] = {}
        #: Incarnation of each router to which streams were reported.
        self.incarnations: dict[RouterId, int] = {}

    # Streams of this router

    def begun(
        self, stream: StreamId, route: RouteId, origin: Origin, expires_at: float
    ) -> None:
        """Record where a stream began, before its first event is forwarded."""
        self.own.put(stream, route, origin, expires_at)
        if self.sole.get(route) != origin:
            self._report(stream, StreamRecord(route, origin, expires_at))

    def completed(self, stream: StreamId) -> None:
        """Drop the record of a stream whose caller has it whole."""
        self.own.remove(stream)

    def _report(self, stream: StreamId, record: StreamRecord) -> None:
        if record.origin is None:
            return
        message = StreamBegunMessage(
            stream,
            record.route,
            record.origin.service,
            record.origin.software,
            max(0, round((record.expires_at - self.loop.time()) * 1000)),
        )
        # Sent at once: in a batch, it would delay offers to the same router.
        self.fleet.send_at_once(self._holders(stream), message)

    # Certainty of a single origin

    async def refresh_periodically(self) -> None:
        """Refresh certainty and drop expired records, until cancelled."""
        while True:
            await asyncio.sleep(REFRESH_INTERVAL)
            now = self.loop.time()
            for table in (self.own, self.reported):
                table.expire(now)
            self.knowledge.endpoints.software.expire(now)
            self.refresh()

    def refresh(self) -> None:
        """Determine for which routes a single origin is certain.

        Where it no longer is, the streams in flight are reported.
        """
        table = self.knowledge.routes
        if table is None:
            return
        self._note_services(table)
        before = self.sole
        self.sole = self._find_sole(table)
        lost = {route for route in before if self.sole.get(route) != before[route]}
        if lost:
            for stream, record in list(self.own.records.items()):
                if record.route in lost:
                    self._report(stream, record)

    def _note_services(self, table: RouteTable) -> None:
        now = self.loop.time()
        known = self.services
        self.services = {
            route.id: frozenset(item.service for item in route.services)
            for route in table.routes
        }
        if not known:
            return
        for route, services in self.services.items():
            if known.get(route) != services:
                self.services_changed_at[route] = now
        for route in self.services_changed_at.keys() - self.services.keys():
            del self.services_changed_at[route]

    def _find_sole(self, table: RouteTable) -> dict[RouteId, Origin]:
        now = self.loop.time()
        endpoints = self.knowledge.endpoints
        if not endpoints.software.is_complete(now):
            return {}
        if self.registrations_age() > MIN_OUTAGE_AGE:
            return {}
        software: dict[ServiceId, Origin | None] = {}
        sole = {}
        for route in table.routes:
            if route.kind is not RouteKind.STREAMING or len(route.services) != 1:
                continue
            changed_at = self.services_changed_at.get(route.id)
            if changed_at is not None and now - changed_at < SERVING_WINDOW:
                continue
            service = route.services[0].service
            if service not in software:
                versions = endpoints.software_of(service, now)
                only = len(versions) == 1
                software[service] = Origin(service, *versions) if only else None
            origin = software[service]
            if origin is not None:
                sole[route.id] = origin
        return sole

    def fleet_changed(self) -> None:
        """Report this router's streams again to routers that have started again."""
        members = self.fleet.membership.members.values()
        incarnations = {item.router: item.incarnation for item in members}
        restarted = {
            router
            for router, incarnation in incarnations.items()
            if self.incarnations.get(router) not in (None, incarnation)
        }
        self.incarnations |= incarnations
        if not restarted:
            return
        for stream, record in list(self.own.records.items()):
            certain = self.sole.get(record.route) == record.origin
            if not certain and restarted & set(self._holders(stream)):
                self._report(stream, record)

    # Routers that hold the records

    def _ranked(self, stream: StreamId) -> list[Member]:
        own = self.fleet.own
        return rank(stream, [item for item in self.fleet.hubs() if item is not own])

    def _holders(self, stream: StreamId) -> list[RouterId]:
        """Return the routers to which a stream is reported: one here, one elsewhere."""
        place = self.fleet.own.data_centre
        ranked = self._ranked(stream)
        local = [item for item in ranked if item.data_centre == place]
        remote = [item for item in ranked if item.data_centre != place]
        return [item.router for item in (*local[:1], *remote[:1])]

    def _candidates(self, stream: StreamId) -> list[RouterId]:
        """Return the routers to which any router may have reported a stream.

        The first one in another data centre is included, as the first ones in rank may
        be in that of the reporting router.
        """
        place = self.fleet.own.data_centre
        ranked = self._ranked(stream)
        remote = [item for item in ranked if item.data_centre != place]
        local = [item for item in ranked if item.data_centre == place]
        first = ranked[:MAX_CANDIDATES]
        chosen = [*first, *remote[:1], *local[:MAX_LOCAL_CANDIDATES]]
        return list(dict.fromkeys(item.router for item in chosen))

    # Streams that callers resume

    async def find(self, stream: StreamId, route: Route) -> Finding:
        """Return where a stream began, if that is certain, and how that is known.

        Parameters
        ----------
        stream : StreamId
            The stream.
        route : Route
            Route on which its caller has returned.
        """
        for table, source in (
            (self.own, OriginSource.OWN_RECORD),
            (self.reported, OriginSource.REPORTED_RECORD),
        ):
            record = table.find(stream)
            if record is not None:
                return Finding(record.origin, source)
        query = await self._query(stream, route.id)
        finding = self._judge(list(query.replies.values()), route)
        finding.queried = sorted(query.queried)
        finding.replies = {
            router: Evidence.parse(reply.evidence)
            for router, reply in sorted(query.replies.items())
        }
        return finding

    def _judge(self, replies: list[OriginReplyMessage], route: Route) -> Finding:
        """Return what the replies of the peers and the sole origin tell."""
        recorded = {
            self._origin(item)
            for item in replies
            if item.evidence == Evidence.RECORDED.value
        }
        conflicting = Evidence.CONFLICTING.value in {item.evidence for item in replies}
        if conflicting or len(recorded) > 1:
            return Finding(None, OriginSource.PEER_RECORD)
        if recorded:
            return Finding(recorded.pop(), OriginSource.PEER_RECORD)
        sole = self.sole.get(route.id)
        if sole is not None:
            return Finding(sole, OriginSource.SOLE)
        sole = self._sole_by_peers(route, replies)
        return Finding(sole, OriginSource.PEER_SOLE) if sole else Finding()

    def describe(self, route: Route) -> dict[str, object]:
        """Return fields of a log line: how old the facts about a route's origin are."""
        now = self.loop.time()
        endpoints = self.knowledge.endpoints
        changed_at = self.services_changed_at.get(route.id)
        history = max(0.0, now - endpoints.software.complete_since)
        return {
            "versions": {
                item.service: sorted(endpoints.software_of(item.service, now))
                for item in route.services
            },
            "registrations_age_ms": round(self.registrations_age() * 1000, 1),
            "registrations_offset": offset_of(endpoints.offset),
            "operators_age_ms": round(self.knowledge.operators_age() * 1000, 1),
            "history_s": round(history, 1),
            "services_unchanged_s": (
                round(now - changed_at, 1) if changed_at is not None else None
            ),
        }

    def _origin(self, reply: OriginReplyMessage) -> Origin:
        return Origin(reply.service, reply.software)

    def _sole_by_peers(
        self, route: Route, replies: Iterable[OriginReplyMessage]
    ) -> Origin | None:
        """Return the single origin that peers are certain of.

        This router may know less than they do, for example after its start, but must
        not know of another version or service.
        """
        sole = {
            self._origin(item)
            for item in replies
            if item.evidence == Evidence.SOLE.value
        }
        if len(sole) != 1 or len(route.services) != 1:
            return None
        origin = sole.pop()
        now = self.loop.time()
        service = route.services[0].service
        versions = self.knowledge.endpoints.software_of(service, now)
        possible = {Origin(service, software) for software in versions}
        return origin if possible <= {origin} else None

    async def _query(self, stream: StreamId, route: RouteId) -> Query:
        """Query the routers that may have a record of a stream."""
        query = self.queries.get(stream)
        if query is None:
            candidates = self._candidates(stream)
            query = Query(set(candidates), self.loop.create_future(), candidates)
            if not candidates:
                return query
            self.queries[stream] = query
        message = OriginQueryMessage(stream, route)
        end = self.loop.time() + QUERY_TIMEOUT
        try:
            while not query.answered.done() and self.loop.time() < end:
                for router in sorted(query.waiting):
                    self.fleet.send(router, message)
                await asyncio.wait({query.answered}, timeout=QUERY_RETRY_INTERVAL)
        finally:
            if self.queries.get(stream) is query:
                del self.queries[stream]
        return query

    # Messages of peers

    def take(self, datagram: Datagram) -> None:
        """Handle the messages of a peer."""
        for message in datagram.messages:
            self._process(message, datagram.sender)

    @singledispatchmethod
    def _process(self, message: Message, sender: RouterId) -> None:
        """Handle one message; those of other modules are ignored."""

    @_process.register
    def _(self, message: StreamBegunMessage, sender: RouterId) -> None:
        origin = Origin(message.service, message.software)
        expires_at = self.loop.time() + message.expires / 1000
        self.reported.put(message.stream, message.route, origin, expires_at)

    @_process.register
    def _(self, message: OriginQueryMessage, sender: RouterId) -> None:
        evidence, origin = Evidence.NONE, self.sole.get(message.route)
        if origin is not None:
            evidence = Evidence.SOLE
        for table in (self.reported, self.own):
            record = table.find(message.stream)
            if record is not None:
                evidence, origin = record.evidence, record.origin
        service = origin.service if origin is not None else None
        software = origin.software if origin is not None else None
        reply = OriginReplyMessage(message.stream, evidence.value, service, software)
        self.fleet.send(sender, reply)

    @_process.register
    def _(self, message: OriginReplyMessage, sender: RouterId) -> None:
        query = self.queries.get(message.stream)
        if query is None or sender not in query.waiting:
            return
        query.waiting.discard(sender)
        query.replies[sender] = message
        recorded = message.evidence == Evidence.RECORDED.value
        if (recorded or not query.waiting) and not query.answered.done():
            query.answered.set_result(None)
