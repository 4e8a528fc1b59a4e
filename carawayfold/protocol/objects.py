"""Conversion of configuration objects to and from admin API messages."""

from __future__ import annotations

from functools import singledispatch

from carawayfold.protocol import admin_pb2
from carawayfold.state.configuration import (
    ApiKey,
    Brand,
    ConfigObject,
    Endpoint,
    Organisation,
    Service,
)


@singledispatch
def to_message(item: ConfigObject) -> admin_pb2.Object:
    """Return the admin message for a configuration object.

    Raises
    ------
    TypeError
        If there is no message for the type of `item`.
    """
    raise TypeError(f"no message for {item!r}")


@to_message.register
def _(item: Organisation) -> admin_pb2.Object:
    message = admin_pb2.Organisation(id=item.id, share=item.share, brand=item.brand)
    return admin_pb2.Object(organisation=message)


@to_message.register
def _(item: Brand) -> admin_pb2.Object:
    return admin_pb2.Object(brand=admin_pb2.Brand(id=item.id, title=item.title))


@to_message.register
def _(item: ApiKey) -> admin_pb2.Object:
    message = admin_pb2.ApiKey(id=item.id, organisation=item.organisation)
    return admin_pb2.Object(key=message)


@to_message.register
def _(item: Service) -> admin_pb2.Object:
    message = admin_pb2.Service(
        id=item.id, model=item.model, repeatable=item.repeatable, spread=item.spread
    )
    return admin_pb2.Object(service=message)


@to_message.register
def _(item: Endpoint) -> admin_pb2.Object:
    message = admin_pb2.Endpoint(
        id=item.id,
        service=item.service,
        data_centre=item.data_centre,
        host=item.host,
        port=item.port,
        slots=item.slots,
        draining=item.draining,
    )
    return admin_pb2.Object(endpoint=message)


def from_message(message: admin_pb2.Object) -> ConfigObject | None:
    """Return the configuration object of a message, or None if it is empty."""
    kind = message.WhichOneof("kind")
    if kind is None:
        return None
    fields = {
        field.name: getattr(getattr(message, kind), field.name)
        for field in getattr(message, kind).DESCRIPTOR.fields
    }
    return KINDS[kind](**fields)


#: Class of configuration object by the name of its message field.
KINDS: dict[str, type] = {
    "organisation": Organisation,
    "brand": Brand,
    "key": ApiKey,
    "service": Service,
    "endpoint": Endpoint,
}
