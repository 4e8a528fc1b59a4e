"""What a router knows from the store, whoever told it.

A version in force is never replaced by an older one.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import logbook
import msgspec

from carawayfold.protocol.sources import Evacuation
from carawayfold.state.endpoints import Endpoint, EndpointTable
from carawayfold.state.evacuations import EvacuationSnapshot, EvacuationTable
from carawayfold.state.ids import DataCentreId, EndpointName, Position
from carawayfold.state.positions import era_of, offset_of
from carawayfold.state.routes import InForce

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.protocol.sources import Page, Registered, SourceError
    from carawayfold.state.ids import EndpointId, RouterId
    from carawayfold.state.routes import RouteTable

logger = logbook.Logger(__name__)

#: Seconds after the store came back from a copy in which endpoints that had gone before
#: may still be listed: their leases run out within a few heartbeats.
COPY_GRACE = 10.0
#: Seconds since all was known from which on the store counts as away: above the longest
#: read that waits, and below the silence after which a lease runs out.
OUTAGE_AGE = 2.3
#: Seconds within which routers find that a store which was away is back: the longest
#: pause between calls that fail, and a call.
RETURN_SPREAD = 1.5


class EndpointSnapshot(msgspec.Struct):
    """Endpoints as one router knows them, for another one.

    Attributes
    ----------
    lapsed : dict
        Seconds until it drops each endpoint whose entry has vanished in an outage.
    warming : dict
        Seconds for which each endpoint that warms up still does.
    """

    offset: Position
    endpoints: list[Endpoint]
    lapsed: dict[EndpointName, float] = {}
    warming: dict[EndpointName, float] = {}


class StoreHealth(msgspec.Struct):
    """How the store answers this router.

    Attributes
    ----------
    answered : float
        Loop time of its last answer.
    registrations : float
        Loop time of its last answer that told all registrations.
    operators : float
        Loop time of its last answer that told all of the operators' words.
    reachable : bool
        Whether the last call was answered.
    """

    answered: float = 0.0
    registrations: float = 0.0
    operators: float = 0.0
    reachable: bool = True


class Knowledge:
    """What this router knows from the store, and its age.

    Parameters
    ----------
    on_routes : callable
        Called with each newer configuration.
    on_endpoints : callable
        Called when the endpoints have changed.
    on_store : callable
        Called when the store begins to answer this router, or no longer does.
    age : callable, optional
        Returns the seconds since this router knew all registrations, by itself or by
        way of peers.
    on_copy : callable
        Called when the store has come back from a copy without what was written lately.
    """

    def __init__(
        self,
        on_routes: Callable[[RouteTable], None],
        on_endpoints: Callable[[], None],
        on_store: Callable[[], None] = lambda: None,
        on_copy: Callable[[], None] = lambda: None,
        age: Callable[[], float] | None = None,
    ) -> None:
        self.on_routes = on_routes
        self.on_endpoints = on_endpoints
        self.on_store = on_store
        self.on_copy = on_copy
        self.age = age or self._own_age
        self.loop = asyncio.get_running_loop()
        self.routes: RouteTable | None = None
        self.endpoints = EndpointTable()
        self.evacuations = EvacuationTable()
        self.listed = False
        #: Loop time at which the store was last found to be away for all.
        self.away_at = float("-inf")
        #: Loop time until which lists may come from a copy that holds what is gone.
        self.copied_until = float("-inf")
        now = self.loop.time()
        self.store = StoreHealth(answered=now, registrations=now, operators=now)
        #: How the configuration in force came to be so; None until there is one.
        self.in_force: InForce | None = None

    def _own_age(self) -> float:
        return self.loop.time() - self.store.registrations

    @property
    def version(self) -> int:
        """Return the version of the configuration in force, 0 for none."""
        return self.routes.version if self.routes is not None else 0

    @property
    def complete(self) -> bool:
        """Return whether requests can be forwarded."""
        return self.routes is not None and self.listed and self.evacuations.known

    def note_answer(self) -> None:
        """Note that the store answered."""
        now = self.loop.time()
        if not self.store.reachable:
            self.store.reachable = True
            self._note_outage(now)
            outage = round(now - self.store.answered, 2)
            logger.info("store reachable again", extra={"after_s": outage})
            self.on_store()
        self.store.answered = now

    def note_registrations(self) -> None:
        """Note that the store told all registrations that this router lacked."""
        self.note_answer()
        self.store.registrations = self.store.answered

    def note_operators(self) -> None:
        """Note that the store told all of the operators' words."""
        self.note_answer()
        self.store.operators = self.store.answered

    def operators_age(self) -> float:
        """Return the seconds since the store told this router the operators' words."""
        return self.loop.time() - self.store.operators

    def note_failure(self, error: SourceError) -> None:
        """Note that the store did not answer, or refused."""
        self._note_outage(self.loop.time())
        if self.store.reachable:
            self.store.reachable = False
            logger.warning("store unreachable", extra={"reason": str(error)})
            self.on_store()

    def _note_outage(self, now: float) -> None:
        """Take the store for away unless it has told somebody all the while.

        No lease runs out because the store refuses this router alone, so an entry that
        vanishes then has left.
        """
        if self.age() > OUTAGE_AGE:
            self.away_at = now
        if now - self.away_at < RETURN_SPREAD:
            self.endpoints.note_outage(now)

    def take_routes(self, table: RouteTable, source: str) -> None:
        """Put a configuration in force unless it is older than the one in force."""
        if table.version <= self.version:
            return
        extra = {
            "version": table.version,
            "before": self.version,
            "source": source,
            "age_ms": round(self.operators_age() * 1000),
        }
        self.routes = table
        self.in_force = InForce(table.version, source, self.loop.time())
        logger.info("configuration in force", extra=extra)
        self.on_routes(table)

    def take_operators(
        self, page: Page[RouteTable | Evacuation], listed: bool = False
    ) -> None:
        """Take the operators' words that the store told, or the list of all."""
        words: dict[DataCentreId, bool] = {}
        for item in page.items:
            if isinstance(item, Evacuation):
                words[item.data_centre] = item.active
            else:
                self.take_routes(item, "store")
        before = self.evacuations.active
        if listed:
            active = [name for name, evacuated in words.items() if evacuated]
            now = self.loop.time()
            changed = self.evacuations.listed(active, page.next, now)
        else:
            changed = self.evacuations.read(words, page.next)
        if changed:
            self._evacuations_changed(before, "store")

    def take_evacuations(self, snapshot: EvacuationSnapshot, source: RouterId) -> None:
        """Take a peer's list of evacuated data centres if it knows later changes."""
        before = self.evacuations.active
        if self.evacuations.told(snapshot, self.loop.time()):
            self._evacuations_changed(before, source)

    def _evacuations_changed(self, before: set[DataCentreId], source: str) -> None:
        active = self.evacuations.active
        for name in sorted(active - before):
            places = self.endpoints.entries.values()
            count = sum(endpoint.data_centre == name for endpoint in places)
            extra = {"data_centre": name, "source": source, "endpoints": count}
            logger.info("data centre evacuated", extra=extra)
        for name in sorted(before - active):
            extra = {"data_centre": name, "source": source}
            logger.info("evacuation over", extra=extra)
        self.on_endpoints()

    def take_registered(self, page: Page[Registered]) -> None:
        """Apply registrations that were read from the store.

        Records that a peer's list already held are passed over: an earlier one would
        bring back what a later one has ended.
        """
        now = self.loop.time()
        known = self.endpoints.offset - page.next + len(page.items)
        changed = False
        for item in page.items[max(0, known) :]:
            changed |= self._apply(item, now, page.next)
        self.endpoints.offset = max(self.endpoints.offset, page.next)
        self._settle(changed, now)

    def take_listed(self, page: Page[Registered]) -> None:
        """Take the complete list of registrations unless more is known."""
        if self.listed and page.next < self.endpoints.offset:
            return
        now = self.loop.time()
        listed = [item.endpoint for item in page.items if item.endpoint is not None]
        self._replace_all(listed, now, "store", page.next)
        self.endpoints.offset = max(self.endpoints.offset, page.next)
        self.listed = True
        self._settle(True, now)

    def take_snapshot(self, snapshot: EndpointSnapshot, source: RouterId) -> None:
        """Take a peer's list of endpoints if it has read further."""
        if snapshot.offset <= self.endpoints.offset:
            return
        logger.info(
            "endpoints from a peer",
            extra={"peer": source, "offset": offset_of(snapshot.offset)},
        )
        now = self.loop.time()
        # A peer that the store answers knows what has lapsed and what has left.
        self.endpoints.outage_end = float("-inf")
        endpoints = [
            msgspec.structs.replace(
                endpoint, warm_at=now + snapshot.warming[endpoint.name]
            )
            if endpoint.name in snapshot.warming
            else endpoint
            for endpoint in snapshot.endpoints
        ]
        self._replace_all(endpoints, now, source, snapshot.offset)
        self.endpoints.offset = snapshot.offset
        # The peer drops them without a new offset, so they lapse here by themselves.
        for name, left in snapshot.lapsed.items():
            self.endpoints.lapsed[name] = now + left
        self.listed = True
        self._settle(True, now)

    def take_leaving(self, endpoint: EndpointId, peer: RouterId | None = None) -> bool:
        """Take that an endpoint said that it leaves; return whether to tell others.

        Parameters
        ----------
        peer : RouterId or None
            The router that told so; None for an answer to this one.
        """
        known = self.endpoints.registered(endpoint)
        now = self.loop.time()
        if not self.endpoints.announce(endpoint, now, by_peer=peer is not None):
            return False
        logger.info(
            "endpoint says that it leaves",
            extra={
                "endpoint": endpoint,
                "source": peer or "answer",
                "known_to_leave": known is not None and known.leaving,
            },
        )
        if known is not None and not known.leaving:
            self.on_endpoints()
        return True

    def snapshot(self) -> EndpointSnapshot:
        """Return the endpoints for a peer, without times of this process's clock."""
        entries = self.endpoints.entries.values()
        known = [msgspec.structs.replace(endpoint, warm_at=0.0) for endpoint in entries]
        now = self.loop.time()
        lapsed = {name: until - now for name, until in self.endpoints.lapsed.items()}
        warming = {
            endpoint.name: endpoint.warm_at - now
            for endpoint in entries
            if endpoint.is_warming(now)
        }
        return EndpointSnapshot(self.endpoints.offset, known, lapsed, warming)

    def expire(self) -> None:
        """Drop what a store that was away has not confirmed."""
        before = self.evacuations.active
        if self.evacuations.expire(self.loop.time()):
            self._evacuations_changed(before, "store")
        gone = self.endpoints.expire(self.loop.time())
        for endpoint in gone:
            extra = {"endpoint": endpoint, "lapsed": True}
            logger.info("endpoint gone", extra=extra)
        if gone:
            self.on_endpoints()

    def _replace_all(
        self, endpoints: list[Endpoint], now: float, source: str, offset: Position
    ) -> None:
        """Take a complete list, and log whose state it changes."""
        before = dict(self.endpoints.entries)
        if self.listed and era_of(offset) > era_of(self.endpoints.offset):
            self.copied_until = now + COPY_GRACE
            extra = {"era": era_of(offset), "offset": offset_of(offset)}
            logger.warning("store came back from a copy", extra=extra)
            self.on_copy()
        if now < self.copied_until:
            endpoints = self.endpoints.without_departed(endpoints, now)
        self.endpoints.replace_all(endpoints, now, listed_by_store=source == "store")
        for name, known in self.endpoints.entries.items():
            old = before.get(name)
            if old is None or old.leaving is not known.leaving:
                self._log_registered(known, old is None, source, offset)
        for name in before.keys() - self.endpoints.entries.keys():
            extra = {"endpoint": name, "source": source, "offset": offset_of(offset)}
            logger.info("endpoint gone", extra=extra)

    def _log_registered(
        self, endpoint: Endpoint, new: bool, source: str, offset: Position
    ) -> None:
        logger.info(
            "endpoint registered",
            extra={
                "endpoint": endpoint.name,
                "service": endpoint.service,
                "leaving": endpoint.leaving,
                "warm_in_ms": round(endpoint.warm_up * 1000),
                "incarnation": endpoint.incarnation,
                "new": new,
                "source": source,
                "offset": offset_of(offset),
            },
        )

    def _apply(self, item: Registered, now: float, offset: Position) -> bool:
        known = self.endpoints.entries.get(item.name)
        if item.endpoint is None:
            dropped = self.endpoints.remove(item.name, now)
            if dropped:
                extra = {
                    "endpoint": item.name,
                    "source": "store",
                    "offset": offset_of(offset),
                }
                logger.info("endpoint gone", extra=extra)
            return dropped
        changed = self.endpoints.put(item.endpoint, now)
        if changed:
            self._log_registered(item.endpoint, known is None, "store", offset)
        return changed

    def _settle(self, changed: bool, now: float) -> None:
        if self.endpoints.expire(now) or changed:
            self.on_endpoints()
