"""Command that explains where a request would go now, without sending it."""

from __future__ import annotations

import http.client
from pathlib import Path
from typing import TYPE_CHECKING, Annotated

import msgspec
import typer

from carawayfold.commands.operate import UNREACHABLE, Json
from carawayfold.protocol import explanations
from carawayfold.protocol.explanations import (
    POOL_PATH,
    REQUEST_PATH,
    ExplainedEndpoint,
    PoolAnswer,
    PoolQuestion,
    RequestAnswer,
    RequestQuestion,
    Verdict,
)
from carawayfold.settings import Address

if TYPE_CHECKING:
    from typing import TypeVar

    T = TypeVar("T")

#: Seconds to wait for the answer of a router.
TIMEOUT = 5.0
#: Exit code if the request would be refused or rejected.
REFUSED = 7
#: Most pools that are asked; more than a router offers a request to.
MAX_POOLS = 4

Router = Annotated[str, typer.Option(help="IP:port of a router's peer_listen.")]
Target = Annotated[str, typer.Argument(help="Path of the request, with its query.")]
Method = Annotated[str, typer.Option(help="Method of the request.")]
Header = Annotated[list[str], typer.Option(help="'Name: value'; may be repeated.")]
Body = Annotated[Path | None, typer.Option(help="File with the body.")]


class Explanation(msgspec.Struct):
    """All that routers say about a request.

    Attributes
    ----------
    requests : list of RequestAnswer
        What its router would do: at first, and after each rejection.
    pools : list of PoolAnswer
        What the scheduler of each pool would do.
    """

    requests: list[RequestAnswer] = []
    pools: list[PoolAnswer] = []

    @property
    def is_refused(self) -> bool:
        """Return whether the caller would get a refusal."""
        if self.requests[-1].refused or not self.pools:
            return True
        return self.pools[-1].verdict is Verdict.REJECT


class Unanswered(Exception):
    """A router could not be asked."""


def register(app: typer.Typer) -> None:
    """Add the command to `app`."""
    app.command("explain")(explain)


def explain(
    target: Target,
    router: Router,
    header: Header = [],  # noqa: B006
    method: Method = "POST",
    body: Body = None,
    json: Json = False,
) -> None:
    """Explain where a request would go now, and why. It is not sent."""
    _check_text([target, method, *header])
    question = RequestQuestion(
        method, target, [_parse_header(item) for item in header], _read(body)
    )
    try:
        found = ask(_parse_address(router), question)
    except Unanswered as error:
        typer.echo(str(error), err=True)
        raise typer.Exit(UNREACHABLE) from None
    if json:
        typer.echo(explanations.encode(found).decode())
    else:
        for line in format_explanation(found):
            typer.echo(line)
    if found.is_refused:
        raise typer.Exit(REFUSED)


def ask(router: Address, question: RequestQuestion) -> Explanation:
    """Return what a router, and those that decide for its pools, say of a request.

    Raises
    ------
    Unanswered
        If a router could not be asked.
    """
    found = Explanation()
    for _ in range(MAX_POOLS):
        answer = _post(router, REQUEST_PATH, question, RequestAnswer)
        found.requests.append(answer)
        if answer.refused or answer.pool is None or answer.offer is None:
            break
        address = answer.decider_address
        decider = Address.parse(address) if address else router
        asked = PoolQuestion(answer.router, answer.offer)
        found.pools.append(_post(decider, POOL_PATH, asked, PoolAnswer))
        if found.pools[-1].verdict is not Verdict.REJECT:
            break
        question = msgspec.structs.replace(
            question, asked=[*question.asked, answer.pool]
        )
    return found


def _post(router: Address, path: str, question: msgspec.Struct, kind: type[T]) -> T:
    connection = http.client.HTTPConnection(router.host, router.port, timeout=TIMEOUT)
    try:
        connection.request("POST", path, explanations.encode(question))
        response = connection.getresponse()
        data = response.read()
    except (OSError, http.client.HTTPException) as error:
        raise Unanswered(f"{router} did not answer: {error}") from None
    finally:
        connection.close()
    if response.status == http.HTTPStatus.NOT_FOUND:
        raise Unanswered(
            f"{router} answered 404: it doesn't have the pool, or its version can't "
            "explain requests"
        )
    if response.status != http.HTTPStatus.OK:
        raise Unanswered(f"{router} answered {response.status}")
    try:
        return explanations.decode(data, kind)
    except msgspec.MsgspecError as error:
        raise Unanswered(f"{router} is no router that forwards: {error}") from None


