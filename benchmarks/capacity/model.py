"""What each role costs a node at a size: measured slopes times sizes."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from carawayfold.coordination.requests.claims import (
    MAX_FLEET_APPENDS_PER_SECOND,
    MIN_APPEND_INTERVAL,
)

if TYPE_CHECKING:
    from benchmarks.capacity.slopes import Slope

#: Seconds of a day.
DAY = 86400
#: Heartbeats a second at which the slopes were measured (setting ``exchange``).
BEATS = 5.0
#: Seconds for which a peer's idle row is kept.
PEER_ROW_TIMEOUT = 30.0
#: Seconds for which a key is remembered (setting ``key_lifetime``).
KEY_LIFETIME = 900
#: Bytes of one change on the log, and of its base64 form in a read.
CHANGE_BYTES = 188 * 4 / 3
#: Share of the requests that carry an idempotency key; an assumption.
KEYED = 0.1
#: Organisations with histograms of their own (bounded in the code).
HISTOGRAMS = 64
#: Pools that one router grants on average.
POOLS_GRANTED = 2


@dataclass(frozen=True)
class Size:
    """One column of the page.

    Attributes
    ----------
    mesh : bool
        Whether all routers are linked, or only those of one data centre.
    beats : float
        Heartbeats a second.
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
        """Return the links of one node: all others, or those of its data centre."""
        return (self.nodes if self.mesh else self.nodes / self.data_centres) - 1

    @property
    def rows(self) -> float:
        """Return the rows a node keeps of itself, or of one peer, at most."""
        return min(self.organisations, self.node_requests * PEER_ROW_TIMEOUT)

    @property
    def node_requests(self) -> float:
        """Return requests a second of one node."""
        return self.requests / self.nodes

    @property
    def node_tokens(self) -> float:
        """Return tokens a second of one node."""
        return self.tokens / self.nodes

    @property
    def claims(self) -> float:
        """Return claims a second of the fleet."""
        return self.requests * KEYED


#: Today's rates are not in the brief: ten requests a second a node are assumed.
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
    """What one role costs a node; None where nothing was measured for it.

    Attributes
    ----------
    role : str
        The role.
    module : str
        Where its mechanism lives.
    cpu : float
        Per cent of a core.
    memory : float
        Bytes.
    sent : float
        Bytes a second on links to peers and in reads of the log.
    messages : float
        Messages a second.
    control : bool
        Whether it counts against the letter's budget for control.
    stretched : bool
        Whether a size lies more than ten times past the largest measured one.
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
    # Microseconds a heartbeat, as per cent of a core.
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
    # The log is asked once a second where nothing changes.
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
    """Return appends a second of the fleet for claims, and for their ends."""
    return min(
        2 * size.claims, MAX_FLEET_APPENDS_PER_SECOND, size.nodes / MIN_APPEND_INTERVAL
    )


def _metrics(slopes: dict[str, Slope]) -> Cost:
    memory = slopes["metrics: memory"].each(HISTOGRAMS)
    return Cost("metrics and logs", "state/metrics.py", 0.0, memory, 0.0, 0.0)
