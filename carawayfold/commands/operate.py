"""Commands for the operators' administration calls."""

from __future__ import annotations

import asyncio
import os
import secrets
import sys
import time
import uuid
from typing import TYPE_CHECKING, Annotated, Any

import typer

from carawayfold.state.configuration_view import hash_key

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

#: Environment variable that holds the operator's token.
TOKEN_VARIABLE = "CARAWAYFOLD_TOKEN"
#: Seconds to wait for the reply of a call.
TIMEOUT = 15.0
#: Exit codes of a change that was not accepted, and of a router that did not reply.
CONFLICT, INVALID, UNKNOWN, UNREACHABLE = 3, 4, 5, 6
#: Random bytes of a generated API key.
API_KEY_BYTES = 24

Router = Annotated[str, typer.Option(help="IP:port of a router's peer_listen.")]
Json = Annotated[bool, typer.Option("--json", help="Print JSON.")]
BasedOn = Annotated[int, typer.Option(help="Revision of the object; 0 creates.")]
ChangeId = Annotated[str, typer.Option(help="Repeat it to retry a change safely.")]


def register(app: typer.Typer) -> None:
    """Add the operators' commands to `app`."""
    for command in (organisation, brand, key, service, endpoint, remove):
        app.command()(command)
    app.command("list")(list_objects)
    for command in (status, top, drain):
        app.command()(command)


async def call_router(router: str, method: str, request: Any) -> Any:
    """Return the reply of a router to the administration call `method`.

    Exits with `UNREACHABLE` if the call fails.
    """
    import grpc

    from carawayfold.protocol import admin_pb2_grpc

    token = os.environ.get(TOKEN_VARIABLE, "")
    async with grpc.aio.insecure_channel(router) as channel:
        stub = admin_pb2_grpc.AdminStub(channel)
        call: Callable[..., Awaitable[Any]] = getattr(stub, method)
        metadata = (("authorization", f"Bearer {token}"),)
        try:
            return await call(request, timeout=TIMEOUT, metadata=metadata)
        except grpc.aio.AioRpcError as error:
            typer.echo(f"{error.code().name}: {error.details()}", err=True)
            raise typer.Exit(UNREACHABLE) from None


def submit_change(
    router: str,
    kind: str,
    based_on: int,
    change_id: str,
    drop: bool = False,
    **fields: Any,
) -> None:
    """Submit one change and print its result.

    Exits with `CONFLICT`, `INVALID` or `UNKNOWN` if it was not accepted.
    """
    from carawayfold.protocol import admin_pb2

    item = admin_pb2.Object()
    getattr(item, kind).SetInParent()
    for name, value in fields.items():
        setattr(getattr(item, kind), name, value)
    change_id = change_id or uuid.uuid4().hex
    request = admin_pb2.ChangeRequest(
        change_id=change_id, based_on=based_on, object=item, remove=drop
    )
    reply = asyncio.run(call_router(router, "Change", request))
    name = admin_pb2.ChangeReply.State.Name(reply.state).lower()
    typer.echo(f"{name} revision={reply.revision} change={change_id} {reply.detail}")
    codes = {"conflict": CONFLICT, "invalid": INVALID, "unknown": UNKNOWN}
    if name in codes:
        raise typer.Exit(codes[name])


def organisation(
    name: str,
    router: Router,
    share: float = 1.0,
    brand: str = "",
    based_on: BasedOn = 0,
    change_id: ChangeId = "",
) -> None:
    """Create or change an organisation and its share."""
    submit_change(
        router, "organisation", based_on, change_id, id=name, share=share, brand=brand
    )


def brand(
    name: str,
    router: Router,
    title: str = "",
    based_on: BasedOn = 0,
    change_id: ChangeId = "",
) -> None:
    """Create or change a brand."""
    submit_change(router, "brand", based_on, change_id, id=name, title=title)


def key(
    organisation: str, router: Router, value: str = "", change_id: ChangeId = ""
) -> None:
    """Create an API key for an organisation; only its hash is stored."""
    value = value or secrets.token_urlsafe(API_KEY_BYTES)
    typer.echo(f"key: {value}")
    submit_change(
        router, "key", 0, change_id, id=hash_key(value), organisation=organisation
    )


