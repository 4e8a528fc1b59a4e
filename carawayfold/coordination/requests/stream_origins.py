"""Where streams began, so that a resumed stream goes on at the same software version.

A caller may resume a stream at any router, also after the one that began it has ended.
Each router therefore reports the streams that it begins to two others before their
first event leaves, and the router to which the caller returns queries them. In a large
fleet that is not done where a single version has served for a while: that alone shows
where a stream began, as long as the router, or a peer, proves that nothing has changed
since; see `sole_origins`. A router that has neither a record nor a proof says so, and
the request is refused.
"""

from __future__ import annotations

import asyncio
import contextlib
from functools import singledispatchmethod
from typing import TYPE_CHECKING

import msgspec

from carawayfold.coordination.fleet.hubs import Role
from carawayfold.coordination.fleet.membership import rank
from carawayfold.coordination.knowledge.knowledge import MIN_OUTAGE_AGE
from carawayfold.coordination.requests.sole_origins import SoleOrigins
from carawayfold.protocol.datagrams import (
    OriginQueryMessage,
    OriginReplyMessage,
    StreamBegunMessage,
)
from carawayfold.state.ids import RouterId
from carawayfold.state.positions import offset_of
from carawayfold.state.routes import RouteKind
from carawayfold.state.stream_origins import (
    Evidence,
    Finding,
    Origin,
    OriginSource,
    Proof,
    ProofFailure,
    StreamRecord,
    StreamTable,
)

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine, Iterator

    from carawayfold.coordination.fleet.fleet import Fleet
    from carawayfold.coordination.fleet.membership import Member
    from carawayfold.coordination.knowledge.knowledge import Knowledge
    from carawayfold.protocol.datagrams import Datagram, Message
    from carawayfold.state.ids import RouteId, StreamId
    from carawayfold.state.routes import Route

#: Seconds between two checks which routes seem to have a single origin.
REFRESH_INTERVAL = 0.5
#: Seconds for which replies to a query are awaited. A round trip between data centres
#: takes under 3 ms, but a busy router replies late, and a refusal in vain costs the
#: caller more than the wait.
QUERY_TIMEOUT = 0.2
#: The same while this router has proved the origin itself.
PROVED_QUERY_TIMEOUT = 0.03
#: Seconds after which an unanswered query is sent again.
QUERY_RETRY_INTERVAL = 0.02
#: The same for queries before whose reply peers read the store.
PROOF_TIMEOUT = 0.3
PROOF_RETRY_INTERVAL = 0.1
#: Peers that are queried: the first ones in rank, and the first ones of the own data
#: centre. A stream is reported to the first ones only, but routers that have failed or
#: started again since then change the ranks.
MAX_CANDIDATES = 6
MAX_LOCAL_CANDIDATES = 2
#: Evidence that makes the replies of further peers unnecessary.
SUFFICIENT_EVIDENCE = frozenset({Evidence.RECORDED, Evidence.PROVED})
#: Evidence that does not answer a query, by whether that asks for proofs.
UNRELATED_EVIDENCE = {
    False: frozenset({Evidence.PROVED, Evidence.UNPROVED}),
    True: frozenset({Evidence.NONE}),
}

#: Proof for a route that is not in the configuration.
NO_PROOF = Proof(None, ProofFailure.NOT_SOLE)


