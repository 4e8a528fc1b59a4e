"""The declared settings of a router that forwards, and their checks."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from expression import Ok, Result

from carawayfold.settings import (
    LOG_LEVELS,
    REQUIRED,
    Address,
    Setting,
    address,
    between,
    check_table,
    not_empty,
    one_of,
    read_object,
)
from carawayfold.state.budget import BudgetBounds
from carawayfold.state.ids import DataCentreId, RegionId, RouterId

if TYPE_CHECKING:
    from pathlib import Path

#: Part of the descriptors for callers' connections. A request holds one connection
#: of a caller and one to an endpoint, and idle ones of callers come on top.
CALLERS_PART = 0.55


def region_names(value: dict[str, Any]) -> str:
    """Accept data centres with the names of their regions."""
    for data_centre, region in value.items():
        if not isinstance(region, str) or not region:
            return f"the region of {data_centre} must be a text that is not empty"
    return ""


#: Every setting of a router that forwards.
TABLE: tuple[Setting, ...] = (
    Setting("router", str, REQUIRED, "", not_empty, "Name of this instance."),
    Setting("data_centre", str, REQUIRED, "", not_empty, "Where it stands."),
    Setting("listen", str, REQUIRED, "", address, "Callers' HTTP address."),
    Setting("ready_listen", str, REQUIRED, "", address, "The balancer's checks."),
    Setting("peer_listen", str, REQUIRED, "", address, "Peers (UDP, HTTP), metrics."),
    Setting("store", str, REQUIRED, "", address, "The platform's store."),
    Setting("core_share", float, 1.0, "", between(0.01, 64), "Of a core, for it."),
    Setting("core_speed", float, 1.0, "", between(0.01, 64), "To a usual core's."),
    Setting("descriptors", int, 4096, "", between(256, 1e6), "Sockets, files."),
    Setting("regions", dict, {}, "", region_names, "Region of each data centre."),
    Setting("stop_grace", float, 8.0, "s", between(0, 3600), "From SIGTERM to kill."),
    Setting("retry_ratio", float, 0.2, "", between(0, 1), "Repeats a request."),
    Setting("retry_extra", float, 10.0, "", between(0, 1e6), "Repeats besides."),
    Setting("retry_window", float, 10.0, "s", between(0.1, 600), "Of both."),
    Setting("share_window", float, 4.0, "s", between(0.1, 600), "Of fair shares."),
    Setting("log_level", str, "info", "", one_of(*LOG_LEVELS), "Least level shown."),
)


class GatewaySettings(msgspec.Struct, frozen=True):
    """Checked settings; see `TABLE` for units and meaning."""

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

    @property
    def processor(self) -> int:
        """Return what the processor can do, in hundredths of a usual core."""
        return max(1, round(100 * self.core_share * self.core_speed))

    @property
    def connections(self) -> int:
        """Return the most connections of callers; the rest is for endpoints' ones."""
        return int(self.descriptors * CALLERS_PART)

    @property
    def budget(self) -> BudgetBounds:
        """Return the fleet's bounds on repeats."""
        return BudgetBounds(self.retry_ratio, self.retry_extra, self.retry_window)


def load(path: Path) -> Result[GatewaySettings, list[str]]:
    """Read and check the settings file at `path`, JSON with comments."""
    values = read_object(path)
    if values.is_error():
        return values
    return check(values.ok, str(path))


def check(values: dict[str, Any], source: str) -> Result[GatewaySettings, list[str]]:
    """Check `values`, read from `source`, against the table."""
    checked = check_table(TABLE, values, source)
    if checked.is_error():
        return checked
    found = dict(checked.ok)
    for name in ("listen", "ready_listen", "peer_listen", "store"):
        found[name] = Address.parse(found[name])
    return Ok(GatewaySettings(**found))
