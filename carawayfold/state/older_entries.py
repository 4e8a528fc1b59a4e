"""Registrations with an earlier start time than the endpoint was known to have."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import EndpointName

#: Seconds after which an older entry that the store still has is accepted. A delayed
#: record is replaced sooner: an endpoint writes its entry again within some heartbeats,
#: and within two seconds of an outage of the store.
MIN_LASTING_DURATION = 5.0


class OlderEntries(msgspec.Struct):
    """Entries of earlier incarnations that are not accepted yet.

    Such an entry is either a delayed one of a stopped endpoint, or the newer one that
    it replaced was never written by the endpoint. The store shows which: the entry that
    lasts is the endpoint's.

    Attributes
    ----------
    entries : dict
        The entries by name.
    since : dict
        Monotonic seconds at which each was first read.
    """

    entries: dict[EndpointName, Endpoint] = msgspec.field(default_factory=dict)
    since: dict[EndpointName, float] = msgspec.field(default_factory=dict)

    def add(self, endpoint: Endpoint, now: float) -> None:
        """Add an entry; a repeated one counts from its first read on."""
        old = self.entries.get(endpoint.name)
        if old is None or old.incarnation != endpoint.incarnation:
            self.since[endpoint.name] = now
        self.entries[endpoint.name] = endpoint

    def discard(self, name: EndpointName) -> None:
        """Remove the entry of an endpoint, if any."""
        self.entries.pop(name, None)
        self.since.pop(name, None)

    def take_lasting(self, now: float) -> list[Endpoint]:
        """Remove and return the entries that have lasted."""
        names = [
            name
            for name, since in self.since.items()
            if now - since >= MIN_LASTING_DURATION
        ]
        lasting = [self.entries[name] for name in names]
        for name in names:
            self.discard(name)
        return lasting
