"""The endpoints that registered with the platform, and which may get new work."""

from __future__ import annotations

import msgspec

from carawayfold.settings import Address
from carawayfold.state.ids import (
    DataCentreId,
    EndpointId,
    EndpointName,
    Position,
    ServiceId,
)

#: Seconds after an outage of the store for which an endpoint is still used whose
#: entry vanished in it: its lease may have run out only because it could not be
#: renewed, and then the entry is back about two seconds after the store is.
LAPSE_GRACE = 2.0
#: Seconds after an outage for which a vanished entry counts as vanished in it. What
#: vanishes later has left, and may be used for two seconds at most.
LAPSE_READ = 0.5
#: Names of endpoints that are gone whose newest incarnation is remembered, so that a
#: record that was delayed does not bring an older one back.
INCARNATIONS_KEPT = 2000
#: Endpoints no longer registered that are remembered to have said that they leave.
ANNOUNCED_KEPT = 2000
#: Seconds for which it is remembered that an endpoint went: a copy from which the store
#: comes back is some seconds old, and holds entries of endpoints that went since.
DEPARTED_FOR = 30.0


class Endpoint(msgspec.Struct, frozen=True):
    """One registered endpoint.

    Attributes
    ----------
    name : EndpointName
        What it registers under, the same after a restart.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it has announced that it stops.
    warm_up : float
        Seconds of warm-up that were left when its entry was written; 0 if warm.
    warm_at : float
        Monotonic seconds at which its warm-up ends.
    incarnation : int
        Unix milliseconds of its start; 0 where it does not say.
    """

    name: EndpointName
    service: ServiceId
    address: Address
    data_centre: DataCentreId
    slots: int
    leaving: bool = False
    warm_up: float = 0.0
    warm_at: float = 0.0
    incarnation: int = 0

    def is_warming(self, now: float) -> bool:
        """Return whether it still warms up."""
        return now < self.warm_at

    @property
    def id(self) -> EndpointId:
        """Return what tells this incarnation from others of the same name.

        All that is believed of an endpoint is kept by it, so that nothing known of
        one incarnation is taken for the next, which starts with nothing.
        """
        if not self.incarnation:
            return EndpointId(self.name)
        return EndpointId(f"{self.name}~{self.incarnation:x}")


