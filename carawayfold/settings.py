"""The declared settings of a router and their checks."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import TYPE_CHECKING, Any

import json5
import msgspec
from expression import Error, Ok, Result

if TYPE_CHECKING:
    from collections.abc import Callable

#: Scheduling policies; all but ``granted`` are baselines for measurement.
SCHEDULING = ("granted", "alone", "first-come")
LOG_LEVELS = ("debug", "info", "notice", "warning", "error")


class Setting(msgspec.Struct, frozen=True):
    """One row of the settings table.

    Attributes
    ----------
    name : str
        Name in the file.
    kind : type
        Type of the value.
    default : object
        Default; `REQUIRED` where there is none.
    unit : str
        Unit, or an empty string.
    check : callable
        Takes the value and returns what is wrong with it, or an empty string.
    meaning : str
        One sentence for operators.
    """

    name: str
    kind: type
    default: Any
    unit: str
    check: Callable[[Any], str]
    meaning: str


class Required:
    """Marks a setting without a default."""


REQUIRED = Required()


def anything(_value: object) -> str:
    """Accept every value."""
    return ""


def not_empty(value: str) -> str:
    """Accept a text that is not empty."""
    return "" if value else "must not be empty"


def between(least: float, most: float) -> Callable[[float], str]:
    """Return a check for a number from `least` to `most`."""

    def check(value: float) -> str:
        return "" if least <= value <= most else f"must be from {least} to {most}"

    return check


def one_of(*allowed: str) -> Callable[[str], str]:
    """Return a check for one of the `allowed` words."""

    def check(value: str) -> str:
        return "" if value in allowed else f"must be one of {', '.join(allowed)}"

    return check


def address(value: str) -> str:
    """Accept ``IP:port``."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return "must be IP:port with an IP number, for example 127.0.0.1:8080"
    if not port.isdigit() or int(port) > 65535:
        return "must be IP:port with a port from 0 to 65535"
    return ""


def addresses(value: list[Any]) -> str:
    """Accept a list of ``IP:port``."""
    for item in value:
        fault = address(item) if isinstance(item, str) else "must hold texts"
        if fault:
            return f"{item!r} {fault}"
    return ""


def at_least_16(value: str) -> str:
    """Accept a secret of at least 16 characters."""
    return "" if len(value) >= 16 else "must have at least 16 characters"


def tokens(value: dict[str, Any]) -> str:
    """Accept operator names with their tokens."""
    for name, token in value.items():
        if not isinstance(token, str) or len(token) < 16:
            return f"the token of {name} must be a text of at least 16 characters"
    return ""


#: Every setting of a router.
TABLE: tuple[Setting, ...] = (
    Setting("router", str, REQUIRED, "", not_empty, "Name of this instance."),
    Setting("data_centre", str, REQUIRED, "", not_empty, "Where it stands."),
    Setting("listen", str, REQUIRED, "", address, "Callers' HTTP address."),
    Setting("peer_listen", str, REQUIRED, "", address, "Peers' and operators' RPC."),
    Setting("fleet_secret", str, REQUIRED, "", at_least_16, "Shared by the routers."),
    Setting("operators", dict, {}, "", tokens, "Operators' tokens by name."),
    Setting("log", str, REQUIRED, "", address, "The platform's log service."),
    Setting("instances", str, REQUIRED, "", address, "The platform's instance list."),
    Setting("seeds", list, [], "", addresses, "Peers to hand over configuration."),
    Setting("scheduling", str, "granted", "", one_of(*SCHEDULING), "Policy."),
    Setting("routers_alone", int, 1, "", between(1, 1000), "Fleet size of baselines."),
    Setting("queue_organisation", int, 500, "requests", between(1, 100000), "Bound."),
    Setting("queue_total", int, 5000, "requests", between(1, 1000000), "Bound."),
    Setting("connections", int, 4096, "", between(1, 100000), "Callers' connections."),
    Setting("body_limit", int, 1048576, "bytes", between(1, 1 << 28), "Request body."),
    Setting("header_limit", int, 16384, "bytes", between(512, 1 << 20), "Headers."),
    Setting("header_timeout", float, 10.0, "s", between(0.05, 300), "Slow requests."),
    Setting("deadline", float, 60.0, "s", between(0.1, 3600), "Default deadline."),
    Setting("connect_timeout", float, 1.0, "s", between(0.01, 60), "To an endpoint."),
    Setting("silence", float, 10.0, "s", between(0.1, 600), "Longest quiet answer."),
    Setting("stop_grace", float, 60.0, "s", between(0, 3600), "For work at a stop."),
    Setting("retry_budget", float, 0.1, "ratio", between(0, 1), "Retries a request."),
    Setting("spread_delay", float, 0.02, "s", between(0, 60), "Before going far."),
    Setting("exchange", float, 0.2, "s", between(0.01, 10), "Between service reports."),
    Setting("checkpoint", float, 300.0, "s", between(1, 86400), "Between copies."),
    Setting("key_lifetime", float, 900.0, "s", between(60, 86400), "Keys remembered."),
    Setting("mesh_limit", int, 32, "routers", between(1, 1000), "Linked all to all."),
    Setting("log_level", str, "info", "", one_of(*LOG_LEVELS), "Least level shown."),
)


