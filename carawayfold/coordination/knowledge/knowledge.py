"""Records of the store that a router has, whether from the store or from a peer.

A configuration in force is never replaced by one of an older version.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Annotated

import logbook
import msgspec

from carawayfold.checked import DURATION, ORDINAL, SECONDS
from carawayfold.protocol.sources import Evacuation
from carawayfold.state.endpoints import Endpoint, EndpointTable
from carawayfold.state.evacuations import EvacuationSnapshot, EvacuationTable
from carawayfold.state.ids import DataCentreId, EndpointName, Position
from carawayfold.state.positions import era_of, offset_of
from carawayfold.state.progress import is_newer
from carawayfold.state.route_history import RouteHistory
from carawayfold.state.routes import ActiveConfiguration
from carawayfold.state.software_history import SoftwareAge

if TYPE_CHECKING:
    from collections.abc import Callable

    from carawayfold.protocol.sources import EndpointChange, Page, SourceError
    from carawayfold.state.ids import ConfigurationVersion, EndpointId, RouterId
    from carawayfold.state.routes import RouteTable

logger = logbook.Logger(__name__)

#: Seconds after the store was restored from a backup during which it may still list
#: endpoints that had been removed. Their leases expire within a few heartbeats.
RESTORE_GRACE_DURATION = 10.0
#: Age in seconds of the registrations from which on the store is considered
#: unavailable: above the longest waiting read, and below the silence after which a
#: lease expires.
MIN_OUTAGE_AGE = 2.3
#: Seconds within which all routers detect that a store has recovered: the longest delay
#: between failing calls, plus a call.
RECOVERY_DETECTION_DURATION = 1.5


class EndpointSnapshot(msgspec.Struct):
    """The endpoints that one router knows, as transferred to a peer.

    Attributes
    ----------
    lapsed : dict
        Seconds until the sender drops each endpoint whose entry disappeared in an
        outage, by name.
    warming : dict
        Remaining seconds of warm-up of each endpoint that warms up, by name.
    software : list of SoftwareAge
        Software versions that served lately.
    complete_for : float
        Seconds for which the sender has known all of them.
    """

    offset: Annotated[Position, ORDINAL]
    endpoints: list[Endpoint]
    lapsed: dict[EndpointName, Annotated[float, SECONDS]] = {}
    warming: dict[EndpointName, Annotated[float, SECONDS]] = {}
    software: list[SoftwareAge] = []
    complete_for: Annotated[float, DURATION] = 0.0


class StoreHealth(msgspec.Struct):
    """Whether and when the store answered this router.

    Attributes
    ----------
    answered : float
        Loop time in seconds of its last answer.
    registrations : float
        Loop time in seconds of its last answer that completed the registrations.
    operators : float
        Loop time in seconds of its last answer that completed the operators' records:
        configurations and evacuations.
    reachable : bool
        Whether the last call was answered.
    failed : float
        Loop time in seconds of the last call that was not answered.
    """

    answered: float = 0.0
    registrations: float = 0.0
    operators: float = 0.0
    reachable: bool = True
    failed: float = float("-inf")


class Knowledge:
    """The records of the store that this router has, and their age.

    Parameters
    ----------
    on_routes : callable
        Called with each newer configuration.
    on_endpoints : callable
        Called when endpoints or evacuations have changed.
    on_store : callable
        Called when the store becomes reachable or unreachable for this router.
    age : callable, optional
        Returns the age in seconds of the registrations, which come from the store or
        from peers. By default the age of those read from the store.
    on_restore : callable
        Called when the store was restored from a backup that lacks recent records.
    """

    def __init__(
        self,
        on_routes: Callable[[RouteTable], None],
        on_endpoints: Callable[[], None],
        on_store: Callable[[], None] = lambda: None,
        on_restore: Callable[[], None] = lambda: None,
        age: Callable[[], float] | None = None,
    ) -> None:
        self.on_routes = on_routes
        self.on_endpoints = on_endpoints
        self.on_store = on_store
        self.on_restore = on_restore
        self.age = age or self._own_age
        self.loop = asyncio.get_running_loop()
        self.routes: RouteTable | None = None
        self.route_history = RouteHistory()
        self.endpoints = EndpointTable()
        self.evacuations = EvacuationTable()
        self.listed = False
        #: Loop time at which the store was last found unavailable for all routers.
        self.last_outage_at = float("-inf")
        #: Loop time until which lists of a store restored from a backup may contain
        #: removed endpoints.
        self.restored_until = float("-inf")
        now = self.loop.time()
        self.store = StoreHealth(answered=now, registrations=now, operators=now)
        #: Version, source and time of the configuration in force; None without one.
        self.in_force: ActiveConfiguration | None = None

    def _own_age(self) -> float:
        return self.loop.time() - self.store.registrations

    @property
    def version(self) -> ConfigurationVersion | None:
        """Return the version of the configuration in force, None without one."""
        return self.routes.version if self.routes is not None else None

    @property
    def registrations_position(self) -> Position | None:
        """Return the position up to which registrations are known, None if none are."""
        return self.endpoints.offset if self.listed else None

    @property
    def evacuations_position(self) -> Position | None:
        """Return the position of the last change of evacuations, None if not known."""
        return self.evacuations.changed_at if self.evacuations.known else None

    @property
    def complete(self) -> bool:
        """Return whether all records needed to forward requests are known."""
        return self.routes is not None and self.listed and self.evacuations.known

    def record_answer(self) -> None:
        """Record that the store answered."""
        now = self.loop.time()
        if not self.store.reachable:
            self.store.reachable = True
            self._note_outage(now)
            outage = round(now - self.store.answered, 2)
            logger.info("store reachable again", extra={"after_s": outage})
            self.on_store()
        self.store.answered = now

    def record_registrations_answer(self) -> None:
        """Record an answer after which the registrations are complete."""
        self.record_answer()
        self.store.registrations = self.store.answered

    def record_operators_answer(self) -> None:
        """Record an answer after which the operators' records are complete."""
        self.record_answer()
        self.store.operators = self.store.answered

    def operators_age(self) -> float:
        """Return the seconds since the store completed the operators' records here."""
        return self.loop.time() - self.store.operators

    def note_failure(self, error: SourceError) -> None:
        """Record that the store did not answer, or refused."""
        self.store.failed = self.loop.time()
        self._note_outage(self.store.failed)
        if self.store.reachable:
            self.store.reachable = False
            logger.warning("store unreachable", extra={"reason": str(error)})
            self.on_store()

    def _note_outage(self, now: float) -> None:
        """Record an outage unless the store has answered some router throughout.

        Leases do not expire if the store refuses only this router. An entry that
        disappears in that case belongs to an endpoint that has left.
        """
        if self.age() > MIN_OUTAGE_AGE:
            self.last_outage_at = now
        if now - self.last_outage_at < RECOVERY_DETECTION_DURATION:
            self.endpoints.record_outage(now)

    def apply_routes(self, table: RouteTable, source: str) -> None:
        """Put a configuration in force if it is newer than the one in force."""
        if not is_newer(table.version, self.version):
            return
        self.route_history.note_table(table, self.loop.time())
        extra = {
            "version": table.version,
            "before": self.version,
            "source": source,
            "age_ms": round(self.operators_age() * 1000),
            "key_policy": table.key_policy.value,
            "keys": len(table.organisations),
            "without_region": table.count_without_region(),
        }
        self.routes = table
        self.in_force = ActiveConfiguration(table.version, source, self.loop.time())
        logger.info("configuration in force", extra=extra)
        self.on_routes(table)

    def apply_operator_records(
        self, page: Page[RouteTable | Evacuation], listed: bool = False
    ) -> None:
        """Apply operators' records from the store, or the complete list of them."""
        states: dict[DataCentreId, bool] = {}
        for item in page.items:
            if isinstance(item, Evacuation):
                states[item.data_centre] = item.active
                continue
            if self.routes is not None and not is_newer(item.version, self.version):
                # It was in force before the one that a peer sent, here or elsewhere.
                self.route_history.note_table(item, self.loop.time())
                self.route_history.note_table(self.routes, self.loop.time())
            self.apply_routes(item, "store")
        if listed:
            # A list does not show the configurations before the newest one.
            self.route_history.note_gap(self.loop.time())
        before = self.evacuations.active
        if listed:
            active = [name for name, evacuated in states.items() if evacuated]
            now = self.loop.time()
            changed = self.evacuations.listed(active, page.next, now)
        else:
            changed = self.evacuations.read(states, page.next)
        if changed:
            self._evacuations_changed(before, "store")

    def merge_evacuations(self, snapshot: EvacuationSnapshot, source: RouterId) -> None:
        """Apply a peer's list of evacuated data centres if it has later changes."""
        before = self.evacuations.active
        if self.evacuations.apply_snapshot(snapshot, self.loop.time()):
            self._evacuations_changed(before, source)

    def _evacuations_changed(self, before: set[DataCentreId], source: str) -> None:
        active = self.evacuations.active
        for name in sorted(active - before):
            known_endpoints = self.endpoints.entries.values()
            count = sum(endpoint.data_centre == name for endpoint in known_endpoints)
            extra = {"data_centre": name, "source": source, "endpoints": count}
            logger.info("data centre evacuated", extra=extra)
        for name in sorted(before - active):
            extra = {"data_centre": name, "source": source}
            logger.info("evacuation over", extra=extra)
        self.on_endpoints()

    def apply_registrations(self, page: Page[EndpointChange]) -> None:
        """Apply registrations that were read from the store.

        Records already contained in a peer's list are skipped: an earlier record would
        restore an endpoint that a later one has removed.
        """
        now = self.loop.time()
        known = self.endpoints.offset - page.next + len(page.items)
        changed = False
        for item in page.items[max(0, known) :]:
            changed |= self._apply(item, now, page.next)
        self.endpoints.offset = max(self.endpoints.offset, page.next)
        self._notify_if_changed(changed, now)

    def apply_listing(self, page: Page[EndpointChange]) -> None:
        """Apply the complete list of registrations unless newer records are known."""
        if self.listed and page.next < self.endpoints.offset:
            return
        now = self.loop.time()
        listed = [item.endpoint for item in page.items if item.endpoint is not None]
        for item in page.items:
            if item.unreadable:
                self._apply(item, now, page.next)
        self._replace_all(listed, now, "store", page.next)
        # A list does not show what was registered and removed before it was made.
        self.endpoints.software.complete_since = now
        self.endpoints.offset = max(self.endpoints.offset, page.next)
        self.listed = True
        self._notify_if_changed(True, now)

    def merge_snapshot(self, snapshot: EndpointSnapshot, source: RouterId) -> None:
        """Apply a peer's list of endpoints if its offset is newer."""
        if not is_newer(snapshot.offset, self.registrations_position):
            return
        logger.info(
            "endpoint list taken from a peer",
            extra={"peer": source, "offset": offset_of(snapshot.offset)},
        )
        now = self.loop.time()
        # A peer with newer records distinguishes lapsed entries from removed ones.
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
        self.endpoints.software.merge(snapshot.software, snapshot.complete_for, now)
        self.endpoints.offset = snapshot.offset
        # The peer drops them without a new offset, so this router times them out too.
        for name, left in snapshot.lapsed.items():
            self.endpoints.lapsed[name] = now + left
        self.listed = True
        self._notify_if_changed(True, now)

    def record_leaving(
        self, endpoint: EndpointId, peer: RouterId | None = None
    ) -> bool:
        """Record that an endpoint leaves; return whether to notify other routers.

        Parameters
        ----------
        endpoint : EndpointId
            The endpoint.
        peer : RouterId or None
            The router that reported it; None for a response to this router.
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
        """Return the endpoints for a peer, without loop times of this process."""
        entries = self.endpoints.stored()
        known = [msgspec.structs.replace(endpoint, warm_at=0.0) for endpoint in entries]
        now = self.loop.time()
        lapsed = {name: until - now for name, until in self.endpoints.lapsed.items()}
        warming = {
            endpoint.name: endpoint.warm_at - now
            for endpoint in entries
            if endpoint.is_warming(now)
        }
        software = self.endpoints.software
        return EndpointSnapshot(
            self.endpoints.offset,
            known,
            lapsed,
            warming,
            software.ages(now),
            max(0.0, now - software.complete_since),
        )

    def expire(self) -> None:
        """Drop entries that the store has not confirmed, and accept older ones it has.

        See `EndpointTable.expire` and `EndpointTable.accept_older`.
        """
        before = self.evacuations.active
        if self.evacuations.expire(self.loop.time()):
            self._evacuations_changed(before, "store")
        expired = self.endpoints.expire(self.loop.time())
        for endpoint in expired:
            extra = {"endpoint": endpoint, "lapsed": True}
            logger.info("endpoint removed", extra=extra)
        accepted = self.endpoints.accept_older(self.loop.time())
        for endpoint in accepted:
            self._log_registered(endpoint, False, "store", self.endpoints.offset)
        if expired or accepted:
            self.on_endpoints()

    def _replace_all(
        self, endpoints: list[Endpoint], now: float, source: str, offset: Position
    ) -> None:
        """Replace all endpoints by a complete list, and log the differences."""
        before = dict(self.endpoints.entries)
        if self.listed and era_of(offset) > era_of(self.endpoints.offset):
            self.restored_until = now + RESTORE_GRACE_DURATION
            extra = {"era": era_of(offset), "offset": offset_of(offset)}
            logger.warning("store came back from a copy", extra=extra)
            self.on_restore()
        if now < self.restored_until:
            endpoints = self.endpoints.without_deregistered(endpoints, now)
        self.endpoints.replace_all(endpoints, now, listed_by_store=source == "store")
        for name, known in self.endpoints.entries.items():
            old = before.get(name)
            if old is None or old.leaving is not known.leaving:
                self._log_registered(known, old is None, source, offset)
        for name in before.keys() - self.endpoints.entries.keys():
            extra = {"endpoint": name, "source": source, "offset": offset_of(offset)}
            logger.info("endpoint removed", extra=extra)

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
                "version": endpoint.software,
                "new": new,
                "source": source,
                "offset": offset_of(offset),
            },
        )

    def _apply(self, item: EndpointChange, now: float, offset: Position) -> bool:
        known = self.endpoints.entries.get(item.name)
        if item.endpoint is None:
            removed = self.endpoints.remove(item.name, now, item.unreadable)
            if removed:
                extra = {
                    "endpoint": item.name,
                    "source": "store",
                    "offset": offset_of(offset),
                }
                logger.info("endpoint removed", extra=extra)
            return removed
        changed = self.endpoints.put(item.endpoint, now)
        if changed:
            self._log_registered(item.endpoint, known is None, "store", offset)
        return changed

    def _notify_if_changed(self, changed: bool, now: float) -> None:
        if self.endpoints.expire(now) or changed:
            self.on_endpoints()