def service(
    name: str,
    router: Router,
    model: bool = True,
    repeatable: bool = True,
    spread: bool = True,
    based_on: BasedOn = 0,
    change_id: ChangeId = "",
) -> None:
    """Create or change a service."""
    fields = {"id": name, "model": model, "repeatable": repeatable, "spread": spread}
    submit_change(router, "service", based_on, change_id, **fields)


def endpoint(
    name: str,
    router: Router,
    service: str,
    data_centre: str,
    host: str,
    port: int,
    slots: int = 8,
    draining: bool = False,
    based_on: BasedOn = 0,
    change_id: ChangeId = "",
) -> None:
    """Create or change an endpoint; --draining sends it no new requests."""
    submit_change(
        router,
        "endpoint",
        based_on,
        change_id,
        id=name,
        service=service,
        data_centre=data_centre,
        host=host,
        port=port,
        slots=slots,
        draining=draining,
    )


def remove(
    kind: str, name: str, router: Router, based_on: BasedOn, change_id: ChangeId = ""
) -> None:
    """Remove an object."""
    submit_change(router, kind, based_on, change_id, drop=True, id=name)


def list_objects(router: Router, kind: str = "", as_json: Json = False) -> None:
    """List the effective configuration with its revisions."""
    from google.protobuf.json_format import MessageToJson

    from carawayfold.protocol import admin_pb2

    reply = asyncio.run(call_router(router, "List", admin_pb2.ListRequest(kind=kind)))
    if as_json:
        typer.echo(MessageToJson(reply, preserving_proto_field_name=True))
        return
    typer.echo(f"revision {reply.revision}")
    for entry in reply.entries:
        name = entry.object.WhichOneof("kind")
        fields = str(getattr(entry.object, name)).replace("\n", " ")
        typer.echo(f"{name:<13} r{entry.revision:<7} {fields}")


def status(router: Router, as_json: Json = False) -> None:
    """Show the current status of a router."""
    from google.protobuf.json_format import MessageToJson

    from carawayfold.protocol import admin_pb2

    reply = asyncio.run(call_router(router, "Status", admin_pb2.StatusRequest()))
    if as_json:
        typer.echo(MessageToJson(reply, preserving_proto_field_name=True))
        return
    typer.echo(format_status(reply))


def format_status(reply: Any) -> str:
    """Return a status reply as lines of text."""
    state = "stopping" if reply.stopping else "ready" if reply.ready else "not ready"
    peers = ", ".join(
        f"{peer.router}{'' if peer.live else ' (not live)'}" for peer in reply.peers
    )
    lines = [
        f"{reply.router} in {reply.data_centre}: {state}, revision {reply.revision}",
        f"routers: {peers}",
        f"{'service':<18} {'organisation':<18} {'waiting':>8} {'running':>8}"
        f" {'ended':>8} {'service units':>14}",
    ]
    for load in sorted(reply.loads, key=lambda load: -load.service_received):
        lines.append(
            f"{load.service:<18} {load.organisation:<18} {load.waiting:>8}"
            f" {load.in_flight:>8} {load.requests:>8} {load.service_received:>14.0f}"
        )
    return "\n".join(lines)


def top(router: Router, interval: float = 1.0, rounds: int = 0) -> None:
    """Show the status of a router repeatedly; 0 rounds: until Ctrl-C."""
    from carawayfold.protocol import admin_pb2

    shown = 0
    while not rounds or shown < rounds:
        reply = asyncio.run(call_router(router, "Status", admin_pb2.StatusRequest()))
        if sys.stdout.isatty():
            typer.echo("\x1b[2J\x1b[H", nl=False)
        typer.echo(format_status(reply))
        shown += 1
        if shown != rounds:
            time.sleep(interval)


def drain(router: Router) -> None:
    """Have a router finish its requests in flight and stop."""
    from carawayfold.protocol import admin_pb2

    asyncio.run(call_router(router, "DrainRouter", admin_pb2.DrainRouterRequest()))
    typer.echo("draining")