class Address(msgspec.Struct, frozen=True):
    """An IP number and a TCP port."""

    host: str
    port: int

    @classmethod
    def parse(cls, text: str) -> Address:
        """Return the address written as ``IP:port``."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Settings(msgspec.Struct, frozen=True):
    """Checked settings of one router; see `TABLE` for units and meaning."""

    router: str
    data_centre: str
    listen: Address
    peer_listen: Address
    fleet_secret: str
    operators: dict[str, str]
    log: Address
    instances: Address
    seeds: tuple[Address, ...]
    scheduling: str
    routers_alone: int
    queue_organisation: int
    queue_total: int
    connections: int
    body_limit: int
    header_limit: int
    header_timeout: float
    deadline: float
    connect_timeout: float
    silence: float
    stop_grace: float
    retry_budget: float
    spread_delay: float
    exchange: float
    checkpoint: float
    key_lifetime: float
    mesh_limit: int
    log_level: str


def load(path: Path) -> Result[Settings, list[str]]:
    """Read and check the settings file at `path`.

    Parameters
    ----------
    path : Path
        A JSON file with comments.

    Returns
    -------
    Result of Settings or list of str
        The settings, or every fault with its file and path.
    """
    values = read_object(path)
    if values.is_error():
        return values
    return check(values.ok, str(path))


def read_object(path: Path) -> Result[dict[str, Any], list[str]]:
    """Return the one object in a file of JSON with comments."""
    try:
        values = json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Error([f"{path}: {error}"])
    if not isinstance(values, dict):
        return Error([f"{path}: must hold one object"])
    return Ok(values)


def check(values: dict[str, Any], source: str) -> Result[Settings, list[str]]:
    """Check `values`, read from `source`, against the table."""
    checked = check_table(TABLE, values, source)
    if checked.is_error():
        return checked
    return Ok(Settings(**_convert(checked.ok)))


def check_table(
    table: tuple[Setting, ...], values: dict[str, Any], source: str
) -> Result[dict[str, Any], list[str]]:
    """Return the value of every setting of `table`, or every fault of `values`."""
    names = [setting.name for setting in table]
    faults = [
        f"{source}: {name}: no such setting (allowed: {', '.join(names)})"
        for name in values
        if name not in names
    ]
    checked: dict[str, Any] = {}
    for setting in table:
        value = values.get(setting.name, setting.default)
        fault = _find_fault(setting, value)
        if fault:
            faults.append(f"{source}: {setting.name}: {fault}")
        checked[setting.name] = value
    return Error(faults) if faults else Ok(checked)


def _find_fault(setting: Setting, value: object) -> str:
    if value is REQUIRED:
        return f"is required ({setting.meaning})"
    if setting.kind is float and type(value) is int:
        value = float(value)
    if type(value) is not setting.kind:
        return f"must be of type {setting.kind.__name__}, is {value!r}"
    fault = setting.check(value)
    return f"{fault}, is {value!r}" if fault else ""


def _convert(values: dict[str, Any]) -> dict[str, Any]:
    for name in ("listen", "peer_listen", "log", "instances"):
        values[name] = Address.parse(values[name])
    values["seeds"] = tuple(Address.parse(seed) for seed in values["seeds"])
    return values
