"""Endpoints registered with the platform, and which of them may get new requests."""

from __future__ import annotations

from typing import Annotated

import msgspec

from carawayfold.checked import (
    DURATION,
    ENDPOINT_NAME,
    SECONDS,
    SLOTS,
    START_TIME,
    TEXT,
)
from carawayfold.settings import Address
from carawayfold.state.ids import (
    DataCentreId,
    EndpointId,
    EndpointName,
    Position,
    ServiceId,
    SoftwareVersion,
)
from carawayfold.state.older_entries import MIN_LASTING_DURATION, OlderEntries
from carawayfold.state.plausible_slots import with_plausible_slots
from carawayfold.state.software_history import SoftwareHistory

#: Seconds after an outage of the store for which an endpoint stays usable whose entry
#: was removed during the outage. Its lease may have expired only because it could not
#: be renewed; the entry is then written again about two seconds after the outage.
LAPSE_GRACE_DURATION = 2.0
#: Seconds after an outage within which a removed entry counts as removed during it. An
#: endpoint whose entry is removed later has stopped, and must not be used for more than
#: two seconds after that.
LAPSE_DETECTION_DURATION = 0.5
#: Most removed endpoints whose newest incarnation is remembered, so that a delayed
#: record does not restore an older one.
MAX_INCARNATIONS = 2000
#: Most unregistered endpoints whose announced stop is remembered.
MAX_ANNOUNCED = 2000
#: Seconds for which a deregistration is remembered. A store restored from a backup some
#: seconds old still lists endpoints that were deregistered after the backup.
DEREGISTRATION_RETENTION_DURATION = 30.0


class Endpoint(msgspec.Struct, frozen=True):
    """One registered endpoint.

    Attributes
    ----------
    name : EndpointName
        Name under which it registers, the same after a restart.
    service : ServiceId
        Service that it runs.
    address : Address
        Address of its HTTP interface.
    data_centre : DataCentreId
        Data centre in which it runs.
    slots : int
        Most requests in flight at once.
    leaving : bool
        Whether it has announced that it stops.
    warm_up : float
        Seconds of warm-up that remained when its entry was written; 0 if none.
    warm_at : float
        Monotonic seconds at which its warm-up ends.
    incarnation : int
        Unix milliseconds of its start; 0 if not given.
    software : SoftwareVersion
        Version of its software. What two versions write doesn't fit together.
    """

    name: Annotated[EndpointName, ENDPOINT_NAME]
    service: Annotated[ServiceId, TEXT]
    address: Address
    data_centre: Annotated[DataCentreId, TEXT]
    slots: Annotated[int, SLOTS]
    leaving: bool = False
    warm_up: Annotated[float, DURATION] = 0.0
    warm_at: Annotated[float, SECONDS] = 0.0
    incarnation: Annotated[int, START_TIME] = 0
    software: Annotated[SoftwareVersion, TEXT] = SoftwareVersion("")

    def is_warming(self, now: float) -> bool:
        """Return whether it is warming up at `now`, in monotonic seconds."""
        return now < self.warm_at

    @property
    def id(self) -> EndpointId:
        """Return the identifier of this incarnation: its name and start time.

        All state about an endpoint is stored under this identifier, so that a
        restarted endpoint does not inherit the state of its earlier incarnation.
        A name that contains "~" always gets a start time, as it could be taken for
        the identifier of another endpoint.
        """
        if not self.incarnation and "~" not in self.name:
            return EndpointId(self.name)
        return EndpointId(f"{self.name}~{self.incarnation:x}")


