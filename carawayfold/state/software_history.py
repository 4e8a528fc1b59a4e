"""Software versions that served each service lately."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

from carawayfold.checked import DURATION, TEXT
from carawayfold.state.ids import ServiceId, SoftwareVersion

#: Seconds for which an endpoint may serve after its entry is removed.
SERVING_DURATION = 10.0
#: Seconds for which a version is remembered after its last endpoint was removed. The
#: history is not complete for a longer time.
HISTORY_RETENTION = 120.0


class SoftwareHistory(msgspec.Struct):
    """When endpoints of each software version were last registered.

    All times are in monotonic seconds.

    Attributes
    ----------
    last_registered : dict
        Time at which an endpoint of a service was last known to be registered with a
        version, by service and version. Those registered now may have an older time.
    complete_since : float
        Time since which all registrations are known; infinity for never.
    """

    last_registered: dict[tuple[ServiceId, SoftwareVersion], float] = msgspec.field(
        default_factory=dict
    )
    complete_since: float = math.inf

    def note(self, service: ServiceId, software: SoftwareVersion, now: float) -> None:
        """Record that an endpoint is, or was until now, registered with a version."""
        key = (service, software)
        self.last_registered[key] = max(now, self.last_registered.get(key, now))

    def serving(
        self, service: ServiceId, now: float, window: float
    ) -> set[SoftwareVersion]:
        """Return the versions of endpoints that were registered in the last seconds.

        Parameters
        ----------
        service : ServiceId
            The service.
        now : float
            Monotonic seconds.
        window : float
            Seconds before `now` that matter.
        """
        oldest = now - window
        return {
            software
            for (name, software), at in self.last_registered.items()
            if name == service and at >= oldest
        }

    def is_complete(self, now: float, window: float) -> bool:
        """Return whether all versions of the last `window` seconds are known."""
        return window <= HISTORY_RETENTION and self.complete_since <= now - window

    def expire(self, now: float) -> None:
        """Drop versions whose last endpoint was removed long ago."""
        oldest = now - HISTORY_RETENTION
        for key, at in list(self.last_registered.items()):
            if at < oldest:
                del self.last_registered[key]

    def merge(self, ages: list[SoftwareAge], complete_for: float, now: float) -> None:
        """Take over the history of a peer together with its list of endpoints.

        Parameters
        ----------
        ages : list of SoftwareAge
            The versions that the peer knows.
        complete_for : float
            Seconds for which the peer's history is complete.
        now : float
            Monotonic seconds.
        """
        for item in ages:
            self.note(item.service, item.software, now - item.age)
        self.complete_since = now - complete_for

    def ages(self, now: float) -> list[SoftwareAge]:
        """Return the history for a peer, without times of this process."""
        return [
            SoftwareAge(service, software, now - at)
            for (service, software), at in self.last_registered.items()
        ]


class SoftwareAge(msgspec.Struct, frozen=True):
    """How long ago an endpoint of a service was last registered with a version.

    Attributes
    ----------
    age : float
        Seconds.
    """

    service: Annotated[ServiceId, TEXT]
    software: Annotated[SoftwareVersion, TEXT]
    age: Annotated[float, DURATION]
