"""Costs of each role per node, from measured slopes and sizes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from carawayfold.coordination.requests.claims import (
    MAX_FLEET_APPENDS_PER_SECOND,
    MIN_APPEND_INTERVAL,
)

if TYPE_CHECKING:
    from benchmarks.capacity.slopes import Slope

#: Seconds per day.
DAY = 86400
#: Heartbeats per second during the measurement (setting ``exchange``).
BEATS = 5.0
#: Seconds for which a peer's idle row is kept.
PEER_ROW_TIMEOUT = 30.0
#: Seconds for which a key is kept (setting ``key_lifetime``).
KEY_LIFETIME = 900
#: Bytes of one change in a read of the log, which is encoded as base64.
CHANGE_BYTES = 188 * 4 / 3
#: Assumed fraction of requests with an idempotency key.
KEYED = 0.1
#: Maximum number of organisations with histograms.
HISTOGRAMS = 64
#: Mean number of pools that a router leads.
POOLS_GRANTED = 2


@dataclass(frozen=True)
class Size:
    """Size of a fleet, a column of the page.

    Attributes
    ----------
    mesh : bool
        Whether all routers are linked, or only those of one data centre.
    beats : float
        Heartbeats per second.
    """

    name: str
    nodes: int
    organisations: int
    backlogged: int
    requests: float
    tokens: float
    changes: float
    data_centres: int
    endpoints: int
    mesh: bool = True
    beats: float = BEATS

    @property
    def peers(self) -> float:
        """Return the number of links of a node."""
        return (self.nodes if self.mesh else self.nodes / self.data_centres) - 1

    @property
    def rows(self) -> float:
        """Return the maximum number of rows kept of a node."""
        return min(self.organisations, self.node_requests * PEER_ROW_TIMEOUT)

    @property
    def node_requests(self) -> float:
        """Return the requests per second of a node."""
        return self.requests / self.nodes

    @property
    def node_tokens(self) -> float:
        """Return the tokens per second of a node."""
        return self.tokens / self.nodes

    @property
    def claims(self) -> float:
        """Return the claims per second of the fleet."""
        return self.requests * KEYED


#: Ten requests per second and node are assumed for the two smallest.
SIZES = (
    Size("Altiplano today", 6, 16, 16, 60, 6_000, 20, 3, 9),
    Size("Bantayog today", 8, 16, 16, 80, 8_000, 20, 4, 9),
    Size("Letter 1, all linked", 360, 13_000, 1_300, 13_000, 2_600_000, 870, 11, 610),
    Size(
        "Letter 1, `mesh_limit` and `exchange: 1`",
        360,
        13_000,
        1_300,
        13_000,
        2_600_000,
        870,
        11,
        610,
        mesh=False,
        beats=1.0,
    ),
)


@dataclass
class Cost:
    """Cost of one role per node; None if it was not measured.

    Attributes
    ----------
    role : str
        The role.
    module : str
        Module that implements it.
    cpu : float
        Percentage of a core.
    memory : float
        Bytes.
    sent : float
        Bytes per second on links to peers and in reads of the log.
    messages : float
        Messages per second.
    control : bool
        Whether it counts against the budget for control.
    stretched : bool
        Whether a size is more than ten times the largest measured one.
    """

    role: str
    module: str
    cpu: float
    memory: float
    sent: float
    messages: float
    control: bool = True
    stretched: bool = False


def costs(slopes: dict[str, Slope], size: Size) -> list[Cost]:
    """Return the costs of every role at `size`."""
    return [
        _edge(slopes, size),
        _scheduling(slopes, size),
        _exchange(slopes, size),
        _configuration(slopes, size),
        _claims(slopes, size),
        _metrics(slopes),
    ]


def _edge(slopes: dict[str, Slope], size: Size) -> Cost:
    seconds = size.node_tokens / size.node_requests * 0.038
    streams = size.node_requests * seconds
    cpu = slopes["caller edge: requests"].each(size.node_requests)
    cpu += slopes["caller edge: tokens"].each(size.node_tokens)
    memory = slopes["caller edge: memory"].each(streams)
    messages = 2 * size.node_tokens
    module = "transport/server.py, transport/client.py, coordination/requests/relay.py"
    return Cost(
        "caller edge and endpoint connections", module, cpu, memory, 0, messages, False
    )


def _scheduling(slopes: dict[str, Slope], size: Size) -> Cost:
    cpu = slopes["scheduling: grants, processor"].each(size.node_requests)
    memory = slopes["scheduling: granter memory"].each(POOLS_GRANTED * size.backlogged)
    sent = slopes["scheduling: grants, sent"].each(size.node_requests)
    module = "coordination/slots: pool.py, dispatch.py, reporting.py"
    messages = 2 * size.node_requests
    return Cost("queueing and scheduling", module, cpu, memory, sent, messages)


def _exchange(slopes: dict[str, Slope], size: Size) -> Cost:
    often = size.beats / BEATS
    cpu = slopes["exchange: heartbeats, processor"].each(size.peers) * often
    # Converts microseconds per heartbeat into a percentage of a core.
    tidying = slopes["exchange: tidying at a heartbeat"].each(size.rows)
    cpu += tidying * size.beats * 1e-4
    sent = slopes["exchange: heartbeats, sent"].each(size.peers) * often
    rows = slopes["exchange: memory of own rows"].each(size.rows)
    seen = slopes["exchange: memory of peers' rows"].each(size.rows) * size.peers
    links = slopes["membership: resident memory"].each(size.peers)
    memory = rows + seen + links
    module = "coordination/slots: exchange.py, service_accounts.py"
    messages = size.beats * size.peers
    stretched = not slopes["exchange: heartbeats, sent"].reaches(size.peers)
    return Cost(
        "exchange and membership",
        module,
        cpu,
        memory,
        sent,
        messages,
        stretched=stretched,
    )


def _configuration(slopes: dict[str, Slope], size: Size) -> Cost:
    rate = size.changes / DAY
    taking = slopes["configuration: taking a change"].each(size.organisations)
    memory = slopes["configuration: memory"].each(size.organisations)
    memory += slopes["endpoints: memory of pools"].each(size.endpoints)
    taking += slopes["endpoints: forming pools anew"].each(size.endpoints)
    module = "coordination/knowledge/configuration.py, state/configuration.py"
    # The log is read once a second while nothing changes.
    return Cost(
        "configuration", module, taking * rate / 10, memory, rate * CHANGE_BYTES, 1.0
    )


def _claims(slopes: dict[str, Slope], size: Size) -> Cost:
    cpu = slopes["claims: taking"].each(size.claims) * 1e-4
    memory = slopes["claims: memory"].each(size.claims * KEY_LIFETIME)
    sent = slopes["claims: log, in batches of ten"].each(size.claims) * 4 / 3
    module = "coordination/requests/claims.py, state/claims.py"
    stretched = not slopes["claims: memory"].reaches(size.claims * KEY_LIFETIME)
    return Cost(
        "keys of requests run at most once",
        module,
        cpu,
        memory,
        sent,
        appends(size) / size.nodes,
        stretched=stretched,
    )


def appends(size: Size) -> float:
    """Return the fleet's appends per second for claims and for their ends."""
    return min(
        2 * size.claims, MAX_FLEET_APPENDS_PER_SECOND, size.nodes / MIN_APPEND_INTERVAL
    )


def _metrics(slopes: dict[str, Slope]) -> Cost:
    memory = slopes["metrics: memory"].each(HISTOGRAMS)
    return Cost("metrics and logs", "state/metrics.py", 0.0, memory, 0.0, 0.0)