class Query(msgspec.Struct, eq=False):
    """A query that peers have not answered yet.

    Attributes
    ----------
    prove : bool
        Whether peers without a record prove a sole origin.
    waiting : set of RouterId
        Peers whose reply is missing.
    answered : asyncio.Future
        Resolved when a reply suffices, or all peers have replied.
    queried : list of RouterId
        All peers that are queried.
    replies : dict
        Replies by peer.
    """

    prove: bool
    waiting: set[RouterId]
    answered: asyncio.Future[None]
    queried: list[RouterId]
    replies: dict[RouterId, OriginReplyMessage] = msgspec.field(default_factory=dict)

    def take(self, sender: RouterId, reply: OriginReplyMessage) -> None:
        """Add a reply, unless it is one to another query of the same stream."""
        evidence = Evidence.parse(reply.evidence)
        if sender not in self.waiting or evidence in UNRELATED_EVIDENCE[self.prove]:
            return
        self.waiting.discard(sender)
        self.replies[sender] = reply
        suffices = evidence in SUFFICIENT_EVIDENCE
        if (suffices or not self.waiting) and not self.answered.done():
            self.answered.set_result(None)

    def origins(self, evidence: Evidence) -> set[Origin]:
        """Return the origins that were replied with some evidence."""
        return {
            Origin(reply.service, reply.software)
            for reply in self.replies.values()
            if Evidence.parse(reply.evidence) is evidence
        }


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
    confirm : callable
        Returns whether all records that were in the store before the call are known.
    spawn : callable
        Runs a coroutine as a task of the router.

    Attributes
    ----------
    own : StreamTable
        Streams that this router began or resumed, until their callers have given up.
    reported : StreamTable
        Streams that other routers have reported.
    sole : dict
        The single origin of the streams of a route, for those routes that seem to have
        only one. In a large fleet, their streams are not reported.
    """

    def __init__(
        self,
        fleet: Fleet,
        knowledge: Knowledge,
        registrations_age: Callable[[], float],
        confirm: Callable[[], Awaitable[bool]],
        spawn: Callable[[Coroutine[None, None, None]], object],
    ) -> None:
        self.fleet = fleet
        self.knowledge = knowledge
        self.registrations_age = registrations_age
        self.spawn = spawn
        self.sole_origins = SoleOrigins(knowledge, confirm)
        self.loop = asyncio.get_running_loop()
        self.own = StreamTable()
        self.reported = StreamTable()
        self.sole: dict[RouteId, Origin] = {}
        #: Queries in flight, by stream.
        self.queries: dict[StreamId, list[Query]] = {}
        #: Streams of whose route an origin is being proved for a peer.
        self.proving: set[tuple[RouterId, StreamId]] = set()
        #: Incarnation of each router that may have received reports.
        self.incarnations: dict[RouterId, int] = {}

    # Streams of this router

    def begun(
        self, stream: StreamId, route: RouteId, origin: Origin, expires_at: float
    ) -> None:
        """Record where a stream began, before its first event is forwarded."""
        self.own.put(stream, route, origin, expires_at)
        record = StreamRecord(route, origin, expires_at)
        if self._is_reported(record):
            self._report(stream, record)

    def _is_reported(self, record: StreamRecord) -> bool:
        """Return whether other routers need a record of a stream.

        In a large fleet, those of a route that seems to have a single origin are not
        reported: that would take more messages than all else between routers.
        """
        if self.fleet.role is Role.MESH:
            return True
        return self.sole.get(record.route) != record.origin

    def completed(self, stream: StreamId) -> None:
        """Record that the whole stream was sent, though its end may be lost."""
        record = self.own.find(stream)
        if record is not None:
            record.completed = True

    def _report(self, stream: StreamId, record: StreamRecord) -> None:
        if record.origin is None or record.completed:
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

    # Routes with a single origin

    async def refresh_periodically(self) -> None:
        """Refresh which streams are reported, drop expired records, until cancelled."""
        while True:
            await asyncio.sleep(REFRESH_INTERVAL)
            now = self.loop.time()
            for table in (self.own, self.reported):
                table.expire(now)
            self.knowledge.endpoints.software.expire(now)
            self.refresh()

    def refresh(self) -> None:
        """Determine which routes seem to have a single origin.

        Where one no longer does, the streams in flight are reported.
        """
        before = self.sole
        self.sole = self._find_sole()
        lost = {route for route in before if self.sole.get(route) != before[route]}
        if lost:
            for stream, record in list(self.own.records.items()):
                if record.route in lost:
                    self._report(stream, record)

    def _find_sole(self) -> dict[RouteId, Origin]:
        table = self.knowledge.routes
        if table is None or self.registrations_age() > MIN_OUTAGE_AGE:
            return {}
        streaming = [x for x in table.routes if x.kind is RouteKind.STREAMING]
        return self.sole_origins.expected_origins(streaming)

    def fleet_changed(self) -> None:
        """Report this router's streams to routers that are new or have restarted."""
        members = self.fleet.membership.members.values()
        incarnations = {item.router: item.incarnation for item in members}
        started = {
            router
            for router, incarnation in incarnations.items()
            if self.incarnations.get(router) != incarnation
        }
        self.incarnations |= incarnations
        if not started:
            return
        for stream, record in list(self.own.records.items()):
            reported = self._is_reported(record)
            if reported and started & set(self._holders(stream)):
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
        known = self._find_here(stream)
        if known is not None:
            return known
        proving = self.loop.create_task(self.sole_origins.prove(route))
        try:
            query = await self._query(stream, route.id, proved_here=proving)
            finding = self._judge(query, route)
            if finding.source is not OriginSource.NONE:
                return finding
            proof = await proving
        finally:
            proving.cancel()
        if proof.origin is not None:
            finding.origin, finding.source = proof.origin, OriginSource.SOLE
            return finding
        if proof.failure is not ProofFailure.NOT_SOLE:
            # A peer may know more of the past, or be answered by the store.
            query = await self._query(stream, route.id, prove=True)
            finding = self._judge(query, route)
        finding.failure = proof.failure
        # A peer may have reported the stream meanwhile.
        return self._find_here(stream) or finding

    def _find_here(self, stream: StreamId) -> Finding | None:
        """Return what the records of this router tell, None without one."""
        own, reported = self.own.find(stream), self.reported.find(stream)
        if own is not None and reported is not None and own.origin != reported.origin:
            return Finding(None, OriginSource.OWN_RECORD)
        if own is not None:
            return Finding(own.origin, OriginSource.OWN_RECORD)
        if reported is not None:
            return Finding(reported.origin, OriginSource.REPORTED_RECORD)
        return None

    def _judge(self, query: Query, route: Route) -> Finding:
        """Return what the replies of the peers tell."""
        replies = {
            router: Evidence.parse(reply.evidence)
            for router, reply in sorted(query.replies.items())
        }
        finding = Finding(queried=sorted(query.queried), replies=replies)
        conflicting = Evidence.CONFLICTING in replies.values()
        recorded = query.origins(Evidence.RECORDED)
        proved = query.origins(Evidence.PROVED)
        if conflicting or recorded:
            finding.source = OriginSource.PEER_RECORD
            if not conflicting and len(recorded) == 1:
                finding.origin = recorded.pop()
        elif len(proved) == 1 and self.sole_origins.allows(route, *proved):
            finding.source = OriginSource.PEER_SOLE
            finding.origin = proved.pop()
        return finding

    def describe(self, route: Route) -> dict[str, object]:
        """Return fields of a log line: how old the facts about a route's origin are."""
        now = self.loop.time()
        endpoints, history = self.knowledge.endpoints, self.knowledge.route_history
        changed_at = history.changed_at.get(route.id)
        return {
            "versions": {
                item.service: sorted(self.sole_origins.versions(item.service))
                for item in route.services
            },
            "registrations_age_ms": round(self.registrations_age() * 1000, 1),
            "registrations_offset": offset_of(endpoints.offset),
            "operators_age_ms": round(self.knowledge.operators_age() * 1000, 1),
            "window_s": round(history.window, 1),
            "history_s": round(max(0.0, now - endpoints.software.complete_since), 1),
            "routes_history_s": round(max(0.0, now - history.complete_since), 1),
            "services_unchanged_s": (
                round(now - changed_at, 1) if changed_at is not None else None
            ),
        }

    async def _query(
        self,
        stream: StreamId,
        route: RouteId,
        prove: bool = False,
        proved_here: asyncio.Future[Proof] | None = None,
    ) -> Query:
        """Query the routers that may have a record of a stream.

        Parameters
        ----------
        stream : StreamId
            The stream.
        route : RouteId
            Its route.
        prove : bool
            Whether peers without a record should prove a sole origin.
        proved_here : asyncio.Future or None
            Proof by this router; once it succeeds, replies are awaited for less time.
        """
        candidates = self._candidates(stream)
        answered = self.loop.create_future()
        query = Query(prove, set(candidates), answered, candidates)
        if not candidates:
            return query
        message = OriginQueryMessage(stream, route, prove)
        began_at = self.loop.time()
        end = began_at + (PROOF_TIMEOUT if prove else QUERY_TIMEOUT)
        interval = PROOF_RETRY_INTERVAL if prove else QUERY_RETRY_INTERVAL
        with self._replies_to(stream, query):
            while not answered.done() and self.loop.time() < end:
                if proved_here is not None and _has_succeeded(proved_here):
                    # A record outweighs a proof, but few peers have one.
                    end = min(end, began_at + PROVED_QUERY_TIMEOUT)
                for router in sorted(query.waiting):
                    self.fleet.send(router, message)
                await _wait_for_any([answered, proved_here], interval)
        return query

    @contextlib.contextmanager
    def _replies_to(self, stream: StreamId, query: Query) -> Iterator[None]:
        """Let a query receive the replies about a stream during the block."""
        queries = self.queries.setdefault(stream, [])
        queries.append(query)
        try:
            yield
        finally:
            queries.remove(query)
            if not queries:
                del self.queries[stream]

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
        for table in (self.own, self.reported):
            record = table.find(message.stream)
            if record is not None:
                self._reply(sender, message.stream, record.evidence, record.origin)
                return
        if not message.prove:
            self._reply(sender, message.stream, Evidence.NONE, None)
        elif (sender, message.stream) not in self.proving:
            self.proving.add((sender, message.stream))
            self.spawn(self._prove_for_peer(message, sender))

    async def _prove_for_peer(
        self, message: OriginQueryMessage, sender: RouterId
    ) -> None:
        """Try to prove the origin of a stream that a peer queries, and reply."""
        try:
            route = self.sole_origins.route(message.route)
            proof = await self.sole_origins.prove(route) if route else NO_PROOF
        finally:
            self.proving.discard((sender, message.stream))
        proved = proof.origin is not None
        evidence = Evidence.PROVED if proved else Evidence.UNPROVED
        self._reply(sender, message.stream, evidence, proof.origin)

    def _reply(
        self,
        router: RouterId,
        stream: StreamId,
        evidence: Evidence,
        origin: Origin | None,
    ) -> None:
        service = origin.service if origin is not None else None
        software = origin.software if origin is not None else None
        reply = OriginReplyMessage(stream, evidence.value, service, software)
        self.fleet.send(router, reply)

    @_process.register
    def _(self, message: OriginReplyMessage, sender: RouterId) -> None:
        for query in self.queries.get(message.stream, ()):
            query.take(sender, message)


async def _wait_for_any(futures: list[asyncio.Future | None], most: float) -> None:
    """Wait until one more of some futures is done, for so many seconds at most."""
    left = {item for item in futures if item is not None and not item.done()}
    await asyncio.wait(left, timeout=most, return_when=asyncio.FIRST_COMPLETED)


def _has_succeeded(proving: asyncio.Future[Proof]) -> bool:
    return proving.done() and proving.result().origin is not None
