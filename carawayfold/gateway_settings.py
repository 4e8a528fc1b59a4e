"""Declares the settings of a forwarding router and checks their values."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from expression import Ok, Result

from carawayfold.checked import HOST, MAX_NAME_LENGTH, NAME
from carawayfold.coordination.scheduling.features import SchedulingFeatures
from carawayfold.settings import (
    LOG_LEVELS,
    REQUIRED,
    Address,
    Setting,
    anything,
    check_table,
    in_range,
    not_empty,
    one_of,
    read_object,
    valid_address,
)
from carawayfold.state.budget import BudgetBounds
from carawayfold.state.ids import DataCentreId, RegionId, RouterId

if TYPE_CHECKING:
    from pathlib import Path

#: Share of the file descriptors for callers' connections. A request uses one connection
#: of a caller and one to an endpoint; idle connections of callers are additional.
CALLER_DESCRIPTOR_SHARE = 0.55
#: MiB that the router itself needs at the size of the largest fleet.
OWN_MEMORY = 64.0
#: Least MiB for callers, so that a request of the usual limit of 4 MiB finds room.
MIN_CALLERS_MEMORY = 16.0
#: Shares of the remaining memory for requests, and for answers that callers have not
#: read. The rest is for copies of requests on their way to endpoints.
HELD_SHARE = 0.4
UNSENT_SHARE = 0.2
#: File descriptors for other purposes than connections of callers and to endpoints:
#: listening sockets, connections of peers, health checks and scrapers, and files.
RESERVED_DESCRIPTORS = 64


def valid_regions(value: dict[str, Any]) -> str:
    """Check for a mapping of data centres to names of regions."""
    for data_centre, region in value.items():
        if not isinstance(region, str) or not region:
            return f"the region of {data_centre} must be a non-empty string"
    return ""


def valid_name(value: str) -> str:
    """Check for a name that peers accept."""
    message = not_empty(value)
    if message or _is_valid(value, NAME):
        return message
    return f"must be text of at most {MAX_NAME_LENGTH} characters"


def valid_router(value: str) -> str:
    """Check for a name under which a router can write its entry to the store."""
    message = valid_name(value)
    if message:
        return message
    if len(value.encode()) > MAX_NAME_LENGTH:
        return f"must have at most {MAX_NAME_LENGTH} bytes"
    return "must contain no slash or backslash" if set(value) & set("/\\") else ""


def valid_peer_address(value: str) -> str:
    """Check for an address on which the peers reach this router."""
    message = valid_address(value)
    if message or _is_valid(value.rpartition(":")[0], HOST):
        return message
    return "must have the numeric IPv4 address of this instance"


def _is_valid(value: str, check: msgspec.Meta) -> bool:
    try:
        msgspec.convert(value, Annotated[str, check])
    except msgspec.ValidationError:
        return False
    return True


#: All settings of a forwarding router.
TABLE: tuple[Setting, ...] = (
    Setting("router", str, REQUIRED, "", valid_router, "Name of this instance."),
    Setting(
        "data_centre", str, REQUIRED, "", valid_name, "Data centre of this instance."
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
        "ready_listen",
        str,
        REQUIRED,
        "",
        valid_address,
        "Address for the load balancer's health checks.",
    ),
    Setting(
        "peer_listen",
        str,
        REQUIRED,
        "",
        valid_peer_address,
        "Address for peers (UDP and HTTP) and metrics.",
    ),
    Setting(
        "store", str, REQUIRED, "", valid_address, "Address of the platform's store."
    ),
    Setting(
        "core_share",
        float,
        1.0,
        "",
        in_range(0.01, 64),
        "Processor cores available to this instance.",
    ),
    Setting(
        "core_speed",
        float,
        1.0,
        "",
        in_range(0.01, 64),
        "Speed of one core, relative to a standard core.",
    ),
    Setting(
        "descriptors",
        int,
        4096,
        "",
        in_range(256, 1e6),
        "Most file descriptors, for sockets and files.",
    ),
    Setting(
        "memory",
        float,
        128.0,
        "MiB",
        in_range(16, 1e6),
        "Memory of this instance; callers' requests and answers may use what the "
        "router itself does not need.",
    ),
    Setting("regions", dict, {}, "", valid_regions, "Region of each data centre."),
    Setting(
        "stop_grace",
        float,
        8.0,
        "s",
        in_range(0, 3600),
        "Seconds from SIGTERM until the process is killed.",
    ),
    Setting(
        "retry_ratio", float, 0.2, "", in_range(0, 1), "Retries allowed per request."
    ),
    Setting(
        "retry_extra",
        float,
        10.0,
        "",
        in_range(0, 1e6),
        "Retries of the fleet allowed in each window in addition to retry_ratio.",
    ),
    Setting(
        "retry_window",
        float,
        10.0,
        "s",
        in_range(0.1, 600),
        "Window in which requests and retries are counted.",
    ),
    Setting(
        "share_window",
        float,
        4.0,
        "s",
        in_range(0.1, 600),
        "Window over which shares of the organisations are balanced.",
    ),
    Setting(
        "balance_pools",
        bool,
        False,
        "",
        anything,
        "Whether requests are first offered to a pool with a short wait.",
    ),
    Setting(
        "reuse_connections",
        bool,
        False,
        "",
        anything,
        "Whether endpoints with an open connection are preferred.",
    ),
    Setting(
        "endpoint_load",
        bool,
        False,
        "",
        anything,
        "Whether the speed and load that endpoints state in answers are used.",
    ),
    Setting(
        "schedule_returns",
        bool,
        False,
        "",
        anything,
        "Whether rejected requests return in the order of a schedule.",
    ),
    Setting(
        "remote_cost",
        float,
        0.0,
        "s/MB",
        in_range(0, 1000),
        "Wait that a megabyte between data centres is worth; 0: constant penalty.",
    ),
    Setting(
        "log_level", str, "info", "", one_of(*LOG_LEVELS), "Least level that is logged."
    ),
)


class GatewaySettings(msgspec.Struct, frozen=True):
    """Checked settings; `TABLE` states their units and meaning."""

    router: RouterId
    data_centre: DataCentreId
    listen: Address
    ready_listen: Address
    peer_listen: Address
    store: Address
    core_share: float
    core_speed: float
    descriptors: int
    stop_grace: float
    retry_ratio: float
    retry_extra: float
    retry_window: float
    share_window: float
    regions: dict[DataCentreId, RegionId]
    log_level: str
    memory: float = 128.0
    balance_pools: bool = False
    reuse_connections: bool = False
    endpoint_load: bool = False
    schedule_returns: bool = False
    remote_cost: float = 0.0

    @property
    def processor(self) -> int:
        """Return the processor capacity, in hundredths of a standard core."""
        return max(1, round(100 * self.core_share * self.core_speed))

    @property
    def connections(self) -> int:
        """Return the limit of callers' connections; the rest is for endpoints."""
        return int(self.descriptors * CALLER_DESCRIPTOR_SHARE)

    @property
    def callers_memory(self) -> int:
        """Return the most bytes that callers' requests and unread answers may use."""
        return int(max(MIN_CALLERS_MEMORY, self.memory - OWN_MEMORY) * 2**20)

    @property
    def held_limit(self) -> int:
        """Return the most bytes that callers' requests may hold."""
        return int(HELD_SHARE * self.callers_memory)

    @property
    def unsent_limit(self) -> int:
        """Return the most bytes of answers that wait for callers to read them."""
        return int(UNSENT_SHARE * self.callers_memory)

    @property
    def outgoing_connections(self) -> int:
        """Return the number of open connections to others that idle ones count in."""
        return max(1, self.descriptors - self.connections - RESERVED_DESCRIPTORS)

    @property
    def budget(self) -> BudgetBounds:
        """Return the fleet's limits on retries."""
        return BudgetBounds(self.retry_ratio, self.retry_extra, self.retry_window)

    @property
    def features(self) -> SchedulingFeatures:
        """Return the optional decisions of the schedulers."""
        return SchedulingFeatures(
            balance_pools=self.balance_pools,
            reuse_connections=self.reuse_connections,
            endpoint_load=self.endpoint_load,
            schedule_returns=self.schedule_returns,
            remote_cost=self.remote_cost,
        )


def load(path: Path) -> Result[GatewaySettings, list[str]]:
    """Read and check the settings file at `path`, a JSON file with comments."""
    values = read_object(path)
    if values.is_error():
        return values
    return check(values.ok, str(path))


def check(values: dict[str, Any], source: str) -> Result[GatewaySettings, list[str]]:
    """Check `values`, read from the file `source`, against `TABLE`."""
    checked = check_table(TABLE, values, source)
    if checked.is_error():
        return checked
    found = dict(checked.ok)
    for name in ("listen", "ready_listen", "peer_listen", "store"):
        found[name] = Address.parse(found[name])
    return Ok(GatewaySettings(**found))
