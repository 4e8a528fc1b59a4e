"""A fleet in one process, with real heartbeats on a simulated clock and network."""

from __future__ import annotations

import asyncio
import random
import selectors
from collections import Counter
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from carawayfold.coordination.fleet.fleet import Fleet
from carawayfold.coordination.fleet.membership import Member, PeerState
from carawayfold.protocol.datagrams import Datagram, Heartbeat, decode, encode
from carawayfold.protocol.sources import PeerEntry
from carawayfold.settings import Address

if TYPE_CHECKING:
    from collections.abc import Callable

#: Seconds until a datagram is delivered.
DELAY = 0.001
#: Seconds within which all routers of a fleet start.
START_SPREAD = 0.3
#: Seconds from a router's start until it has read the routers' entries.
LISTING_DELAY = 0.02
#: Processor power in hundredths of a typical core: one instance in `STRONG_INTERVAL`
#: has `STRONG`, the others have `WEAK`.
STRONG_INTERVAL = 13
STRONG = 215
WEAK = 52


class SimulatedSelector(selectors.DefaultSelector):
    """Advances the simulated clock instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 1000.0

    def select(self, timeout=None):
        if timeout:
            self.now += timeout
        return super().select(0)


class SimulatedLoop(asyncio.SelectorEventLoop):
    """An event loop on the simulated clock."""

    def __init__(self) -> None:
        self.simulated_selector = SimulatedSelector()
        super().__init__(self.simulated_selector)

    def time(self):
        return self.simulated_selector.now


def simulate(work):
    """Run the coroutine that `work` returns on a simulated clock."""
    loop = SimulatedLoop()
    try:
        return loop.run_until_complete(work())
    finally:
        loop.close()


class SimulatedSocket:
    """Sends datagrams over the network of a `SimulatedFleet`."""

    def __init__(self, net, router, incarnation, address):
        self.net = net
        self.router = router
        self.incarnation = incarnation
        self.address = address

    def send(self, address, message):
        self.broadcast([address], message)

    def broadcast(self, addresses, message):
        data = encode(Datagram(self.router, self.incarnation, [message]))
        for address in addresses:
            self.net.carry(self, address, data)


@dataclass
class SimulatedFleet:
    """Routers and the network between them.

    Attributes
    ----------
    loss : float
        Fraction of the datagrams that is lost.
    dead : set of str
        Routers that neither send nor receive datagrams.
    apart : set of str
        Data centres that exchange no datagrams with others.
    reads_at : dict of float
        Loop time until which a router that is late reads no datagrams.
    hosts, names : dict
        Host of each router, and the router at each host.
    sent, sent_bytes : Counter
        Number of datagrams, and of their bytes, by sender.
    attach : callable or None
        Returns a further component of a router that takes datagrams and is notified of
        fleet changes, such as its containment.
    fill_beat : callable or None
        Returns a router's heartbeat with the fields of its component filled in.
    """

    seed: int = 1
    loss: float = 0.0
    dead: set[str] = field(default_factory=set)
    apart: set[str] = field(default_factory=set)
    reads_at: dict[str, float] = field(default_factory=dict)
    routers: dict[str, Fleet] = field(default_factory=dict)
    places: dict[str, str] = field(default_factory=dict)
    entries: dict[str, PeerEntry] = field(default_factory=dict)
    sent: Counter = field(default_factory=Counter)
    sent_bytes: Counter = field(default_factory=Counter)
    taken: Counter = field(default_factory=Counter)
    changes: Counter = field(default_factory=Counter)
    tasks: dict[str, asyncio.Task] = field(default_factory=dict)
    attach: Callable[[str, Fleet], object] | None = None
    fill_beat: Callable[[str, Heartbeat], Heartbeat] | None = None
    attached: dict[str, object] = field(default_factory=dict)
    looks: dict[str, asyncio.Task] = field(default_factory=dict)
    hosts: dict[str, str] = field(default_factory=dict)
    names: dict[str, str] = field(default_factory=dict)

    def __post_init__(self):
        self.draw = random.Random(self.seed)
        random.seed(self.seed)
        self.loop = asyncio.get_running_loop()

    def address_of(self, name):
        """Return the address of a router."""
        if name not in self.hosts:
            number = len(self.hosts) + 1
            self.hosts[name] = f"10.0.{number >> 8}.{number & 255}"
            self.names[self.hosts[name]] = name
        return Address(self.hosts[name], 1)

    def name_at(self, address):
        """Return the router with an address, or its host if there is none."""
        return self.names.get(address.host, address.host)

    def carry(self, socket, address, data):
        sender, receiver = socket.router, self.name_at(address)
        self.sent[sender] += 1
        self.sent_bytes[sender] += len(data)
        separated = {self.places[sender], self.places.get(receiver)} & self.apart
        if separated and self.places[sender] != self.places.get(receiver):
            return
        if sender in self.dead or self.draw.random() < self.loss:
            return
        source = self.address_of(sender)
        self.loop.call_later(DELAY, self.deliver, receiver, data, source)

    def deliver(self, receiver, data, source):
        if receiver in self.dead or receiver not in self.routers:
            return
        reads_at = self.reads_at.get(receiver, 0.0)
        if self.loop.time() < reads_at:
            self.loop.call_at(reads_at, self.deliver, receiver, data, source)
            return
        self.taken[receiver] += 1
        datagram = decode(data)
        self.routers[receiver].take(datagram, source)
        if receiver in self.attached:
            self.attached[receiver].take(datagram)

    def start(self, name, place, processor, after=0.0):
        """Start a router, which reads the entries after `LISTING_DELAY`."""
        self.places[name] = place
        self.tasks[name] = self.loop.create_task(self.run(name, processor, after))

    async def run(self, name, processor, after):
        await asyncio.sleep(after)
        incarnation = self.draw.getrandbits(62)
        place = self.places[name]
        own = Member(name, place, incarnation, self.loop.time(), processor=processor)
        socket = SimulatedSocket(self, name, incarnation, self.address_of(name))

        def make_heartbeat():
            stopping = own.state is PeerState.STOPPING
            heartbeat = Heartbeat(place, stopping, 1, 1, 0, processor)
            return (
                self.fill_beat(name, heartbeat) if name in self.attached else heartbeat
            )

        def on_change():
            self.changes[name] += 1
            if name in self.attached:
                self.attached[name].fleet_changed()

        fleet = self.routers[name] = Fleet(socket, own, make_heartbeat, on_change)
        if self.attach is not None:
            component = self.attached[name] = self.attach(name, fleet)
            self.looks[name] = self.loop.create_task(component.run_periodically())
        self.entries[name] = PeerEntry(name, place, socket.address.host, 1, processor)
        heartbeat_task = self.loop.create_task(fleet.send_heartbeats())
        await asyncio.sleep(LISTING_DELAY)
        fleet.add_entries(list(self.entries.values()))
        await heartbeat_task

    def kill(self, *names):
        """Stop routers without notice to their peers."""
        for name in names:
            self.dead.add(name)
            self.tasks.pop(name).cancel()
            self.routers.pop(name, None)
            self.attached.pop(name, None)
            if name in self.looks:
                self.looks.pop(name).cancel()

    def restart(self, name, processor, after=0.0):
        """Start a killed router again in its data centre."""
        self.dead.discard(name)
        self.start(name, self.places[name], processor, after)

    def leaders(self, subject, place=None):
        """Count the routers that take each router for the leader of a subject."""
        return Counter(
            fleet.leader(subject)
            for name, fleet in self.routers.items()
            if place in (None, self.places[name])
        )

    def roles(self):
        return Counter(fleet.role for fleet in self.routers.values())

    def hubs(self, place):
        return {
            name
            for name, fleet in self.routers.items()
            if fleet.own.hub and self.places[name] == place
        }

    async def until(self, condition, most):
        """Return the seconds until `condition` holds, or None after `most` seconds."""
        begun = self.loop.time()
        while self.loop.time() - begun < most:
            if condition():
                return self.loop.time() - begun
            await asyncio.sleep(0.01)
        return None

    async def close(self):
        running = [*self.tasks.values(), *self.looks.values()]
        for task in running:
            task.cancel()
        await asyncio.gather(*running, return_exceptions=True)


def started(count, places, seed=1, loss=0.0):
    """Return a fleet of `count` routers that start within `START_SPREAD` seconds."""
    fleet = SimulatedFleet(seed=seed, loss=loss)
    for number in range(count):
        processor = STRONG if (number // places) % STRONG_INTERVAL == 0 else WEAK
        after = fleet.draw.uniform(0, START_SPREAD)
        fleet.start(f"r-{number}", f"dc-{number % places}", processor, after)
    return fleet
