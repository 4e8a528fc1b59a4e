"""Identifier types."""

from __future__ import annotations

from typing import NewType

#: Name of an organisation.
OrganisationId = NewType("OrganisationId", str)
#: Name of a brand, the label under which organisations are resold.
BrandId = NewType("BrandId", str)
#: Name of a service: a model or an application.
ServiceId = NewType("ServiceId", str)
#: Name under which an endpoint registers; it outlives the endpoint's restarts.
EndpointName = NewType("EndpointName", str)
#: One incarnation of an endpoint, from its start to its end: its name and its start.
EndpointId = NewType("EndpointId", str)
#: Name of a data centre.
DataCentreId = NewType("DataCentreId", str)
#: Name of a region, which holds several data centres.
RegionId = NewType("RegionId", str)
#: Name of a router process's instance.
RouterId = NewType("RouterId", str)
#: Identifier of one request, chosen by the caller or made here.
RequestId = NewType("RequestId", str)
#: Name of a group of endpoints whose slots one router grants.
PoolId = NewType("PoolId", str)
#: Position of a record in a stream of the platform's log.
Offset = NewType("Offset", int)
#: Place of a record in a log that may come back from a copy; see `state.positions`.
Position = NewType("Position", int)
#: Name of a route of the operators' configuration.
RouteId = NewType("RouteId", str)
#: Name of one call at the scheduler: the router's name and a number.
CallId = NewType("CallId", str)
#: Name of a part of a prompt, equal wherever the same text occurs.
PartId = NewType("PartId", str)
#: Digest of a request's content: equal for each repeat, whatever its identifier.
ContentId = NewType("ContentId", str)
