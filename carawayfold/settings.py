"""Declares the settings of a router and checks their values."""

from __future__ import annotations

import ipaddress
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import json5
import msgspec
from expression import Error, Ok, Result

from carawayfold.checked import HOST, PORT

if TYPE_CHECKING:
    from collections.abc import Callable

#: Scheduling policies; all but ``granted`` are baselines for benchmarks.
SCHEDULING_POLICIES = ("granted", "alone", "first-come")
#: Log levels, in ascending order of severity.
LOG_LEVELS = ("debug", "info", "notice", "warning", "error")


class Setting(msgspec.Struct, frozen=True):
    """One row of the settings table.

    Attributes
    ----------
    name : str
        Key in the settings file.
    kind : type
        Type of the value.
    default : object
        Default value; `REQUIRED` if there is none.
    unit : str
        Unit of the value, or an empty string.
    check : callable
        Returns an error message for an invalid value, or an empty string.
    meaning : str
        Description for operators.
    """

    name: str
    kind: type
    default: Any
    unit: str
    check: Callable[[Any], str]
    meaning: str


class Required:
    """Marker for a setting without a default."""


#: Default of a setting that must be given.
REQUIRED = Required()


def anything(_value: object) -> str:
    """Accept every value."""
    return ""


def not_empty(value: str) -> str:
    """Check for a non-empty string."""
    return "" if value else "must not be empty"


def in_range(low: float, high: float) -> Callable[[float], str]:
    """Return a check for a number from `low` to `high`, both included."""

    def check(value: float) -> str:
        return "" if low <= value <= high else f"must be from {low} to {high}"

    return check


def one_of(*allowed: str) -> Callable[[str], str]:
    """Return a check for one of the `allowed` strings."""

    def check(value: str) -> str:
        return "" if value in allowed else f"must be one of {', '.join(allowed)}"

    return check


def valid_address(value: str) -> str:
    """Check for an address of the form ``IP:port``."""
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return "must be IP:port with an IP address, for example 127.0.0.1:8080"
    if not port.isdigit() or int(port) > 65535:
        return "must be IP:port with a port from 0 to 65535"
    return ""


def valid_addresses(value: list[Any]) -> str:
    """Check for a list of addresses of the form ``IP:port``."""
    for item in value:
        message = valid_address(item) if isinstance(item, str) else "must be a string"
        if message:
            return f"{item!r} {message}"
    return ""


def valid_secret(value: str) -> str:
    """Check for a secret of at least 16 characters."""
    return "" if len(value) >= 16 else "must have at least 16 characters"


def valid_tokens(value: dict[str, Any]) -> str:
    """Check for a mapping of operator names to tokens of at least 16 characters."""
    for name, token in value.items():
        if not isinstance(token, str) or len(token) < 16:
            return f"the token of {name} must be a string of at least 16 characters"
    return ""


#: All settings of a router.
TABLE: tuple[Setting, ...] = (
    Setting("router", str, REQUIRED, "", not_empty, "Name of this instance."),
    Setting(
        "data_centre", str, REQUIRED, "", not_empty, "Data centre of this instance."
    ),
    Setting(
        "listen",
        str,
        REQUIRED,
        "",
        valid_address,
        "Address for callers' HTTP requests.",
    ),
    Setting(
        "peer_listen",
        str,
        REQUIRED,
        "",
        valid_address,
        "Address for RPC of peers and operators.",
    ),
    Setting(
        "fleet_secret",
        str,
        REQUIRED,
        "",
        valid_secret,
        "Secret shared by all routers of the fleet.",
    ),
    Setting(
        "operators", dict, {}, "", valid_tokens, "Token of each operator, by name."
    ),
    Setting(
        "log",
        str,
        REQUIRED,
        "",
        valid_address,
        "Address of the platform's log service.",
    ),
    Setting(
        "instances",
        str,
        REQUIRED,
        "",
        valid_address,
        "Address of the platform's list of instances.",
    ),
    Setting(
        "seeds",
        list,
        [],
        "",
        valid_addresses,
        "Addresses of peers to fetch the configuration from at the start.",
    ),
    Setting(
        "scheduling",
        str,
        "granted",
        "",
        one_of(*SCHEDULING_POLICIES),
        "Scheduling policy.",
    ),
    Setting(
        "routers_alone",
        int,
        1,
        "",
        in_range(1, 1000),
        "Routers among which the policy 'alone' divides the slots of each endpoint.",
    ),
    Setting(
        "queue_organisation",
        int,
        500,
        "requests",
        in_range(1, 100000),
        "Most waiting requests of one organisation.",
    ),
    Setting(
        "queue_total",
        int,
        5000,
        "requests",
        in_range(1, 1000000),
        "Most waiting requests of all organisations.",
    ),
    Setting(
        "connections",
        int,
        4096,
        "",
        in_range(1, 100000),
        "Most connections of callers.",
    ),
    Setting(
        "body_limit",
        int,
        1048576,
        "bytes",
        in_range(1, 1 << 28),
        "Most bytes of a request body.",
    ),
    Setting(
        "header_limit",
        int,
        16384,
        "bytes",
        in_range(512, 1 << 20),
        "Most bytes of the request headers.",
    ),
    Setting(
        "header_timeout",
        float,
        10.0,
        "s",
        in_range(0.05, 300),
        "Seconds in which a request must be received.",
    ),
    Setting(
        "deadline",
        float,
        60.0,
        "s",
        in_range(0.1, 3600),
        "Seconds until a request must start, unless its caller states a timeout.",
    ),
    Setting(
        "connect_timeout",
        float,
        1.0,
        "s",
        in_range(0.01, 60),
        "Seconds for connecting to an endpoint.",
    ),
    Setting(
        "silence",
        float,
        10.0,
        "s",
        in_range(0.1, 600),
        "Seconds without a byte from an endpoint after which an answer is aborted.",
    ),
    Setting(
        "stop_grace",
        float,
        60.0,
        "s",
        in_range(0, 3600),
        "Seconds for finishing requests when the router stops.",
    ),
    Setting(
        "retry_budget",
        float,
        0.1,
        "ratio",
        in_range(0, 1),
        "Retries allowed per request.",
    ),
    Setting(
        "spread_delay",
        float,
        0.02,
        "s",
        in_range(0, 60),
        "Seconds that a request waits before it is offered to other data centres.",
    ),
    Setting(
        "exchange",
        float,
        0.2,
        "s",
        in_range(0.01, 10),
        "Seconds between heartbeats to peers, which report the service received.",
    ),
    Setting(
        "checkpoint",
        float,
        300.0,
        "s",
        in_range(1, 86400),
        "Most seconds between checkpoints of the configuration.",
    ),
    Setting(
        "key_lifetime",
        float,
        900.0,
        "s",
        in_range(60, 86400),
        "Seconds for which an idempotency key stays claimed.",
    ),
    Setting(
        "mesh_limit",
        int,
        32,
        "routers",
        in_range(1, 1000),
        "Most routers of a fleet that is linked as a full mesh.",
    ),
    Setting(
        "log_level", str, "info", "", one_of(*LOG_LEVELS), "Least level that is logged."
    ),
)


