"""The endpoints that registered with the platform, and which may get new work."""

from __future__ import annotations

from dataclasses import dataclass, field, replace

from carawayfold.settings import Address
from carawayfold.state.ids import DataCentreId, EndpointId, ServiceId

#: Seconds after an outage of the store for which an endpoint is still used whose
#: entry vanished in it: its lease may have run out only because it could not be
#: renewed, and then the entry is back about two seconds after the store is.
LAPSE_GRACE = 2.0
#: Seconds after an outage for which a vanished entry counts as vanished in it. What
#: vanishes later has left, and may be used for two seconds at most.
LAPSE_READ = 0.5


@dataclass(frozen=True, slots=True)
class Endpoint:
    """One registered endpoint.

    Attributes
    ----------
    id : EndpointId
        New for each start of the endpoint.
    slots : int
        Requests that it runs at once.
    leaving : bool
        Whether it has announced that it stops.
    cold_until : float
        Monotonic seconds until which it is slow after its start.
    """

    id: EndpointId
    service: ServiceId
    address: Address
    data_centre: DataCentreId
    slots: int
    leaving: bool = False
    cold_until: float = 0.0


@dataclass(slots=True)
class EndpointTable:
    """Registered endpoints of all services.

    Attributes
    ----------
    offset : int
        Next record of the store that is not yet applied.
    entries : dict
        Registered endpoints, leaving ones included.
    lapsed : dict
        Endpoints whose entry vanished in an outage, with the time until which they
        are kept.
    outage_end : float
        Monotonic seconds at which the store was last found out of reach.
    """

    offset: int = 0
    entries: dict[EndpointId, Endpoint] = field(default_factory=dict)
    lapsed: dict[EndpointId, float] = field(default_factory=dict)
    outage_end: float = float("-inf")

    def put(self, endpoint: Endpoint) -> bool:
        """Add or change an entry; return whether that matters to placement."""
        self.lapsed.pop(endpoint.id, None)
        old = self.entries.get(endpoint.id)
        if old is not None:
            endpoint = replace(endpoint, cold_until=old.cold_until)
        self.entries[endpoint.id] = endpoint
        return old != endpoint

    def remove(self, endpoint: EndpointId, now: float) -> bool:
        """Note that an entry is gone; return whether its endpoint goes at once."""
        if endpoint not in self.entries:
            return False
        in_outage = now < self.outage_end + LAPSE_READ
        if in_outage and not self.entries[endpoint].leaving:
            self.lapsed.setdefault(endpoint, self.outage_end + LAPSE_GRACE)
            return False
        self._drop(endpoint)
        return True

    def replace_all(self, endpoints: list[Endpoint], now: float) -> None:
        """Take a complete list in place of what is known."""
        listed = {endpoint.id for endpoint in endpoints}
        for endpoint in list(self.entries):
            if endpoint not in listed:
                self.remove(endpoint, now)
        for endpoint in endpoints:
            self.put(endpoint)

    def expire(self, now: float) -> list[EndpointId]:
        """Drop lapsed endpoints that have not come back, and return them."""
        gone = [endpoint for endpoint, until in self.lapsed.items() if now >= until]
        for endpoint in gone:
            self._drop(endpoint)
        return gone

    def note_outage(self, now: float) -> None:
        """Note that the store was out of reach until `now`."""
        self.outage_end = now
        for endpoint in self.lapsed:
            self.lapsed[endpoint] = now + LAPSE_GRACE

    def usable(self, service: ServiceId) -> list[Endpoint]:
        """Return the endpoints of `service` that may get new work."""
        return [
            endpoint
            for endpoint in self.entries.values()
            if endpoint.service == service and not endpoint.leaving
        ]

    def _drop(self, endpoint: EndpointId) -> None:
        self.entries.pop(endpoint, None)
        self.lapsed.pop(endpoint, None)
