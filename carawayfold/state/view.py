"""Look-ups over the configuration in force, rebuilt when it changes."""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

from carawayfold.errors import ErrorKind, Refusal
from carawayfold.state.configuration import ApiKey, Endpoint, Organisation, Service
from carawayfold.state.ids import OrganisationId

if TYPE_CHECKING:
    from carawayfold.state.configuration import Snapshot

#: Share of an organisation that the configuration no longer knows.
DEFAULT_SHARE = 1.0


class ConfigView:
    """Typed look-ups over one snapshot.

    Attributes
    ----------
    services : dict of str to Service
        Services by name.
    endpoints : dict of str to Endpoint
        Endpoints by name.
    """

    def __init__(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot
        self.refresh()

    def refresh(self, snapshot: Snapshot | None = None) -> None:
        """Take the present state of the snapshot, or of another one."""
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
        """Return the organisation that `api_key` names.

        Raises
        ------
        Refusal
            ``unknown-key``.
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
            ``unknown-service``.
        """
        service = self.services.get(name)
        if service is None:
            raise Refusal(ErrorKind.UNKNOWN_SERVICE, "no service has this name")
        return service


def hash_key(api_key: str) -> str:
    """Return the hash under which an API key is kept."""
    return hashlib.sha256(api_key.encode("utf-8", "replace")).hexdigest()