class EndpointTable(msgspec.Struct):
    """Registered endpoints of all services.

    Attributes
    ----------
    offset : Position
        Next record of the store that is not yet applied.
    entries : dict
        Registered endpoints by name, leaving ones included.
    lapsed : dict
        Endpoints whose entry vanished in an outage, with the time until which they
        are kept.
    incarnations : dict
        Newest incarnation seen of each name.
    departed : dict
        When each endpoint went that went lately.
    leaving_since : dict
        When each registered endpoint that leaves was first known to leave.
    announced : dict
        Incarnations that have said in an answer that they leave, which holds until
        their end whatever their entries say, and whether the fleet was told.
    outage_end : float
        Monotonic seconds at which the store was last found out of reach.
    """

    offset: Position = Position(0)
    entries: dict[EndpointName, Endpoint] = msgspec.field(default_factory=dict)
    lapsed: dict[EndpointName, float] = msgspec.field(default_factory=dict)
    incarnations: dict[EndpointName, int] = msgspec.field(default_factory=dict)
    departed: dict[EndpointName, float] = msgspec.field(default_factory=dict)
    leaving_since: dict[EndpointName, float] = msgspec.field(default_factory=dict)
    announced: dict[EndpointId, bool] = msgspec.field(default_factory=dict)
    outage_end: float = float("-inf")

    def put(self, endpoint: Endpoint, now: float = 0.0, listed: bool = False) -> bool:
        """Add or change an entry; return whether that matters to placement.

        An entry of an incarnation that is over is passed over, and one that leaves goes
        on leaving: an older entry of it may come back with a copy of the store, and one
        that could not be written tells nothing of what the endpoint has said since.

        Parameters
        ----------
        endpoint : Endpoint
            The entry.
        now : float
            Monotonic seconds.
        listed : bool
            Whether the entry may have been written long ago. The same words about its
            warm-up then tell nothing new.
        """
        if endpoint.incarnation < self.incarnations.get(endpoint.name, 0):
            return False
        self._note_incarnation(endpoint)
        self.lapsed.pop(endpoint.name, None)
        old = self.entries.get(endpoint.name)
        if old is not None and old.incarnation == endpoint.incarnation:
            leaving = endpoint.leaving or old.leaving
            known = listed and endpoint.warm_up == old.warm_up
            warm_at = old.warm_at if known else endpoint.warm_at
            endpoint = msgspec.structs.replace(
                endpoint, warm_at=warm_at, leaving=leaving
            )
        if endpoint.id in self.announced:
            endpoint = msgspec.structs.replace(endpoint, leaving=True)
        self.departed.pop(endpoint.name, None)
        self.entries[endpoint.name] = endpoint
        if not endpoint.leaving:
            self.leaving_since.pop(endpoint.name, None)
        elif old is None or not old.leaving:
            self.leaving_since[endpoint.name] = now
        return old != endpoint

    def announce(self, endpoint: EndpointId, now: float, by_peer: bool = False) -> bool:
        """Note that an incarnation has said in an answer that it leaves.

        It need not be registered yet.

        Parameters
        ----------
        by_peer : bool
            Whether a peer tells so.

        Returns
        -------
        bool
            Whether the fleet should be told: its entry does not say so yet.
        """
        known = self.registered(endpoint)
        told = by_peer or known is None or not known.leaving
        if self.announced.get(endpoint) in (True, told):
            return False
        self.announced[endpoint] = told
        self._bound_announced()
        if known is not None:
            self.put(known, now)
        return told

    def _bound_announced(self) -> None:
        if len(self.announced) <= ANNOUNCED_KEPT + len(self.entries):
            return
        oldest = next(x for x in self.announced if self.registered(x) is None)
        del self.announced[oldest]

    def registered(self, endpoint: EndpointId) -> Endpoint | None:
        """Return the entry of an incarnation, None if it is not registered."""
        # An id begins with its name, which may be the whole of it.
        for name in (endpoint.rpartition("~")[0], endpoint):
            entry = self.entries.get(EndpointName(name))
            if entry is not None and entry.id == endpoint:
                return entry
        return None

    def said_leaving(self) -> list[EndpointId]:
        """Return the registered endpoints of which the fleet was told so, sorted."""
        told = [name for name, told in self.announced.items() if told]
        return sorted(x for x in told if self.registered(x) is not None)

    def _note_incarnation(self, endpoint: Endpoint) -> None:
        self.incarnations[endpoint.name] = endpoint.incarnation
        if len(self.incarnations) <= INCARNATIONS_KEPT + len(self.entries):
            return
        oldest = next(name for name in self.incarnations if name not in self.entries)
        del self.incarnations[oldest]

    def remove(self, name: EndpointName, now: float) -> bool:
        """Note that an entry is gone; return whether its endpoint goes at once."""
        if name not in self.entries:
            return False
        in_outage = now < self.outage_end + LAPSE_READ
        if in_outage and not self.entries[name].leaving:
            self.lapsed.setdefault(name, self.outage_end + LAPSE_GRACE)
            return False
        self._drop(name)
        self._note_departed(name, now)
        return True

    def _note_departed(self, name: EndpointName, now: float) -> None:
        # The latest are last.
        self.departed.pop(name, None)
        self.departed[name] = now
        oldest = now - DEPARTED_FOR
        while (first := next(iter(self.departed))) and self.departed[first] < oldest:
            del self.departed[first]

    def without_departed(self, endpoints: list[Endpoint], now: float) -> list[Endpoint]:
        """Return those of a list from a copy that did not go before the copy came."""
        return [
            endpoint
            for endpoint in endpoints
            if now - self.departed.get(endpoint.name, float("-inf")) > DEPARTED_FOR
        ]

    def replace_all(
        self, endpoints: list[Endpoint], now: float, listed_by_store: bool = True
    ) -> None:
        """Take a complete list in place of what is known."""
        listed = {endpoint.name for endpoint in endpoints}
        for name in list(self.entries):
            if name not in listed:
                self.remove(name, now)
        for endpoint in endpoints:
            self.put(endpoint, now, listed=listed_by_store)

    def expire(self, now: float) -> list[EndpointName]:
        """Drop lapsed endpoints that have not come back, and return them."""
        gone = [name for name, until in self.lapsed.items() if now >= until]
        for name in gone:
            self._drop(name)
        return gone

    def note_outage(self, now: float) -> None:
        """Note that the store was out of reach until `now`."""
        self.outage_end = now
        for name in self.lapsed:
            self.lapsed[name] = now + LAPSE_GRACE

    def usable(self, service: ServiceId) -> list[Endpoint]:
        """Return the endpoints of `service` that may get new work."""
        return [
            endpoint
            for endpoint in self.entries.values()
            if endpoint.service == service and not endpoint.leaving
        ]

    def _drop(self, name: EndpointName) -> None:
        self.entries.pop(name, None)
        self.lapsed.pop(name, None)
        self.leaving_since.pop(name, None)