class Address(msgspec.Struct, frozen=True):
    """An IP address and a port; one that is decoded is that of a host.

    Attributes
    ----------
    host : str
        IP address.
    port : int
        Port.
    """

    host: Annotated[str, HOST]
    port: Annotated[int, PORT]

    @classmethod
    def parse(cls, text: str) -> Address:
        """Return the address that `text` states as ``IP:port``."""
        host, _, port = text.rpartition(":")
        return cls(host, int(port))

    def __str__(self) -> str:
        return f"{self.host}:{self.port}"


class Settings(msgspec.Struct, frozen=True):
    """Checked settings of one router; `TABLE` states their units and meaning."""

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
        The settings, or all error messages, each with the file and the setting.
    """
    values = read_object(path)
    if values.is_error():
        return values
    return check(values.ok, str(path))


def read_object(path: Path) -> Result[dict[str, Any], list[str]]:
    """Return the object in a JSON file with comments, or the error message."""
    try:
        values = json5.loads(path.read_text(encoding="utf-8"))
    except (OSError, ValueError) as error:
        return Error([f"{path}: {error}"])
    if not isinstance(values, dict):
        return Error([f"{path}: must contain one JSON object"])
    return Ok(values)


def check(values: dict[str, Any], source: str) -> Result[Settings, list[str]]:
    """Check `values`, read from the file `source`, against `TABLE`."""
    checked = check_table(TABLE, values, source)
    if checked.is_error():
        return checked
    return Ok(Settings(**_convert(checked.ok)))


def check_table(
    table: tuple[Setting, ...], values: dict[str, Any], source: str
) -> Result[dict[str, Any], list[str]]:
    """Return the value of every setting of `table`, or all errors in `values`.

    Parameters
    ----------
    table : tuple of Setting
        The declared settings.
    values : dict
        Values by key.
    source : str
        Name of the file, for the messages.

    Returns
    -------
    Result of dict or list of str
        The values, with defaults for those not given, or all error messages.
    """
    names = [setting.name for setting in table]
    messages = [
        f"{source}: {name}: no such setting (allowed: {', '.join(names)})"
        for name in values
        if name not in names
    ]
    checked: dict[str, Any] = {}
    for setting in table:
        value = values.get(setting.name, setting.default)
        message = _validate(setting, value)
        if message:
            messages.append(f"{source}: {setting.name}: {message}")
        checked[setting.name] = value
    return Error(messages) if messages else Ok(checked)


def _validate(setting: Setting, value: object) -> str:
    if value is REQUIRED:
        return f"is required ({setting.meaning})"
    if setting.kind is float and type(value) is int:
        value = float(value)
    if type(value) is not setting.kind:
        return f"must be of type {setting.kind.__name__}, is {value!r}"
    message = setting.check(value)
    return f"{message}, is {value!r}" if message else ""


def _convert(values: dict[str, Any]) -> dict[str, Any]:
    for name in ("listen", "peer_listen", "log", "instances"):
        values[name] = Address.parse(values[name])
    values["seeds"] = tuple(Address.parse(seed) for seed in values["seeds"])
    return values
