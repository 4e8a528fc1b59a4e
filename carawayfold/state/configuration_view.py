"""Look-ups in the active configuration, rebuilt when it changes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.state.configuration import ApiKey, Endpoint, Organisation, Service
from carawayfold.state.ids import OrganisationId

if TYPE_CHECKING:
    from carawayfold.state.configuration import Snapshot

#: Share of an organisation that is no longer in the configuration.
DEFAULT_SHARE = 1.0


class ConfigView:
    """Typed look-ups in one snapshot.

    Attributes
    ----------
    snapshot : Snapshot
        The snapshot.
    services : dict of str to Service
        Services by name.
    endpoints : dict of str to Endpoint
        Endpoints by name.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.refresh()

    def refresh(self, snapshot: Snapshot | None = None) -> None:
        """Rebuild the look-ups, from another snapshot if one is given."""
        if snapshot is not None:
            self.snapshot = snapshot
        items = [entry.object for entry in self.snapshot.entries.values()]
        self.services = {i.id: i for i in items if isinstance(i, Service)}
        self.endpoints = {i.id: i for i in items if isinstance(i, Endpoint)}

    def share(self, organisation: OrganisationId) -> float:
        """Return the share of `organisation`."""
        item = self.snapshot.find(f"organisation/{organisation}")
        return item.share if isinstance(item, Organisation) else DEFAULT_SHARE

    def organisation_of(self, api_key: str) -> OrganisationId:
        """Return the organisation of an API key.

        Raises
        ------
        Refusal
            ``unknown-key`` if the configuration has no such key.
        """
        item = self.snapshot.find(f"key/{hash_key(api_key)}")
        if not isinstance(item, ApiKey):
            raise Refusal(ErrorKind.UNKNOWN_KEY, "no organisation has this key")
        return OrganisationId(item.organisation)

    def service(self, name: str) -> Service:
        """Return the service called `name`.

        Raises
        ------
        Refusal
            ``unknown-service`` if the configuration has no such service.
        """
        service = self.services.get(name)
        if service is None:
            raise Refusal(ErrorKind.UNKNOWN_SERVICE, "no service has this name")
        return service


def hash_key(api_key: str) -> str:
    """Return the hexadecimal SHA-256 by which the configuration stores an API key."""
    return hashlib.sha256(api_key.encode("utf-8", "replace")).hexdigest()