def _check_text(texts: list[str]) -> None:
    """Raise an error for arguments with bytes that are no text, or controls."""
    for text in texts:
        if not text.isprintable():
            raise typer.BadParameter(f"{text!a} has characters that can't be sent")


def _parse_header(text: str) -> tuple[str, str]:
    name, colon, value = text.partition(":")
    if not colon or not name.strip():
        raise typer.BadParameter(
            f"{text!r} is not 'Name: value'", param_hint="--header"
        )
    return name.strip(), value.strip()


def _parse_address(text: str) -> Address:
    try:
        return Address.parse(text)
    except ValueError as error:
        raise typer.BadParameter(str(error), param_hint="--router") from None


def _read(path: Path | None) -> bytes:
    if path is None:
        return b""
    try:
        return path.read_bytes()
    except OSError as error:
        raise typer.BadParameter(str(error), param_hint="--body") from None


# Text


def format_explanation(found: Explanation) -> list[str]:
    """Return the lines that an operator reads."""
    lines = _format_request(found.requests[0])
    for number, answer in enumerate(found.requests):
        lines += _format_pool_choice(answer)
        if number < len(found.pools):
            lines += _format_pool(found.pools[number])
    return lines


def _format_request(answer: RequestAnswer) -> list[str]:
    unset = answer.version is msgspec.UNSET
    configuration = "no configuration" if unset else f"configuration {answer.version}"
    lines = [f"router {answer.router}, {configuration}"]
    if answer.route is not None:
        lines.append(
            f"route {answer.route}, organisation {answer.organisation or '(none)'}, "
            f"priority {answer.priority}"
        )
    if answer.service is not None:
        share = f"{answer.service_share:.0%} of the route's requests"
        lines.append(f"service {answer.service} ({share})")
    if answer.allowed:
        lines.append(f"data centres: {', '.join(answer.allowed)} only")
    return lines


def _format_pool_choice(answer: RequestAnswer) -> list[str]:
    if answer.refused:
        detail = f": {answer.detail}" if answer.detail else ""
        return [f"refused at once, {answer.refused}{detail}"]
    if answer.pool is None:
        return ["no further pool is asked: the caller gets the rejection"]
    lines = [
        f"pool {answer.pool}, one of {answer.pools}: {answer.pool_reason.value}; "
        f"{answer.decider} decides"
    ]
    if answer.admitted < 1:
        lines.append(
            f"{1 - answer.admitted:.0%} of its organisation's requests are rejected "
            "before the offer, as the pool is overloaded"
        )
    return lines


def _format_pool(answer: PoolAnswer) -> list[str]:
    leads = "" if answer.leads else ", which does not lead it"
    standing = "within" if answer.within_share else "beyond"
    lines = [
        f"{answer.router}{leads}: {_format_verdict(answer)}",
        f"  {answer.position} of {answer.waiting} waiting requests before it; "
        f"{standing} the share of its organisation",
        "  endpoint, data centre, status, running/slots, starts in, first byte in, "
        "cached, copied, to prefill, cost",
    ]
    return lines + [f"  {_format_endpoint(item)}" for item in answer.endpoints]


def _format_verdict(answer: PoolAnswer) -> str:
    if answer.verdict is Verdict.GRANT:
        return f"sent to {answer.endpoint} at once: {answer.reason}"
    if answer.verdict is Verdict.REJECT:
        return f"rejected: {answer.reason}"
    where = f" for {answer.endpoint}" if answer.endpoint is not None else ""
    return f"waits {answer.wait:.3f} s{where}: {answer.reason}"


def _format_endpoint(item: ExplainedEndpoint) -> str:
    place = (
        f"{item.endpoint}, {item.data_centre}, {item.status.value}, "
        f"{item.running:g}/{item.slots:g}"
    )
    if item.cost is None:
        return place
    return (
        f"{place}, {item.starts_in:.3f} s, {item.first_byte_in:.3f} s, "
        f"{item.cached_tokens}, {item.copied_tokens}, {item.prefill_tokens}, "
        f"{item.cost:.3f} s"
    )