class EndpointTable(msgspec.Struct):
    """Registered endpoints of all services.

    Attributes
    ----------
    offset : Position
        Next record of the store to apply.
    entries : dict
        Registered endpoints by name, leaving ones included.
    lapsed : dict
        Endpoints whose entry was removed during an outage, with the monotonic seconds
        until which they stay usable.
    incarnations : dict
        Newest known incarnation of each name, in Unix milliseconds.
    deregistered_at : dict
        Monotonic seconds of each recent deregistration, by name.
    leaving_since : dict
        Monotonic seconds at which each registered endpoint that leaves was first known
        to leave.
    announced : dict
        Incarnations that announced their stop in an answer, with whether that must be
        sent to the fleet. It applies until they stop, even if their entries differ.
    outage_end : float
        Monotonic seconds at which the store was last known to be unreachable.
    software : SoftwareHistory
        Software versions that served each service lately.
    older : OlderEntries
        Entries of earlier incarnations that have replaced those in `entries`.
    """

    offset: Position = Position(0)
    entries: dict[EndpointName, Endpoint] = msgspec.field(default_factory=dict)
    lapsed: dict[EndpointName, float] = msgspec.field(default_factory=dict)
    incarnations: dict[EndpointName, int] = msgspec.field(default_factory=dict)
    deregistered_at: dict[EndpointName, float] = msgspec.field(default_factory=dict)
    leaving_since: dict[EndpointName, float] = msgspec.field(default_factory=dict)
    announced: dict[EndpointId, bool] = msgspec.field(default_factory=dict)
    outage_end: float = float("-inf")
    software: SoftwareHistory = msgspec.field(default_factory=SoftwareHistory)
    older: OlderEntries = msgspec.field(default_factory=OlderEntries)

    def put(self, endpoint: Endpoint, now: float = 0.0, listed: bool = False) -> bool:
        """Add or change an entry; return whether it changed.

        An entry of an earlier incarnation changes nothing until `accept_older`. Once an
        endpoint is leaving, later entries do not revert that: an older entry may be
        restored from a backup of the store, and the endpoint may have failed to write a
        newer one.

        Parameters
        ----------
        endpoint : Endpoint
            The entry.
        now : float
            Monotonic seconds.
        listed : bool
            Whether the entry comes from a complete list, and may have been written long
            ago. If its `Endpoint.warm_up` is unchanged, the known end of the warm-up
            still applies.
        """
        if endpoint.incarnation < self.incarnations.get(endpoint.name, 0):
            # Another router may have accepted it.
            self.software.note(endpoint.service, endpoint.software, now)
            self.older.add(endpoint, now)
            return False
        self.older.discard(endpoint.name)
        self._record_incarnation(endpoint)
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
        self.deregistered_at.pop(endpoint.name, None)
        for entry in (old, endpoint):
            if entry is not None:
                self.software.note(entry.service, entry.software, now)
        self.entries[endpoint.name] = endpoint
        if not endpoint.leaving:
            self.leaving_since.pop(endpoint.name, None)
        elif old is None or not old.leaving or old.id != endpoint.id:
            self.leaving_since[endpoint.name] = now
        return old != endpoint

    def accept_older(self, now: float) -> list[Endpoint]:
        """Accept and return the older entries that have lasted in the store.

        After an outage, records may not have been read yet that replace them.
        """
        if now < self.outage_end + MIN_LASTING_DURATION:
            return []
        accepted = self.older.take_lasting(now)
        for endpoint in accepted:
            self.incarnations.pop(endpoint.name, None)
            self.put(endpoint, now)
        return accepted

    def stored(self) -> list[Endpoint]:
        """Return the entries as last read, older ones in place of newer ones."""
        return list((self.entries | self.older.entries).values())

    def announce(self, endpoint: EndpointId, now: float, by_peer: bool = False) -> bool:
        """Record that an incarnation announced its stop in an answer.

        It need not be registered yet.

        Parameters
        ----------
        endpoint : EndpointId
            The incarnation.
        now : float
            Monotonic seconds.
        by_peer : bool
            Whether a peer reported it.

        Returns
        -------
        bool
            Whether the fleet must be notified, as the entry does not show it yet.
        """
        known = self.registered(endpoint)
        notifies = by_peer or known is None or not known.leaving
        if self.announced.get(endpoint) in (True, notifies):
            return False
        self.announced[endpoint] = notifies
        self._limit_announced()
        if known is not None:
            self.put(known, now)
        return notifies

    def _limit_announced(self) -> None:
        if len(self.announced) <= MAX_ANNOUNCED + len(self.entries):
            return
        oldest = next(x for x in self.announced if self.registered(x) is None)
        del self.announced[oldest]

    def registered(self, endpoint: EndpointId) -> Endpoint | None:
        """Return the entry of an incarnation, None if it is not registered."""
        # An identifier is the name, then "~" and the incarnation if there is one.
        for name in (endpoint.rpartition("~")[0], endpoint):
            entry = self.entries.get(EndpointName(name))
            if entry is not None and entry.id == endpoint:
                return entry
        return None

    def announced_leaving(self) -> list[EndpointId]:
        """Return the registered endpoints whose stop peers are notified of, sorted."""
        announced = [name for name, notifies in self.announced.items() if notifies]
        return sorted(x for x in announced if self.registered(x) is not None)

    def _record_incarnation(self, endpoint: Endpoint) -> None:
        self.incarnations[endpoint.name] = endpoint.incarnation
        if len(self.incarnations) <= MAX_INCARNATIONS + len(self.entries):
            return
        oldest = next(name for name in self.incarnations if name not in self.entries)
        del self.incarnations[oldest]

    def remove(self, name: EndpointName, now: float, unreadable: bool = False) -> bool:
        """Remove an entry; return whether its endpoint became unusable at once.

        An entry removed during an outage of the store stays usable for a time, as its
        lease may have expired only because it could not be renewed.

        Parameters
        ----------
        name : EndpointName
            Name of the endpoint.
        now : float
            Monotonic seconds.
        unreadable : bool
            Whether it was replaced by one that can't be decoded. The endpoint is not
            deregistered, but must not be used.
        """
        self.older.discard(name)
        if name not in self.entries:
            return False
        if unreadable:
            self._drop(name, now)
            return True
        in_outage = now < self.outage_end + LAPSE_DETECTION_DURATION
        if in_outage and not self.entries[name].leaving:
            self.lapsed.setdefault(name, self.outage_end + LAPSE_GRACE_DURATION)
            return False
        self._drop(name, now)
        self._record_deregistration(name, now)
        return True

    def _record_deregistration(self, name: EndpointName, now: float) -> None:
        # Entries are in order of time, so expired ones precede the others.
        self.deregistered_at.pop(name, None)
        self.deregistered_at[name] = now
        oldest = now - DEREGISTRATION_RETENTION_DURATION
        while (first := next(iter(self.deregistered_at))) and self.deregistered_at[
            first
        ] < oldest:
            del self.deregistered_at[first]

    def without_deregistered(
        self, endpoints: list[Endpoint], now: float
    ) -> list[Endpoint]:
        """Return the endpoints of a restored list that were not deregistered lately.

        Parameters
        ----------
        endpoints : list of Endpoint
            Endpoints listed by a store that was restored from a backup.
        now : float
            Monotonic seconds.
        """
        return [
            endpoint
            for endpoint in endpoints
            if now - self.deregistered_at.get(endpoint.name, float("-inf"))
            > DEREGISTRATION_RETENTION_DURATION
        ]

    def replace_all(
        self, endpoints: list[Endpoint], now: float, listed_by_store: bool = True
    ) -> None:
        """Replace all entries with a complete list.

        Parameters
        ----------
        endpoints : list of Endpoint
            The list.
        now : float
            Monotonic seconds.
        listed_by_store : bool
            Whether the list comes from the store; see `put`.
        """
        listed = {endpoint.name for endpoint in endpoints}
        for name in list(self.entries):
            if name not in listed:
                self.remove(name, now)
        for endpoint in endpoints:
            self.put(endpoint, now, listed=listed_by_store)

    def expire(self, now: float) -> list[EndpointName]:
        """Drop and return lapsed endpoints that have not registered again in time."""
        expired = [name for name, until in self.lapsed.items() if now >= until]
        for name in expired:
            self._drop(name, now)
        return expired

    def record_outage(self, now: float) -> None:
        """Record that the store was unreachable until `now`, in monotonic seconds."""
        self.outage_end = now
        for name in self.lapsed:
            self.lapsed[name] = now + LAPSE_GRACE_DURATION

    def usable(self, service: ServiceId) -> list[Endpoint]:
        """Return the endpoints of `service` that may get new requests.

        Their slots are bounded; see `plausible_slots`.
        """
        usable = [
            endpoint
            for endpoint in self.entries.values()
            if endpoint.service == service and not endpoint.leaving
        ]
        return with_plausible_slots(usable)

    def software_of(
        self, service: ServiceId, now: float, window: float
    ) -> set[SoftwareVersion]:
        """Return the software versions that served `service` in the last seconds.

        Parameters
        ----------
        service : ServiceId
            The service.
        now : float
            Monotonic seconds.
        window : float
            Seconds before `now` that matter.
        """
        registered = {
            endpoint.software
            for table in (self.entries, self.older.entries)
            for endpoint in table.values()
            if endpoint.service == service
        }
        return registered | self.software.serving(service, now, window)

    def _drop(self, name: EndpointName, now: float) -> None:
        entry = self.entries.pop(name, None)
        if entry is not None:
            self.software.note(entry.service, entry.software, now)
        self.lapsed.pop(name, None)
        self.leaving_since.pop(name, None)
