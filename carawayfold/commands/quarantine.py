"""Commands that list and lift the quarantine of forwarding routers."""

from __future__ import annotations

import http.client
from typing import Annotated

import msgspec
import typer

from carawayfold.commands.operate import UNREACHABLE, Json
from carawayfold.protocol import quarantine_list
from carawayfold.protocol.quarantine_list import LIFT_PATH, LIST_PATH, ListedContent
from carawayfold.settings import Address

#: Seconds to wait for the response of a router.
TIMEOUT = 5.0
#: Exit code if the content is neither quarantined nor suspect.
UNKNOWN_CONTENT = 4

Router = Annotated[str, typer.Option(help="IP:port of a router's peer_listen.")]
Content = Annotated[str, typer.Argument(help="Its id in the list and in the logs.")]


def register(app: typer.Typer) -> None:
    """Add the quarantine commands to `app`."""
    app.command("quarantine")(list_contents)
    app.command("lift")(lift)


def list_contents(router: Router, json: Json = False) -> None:
    """List the quarantined and suspect contents that a router has on record."""
    status, data = _send_request(router, "GET", LIST_PATH)
    if status != http.HTTPStatus.OK:
        _exit_unreachable(f"{router} answered {status}")
    if json:
        typer.echo(data.decode())
        return
    try:
        listed = quarantine_list.decode(data)
    except msgspec.MsgspecError as error:
        _exit_unreachable(f"{router} is no router that forwards: {error}")
    for item in listed:
        typer.echo(_format_content(item))


def lift(content: Content, router: Router) -> None:
    """Lift the quarantine of a content on all routers."""
    status, _ = _send_request(router, "POST", LIFT_PATH + content)
    if status == http.HTTPStatus.NOT_FOUND:
        typer.echo(f"{content} is not refused or watched", err=True)
        raise typer.Exit(UNKNOWN_CONTENT)
    if status != http.HTTPStatus.OK:
        _exit_unreachable(f"{router} answered {status}")
    typer.echo(f"{content}: lifted")


def _format_content(item: ListedContent) -> str:
    ended = ", ".join(item.endpoints)
    return (
        f"{item.content}  {item.level}  {item.organisation or '(no organisation)'}  "
        f"refused for {item.held:g} s more, since {item.since:g} s  ended: {ended}"
    )


def _send_request(router: str, method: str, path: str) -> tuple[int, bytes]:
    try:
        address = Address.parse(router)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--router") from None
    connection = http.client.HTTPConnection(address.host, address.port, timeout=TIMEOUT)
    try:
        connection.request(method, path)
        answer = connection.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException) as error:
        _exit_unreachable(f"{router} did not answer: {error}")
    finally:
        connection.close()


def _exit_unreachable(reason: str) -> None:
    typer.echo(reason, err=True)
    raise typer.Exit(UNREACHABLE)
