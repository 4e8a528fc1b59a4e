"""Requests that crash endpoints, in a simulated fleet.

Heartbeats, crash reports and verdicts are the product's own, on the clock and network
of `tests.simulated_fleet`; endpoints and callers are simulated here. The other requests
of an endpoint that crashes fail with it and are retried by their router or caller.
``python -m tests.simulated_crashes`` prints a table of several loads and seeds.
"""

from __future__ import annotations

import asyncio
import random
from collections import Counter
from dataclasses import dataclass, field

import msgspec

from carawayfold.coordination.containment.containment import Containment
from carawayfold.coordination.containment.crash_reports import LostAttempt
from carawayfold.coordination.containment.endpoint_activity import EndpointActivity
from carawayfold.protocol.sources import SourceError
from carawayfold.settings import Address
from carawayfold.state.contents import content_id
from carawayfold.state.crashes import MIN_QUARANTINE_WEIGHT
from carawayfold.state.endpoints import Endpoint
from carawayfold.transport.probes import ProbeResult
from tests.simulated_fleet import simulate, started

#: Seconds until a connection is refused or accepted, and until one times out.
PROBE_TIME = 0.003
HANGING_TIME = 0.25
#: Seconds from the crash of an endpoint until it is deregistered.
LEASE = (1.2, 3.6)
#: Seconds from the crash of an endpoint until another one replaces it.
RESTART = (2.5, 6.0)
#: Seconds for which a harmful request runs before the crash.
CRASH_DELAY = (0.02, 0.12)
#: Seconds for which an innocent request runs.
RUN_TIME = (0.2, 2.0)
#: Seconds until the first event of an answer; a harmful request has none.
FIRST_EVENT = (0.12, 0.3)
#: Attempts of a router at an innocent request, and attempts of its caller.
ATTEMPTS = 2
CALLS = 2
#: Fraction of the innocent requests that have a popular content.
REPEATED_PART = 0.3
#: Seconds after the third crash within which requests may still be sent.
ALLOWED_FOR = 3.0


@dataclass
class Run:
    """A request at an endpoint."""

    organisation = "alder"
    parts = ()
    router: str
    content: str
    harmful: bool
    number: int
    attempt: int
    begins: float
    started: float | None = None


@dataclass
class Engine:
    """An endpoint, from its start to its crash."""

    endpoint: Endpoint
    runs: list[Run] = field(default_factory=list)
    ended: bool = False
    registered: bool = True


class Records:
    """Store of verdicts; `down` while it is unavailable."""

    def __init__(self):
        self.kept = {}
        self.down = False
        self.calls = 0

    async def store_verdict(self, record):
        self._call()
        self.kept[record.content] = record

    async def delete_verdict(self, content):
        self._call()
        self.kept.pop(content, None)

    def _call(self):
        self.calls += 1
        if self.down:
            raise SourceError("down")


@dataclass
class Tally:
    """Results of a simulation.

    Attributes
    ----------
    crashes : Counter
        Endpoints that each harmful content crashed.
    late_sends : Counter
        Its requests sent later than `ALLOWED_FOR` after the third crash.
    third : dict
        Time of the third crash by each.
    sent, refused : int
        Innocent requests that were sent, and that were refused as harmful.
    counted : Counter
        Number of innocent contents by the number of crashes they were at.
    down : float
        Endpoint seconds that were lost.
    """

    crashes: Counter = field(default_factory=Counter)
    late_sends: Counter = field(default_factory=Counter)
    third: dict = field(default_factory=dict)
    sent: int = 0
    refused: int = 0
    lost: Counter = field(default_factory=Counter)
    failed: int = 0
    most_down: int = 0
    suspected: int = 0

    @property
    def counted(self):
        return Counter(self.lost.values())


class SimulatedCrashes:
    """Endpoints, callers and the containment of each router."""

    def __init__(self, fleet, engines, places=1):
        self.fleet = fleet
        self.loop = fleet.loop
        self.draw = random.Random(fleet.seed)
        self.places = places
        self.engines = []
        self.containments = {}
        self.records = Records()
        self.tally = Tally()
        self.tasks = set()
        self.innocents = 0
        self.numbers = 0
        for _ in range(engines):
            self.start_engine()
        fleet.attach = self.attach
        fleet.fill_beat = self.fill_beat

    # Routers

    def attach(self, name, router):
        """Return the containment of a router that has started."""
        made = Containment(
            router,
            self.registered,
            EndpointActivity(),
            lambda address: self.probe(name, address),
            self.records,
            self.spawn,
        )
        self.containments[name] = made
        made.load_records(list(self.records.kept.values()))
        return made

    def fill_beat(self, name, beat):
        checksum = self.containments[name].quarantine.checksum
        return msgspec.structs.replace(beat, verdicts=checksum)

    def spawn(self, work):
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def registered(self, name):
        for engine in self.engines:
            if engine.endpoint.id == name:
                return engine.endpoint if engine.registered else None
        return None

    async def probe(self, router, address):
        engine = next(x for x in self.engines if x.endpoint.address == address)
        parted = {self.fleet.places[router], engine.endpoint.data_centre}
        if len(parted) > 1 and parted & self.fleet.apart:
            await asyncio.sleep(HANGING_TIME)
            return ProbeResult.SILENT
        await asyncio.sleep(PROBE_TIME)
        return ProbeResult.REFUSED if engine.ended else ProbeResult.ACCEPTED

    # Endpoints

    def start_engine(self):
        self.numbers += 1
        place = f"dc-{self.numbers % self.places}"
        endpoint = Endpoint(
            f"e-{self.numbers}", "model", Address("10.0.0.1", self.numbers), place, 16
        )
        self.engines.append(Engine(endpoint))

    def end_engine(self, engine):
        if engine.ended:
            return
        engine.ended = True
        runs, engine.runs = engine.runs, []
        now = self.loop.time()
        down = sum(item.ended and item.registered for item in self.engines)
        self.tally.most_down = max(self.tally.most_down, down)
        self.loop.call_later(self.draw.uniform(*LEASE), self.lapse, engine)
        self.loop.call_later(self.draw.uniform(*RESTART), self.start_engine)
        for run in runs:
            self.lose(run, engine, now)

    def lapse(self, engine):
        engine.registered = False
        for made in self.containments.values():
            made.endpoint_removed(engine.endpoint)

    def lose(self, run, engine, now):
        if run.harmful:
            self.tally.crashes[run.content] += 1
            if self.tally.crashes[run.content] == MIN_QUARANTINE_WEIGHT:
                self.tally.third[run.content] = now
        else:
            self.tally.lost[run.content] += 1
        made = self.containments.get(run.router)
        if made is not None:
            begun = now >= run.begins
            made.reports.note(
                LostAttempt(
                    run.content, "alder", engine.endpoint, now, begun, run.started
                )
            )
        if not run.harmful:
            self.loop.call_later(0.01, self.send_again, run)

    def send_again(self, run):
        """Have the router or the caller retry an innocent request."""
        made = self.containments.get(run.router)
        suspected = made is not None and made.quarantine.is_suspected(run.content)
        if run.attempt < ATTEMPTS and not suspected:
            self.send(run.router, run.content, False, run.number, run.attempt + 1)
        elif run.number < CALLS:
            self.send(self.any_router(), run.content, False, run.number + 1, 1)
        else:
            self.tally.failed += 1

    # Callers

    def any_router(self):
        return self.draw.choice(sorted(self.containments))

    def send(self, router, content, harmful, number=1, attempt=1):
        """Have a router send a request, unless it refuses the content."""
        made = self.containments.get(router)
        live = [x for x in self.engines if not x.ended and x.registered]
        if made is None or not live:
            return
        if made.quarantine.rejection_remaining(content, self.loop.time()):
            self.tally.refused += not harmful
            return
        self.tally.sent += not harmful
        if harmful:
            third = self.tally.third.get(content)
            late = third is not None and self.loop.time() > third + ALLOWED_FOR
            self.tally.late_sends[content] += late
        engine = min(live, key=lambda item: (len(item.runs), self.draw.random()))
        now = self.loop.time()
        begins = now + self.draw.uniform(*FIRST_EVENT)
        run = Run(router, content, harmful, number, attempt, begins, now)
        engine.runs.append(run)
        if harmful:
            delay = self.draw.uniform(*CRASH_DELAY)
            self.loop.call_later(delay, self.end_engine, engine)
        else:
            delay = self.draw.uniform(*RUN_TIME)
            self.loop.call_later(delay, self.finish, engine, run)

    def finish(self, engine, run):
        if run not in engine.runs:
            return
        engine.runs.remove(run)
        made = self.containments.get(run.router)
        if made is not None:
            made.record_success(run, b"")

    def kill(self, *routers):
        """Kill routers, with all their state."""
        self.fleet.kill(*routers)
        for name in routers:
            self.containments.pop(name)

    def pick_innocent(self, repeated):
        """Return a content, which may be one of `repeated` popular ones."""
        self.innocents += 1
        number = self.innocents
        if repeated and self.draw.random() < REPEATED_PART:
            number = -self.draw.randrange(1, repeated + 1)
        return content_id("alder", b"POST", b"/", b"%d" % number)

    async def offer(
        self, seconds, innocents, killers, killing, crashing=0.0, repeated=0
    ):
        """Simulate innocent and harmful requests and random crashes for a while.

        Parameters
        ----------
        innocents, killing, crashing : float
            Per second: innocent requests, requests of each killer, random crashes.
        killers : list of str
            Harmful contents.
        repeated : int
            Number of popular innocent contents.
        """
        end = self.loop.time() + seconds
        rate = innocents + killing * len(killers) + crashing
        while self.loop.time() < end:
            await asyncio.sleep(self.draw.expovariate(rate))
            kind = self.draw.random() * rate
            if kind < innocents:
                content = self.pick_innocent(repeated)
                self.send(self.any_router(), content, False)
            elif kind < innocents + killing * len(killers):
                self.send(self.any_router(), self.draw.choice(killers), True)
            else:
                live = [x for x in self.engines if not x.ended]
                if live:
                    self.end_engine(self.draw.choice(live))

    def suspects(self):
        """Return the number of innocent contents that any router has suspected."""
        names = {
            name
            for made in self.containments.values()
            for name, entry in made.quarantine.entries.items()
            if not entry.level.is_clear
        }
        return names - set(self.tally.crashes)


def killers_of(count):
    return [content_id("alder", b"POST", b"/", b"k%d" % n) for n in range(count)]


def play(seed, routers=6, places=3, engines=6, seconds=40.0, loss=0.0, **load):
    """Simulate one load and return the results."""

    async def work():
        fleet = started(routers, places, seed, loss)
        world = SimulatedCrashes(fleet, engines, places)
        await asyncio.sleep(5.0)
        killers = killers_of(load.pop("killers", 1))
        await world.offer(seconds, killers=killers, **load)
        await asyncio.sleep(1.0)
        tally = world.tally
        tally.suspected = len(world.suspects())
        await fleet.close()
        for task in list(world.tasks):
            task.cancel()
        return tally

    return simulate(work)


def main():
    """Print the results of several loads, each over ten or twenty seeds."""
    often = {"repeated": 10, "seconds": 30.0}
    loads = {
        "no killer, a crash each 4 s": {"killers": 0, "killing": 0, "crashing": 0.25},
        "no killer, a crash a second": {"killers": 0, "killing": 0, "crashing": 1.0},
        "one killer": {"killers": 1, "killing": 2.0},
        "three killers": {"killers": 3, "killing": 1.0},
        "three killers, 3 % loss": {"killers": 3, "killing": 1.0, "loss": 0.03},
        "three killers, a crash each 4 s": {
            "killers": 3,
            "killing": 1.0,
            "crashing": 0.25,
        },
        "often-asked contents, a crash each 2 s": {
            "killers": 0,
            "killing": 0,
            "crashing": 0.5,
            **often,
        },
        "often-asked contents, a crash a second": {
            "killers": 0,
            "killing": 0,
            "crashing": 1.0,
            **often,
        },
        "often-asked contents, two killers": {"killers": 2, "killing": 1.0, **often},
        "often-asked contents, three killers, a crash each 4 s": {
            "killers": 3,
            "killing": 1.0,
            "crashing": 0.25,
            **often,
        },
    }
    print("load | crashes a killer | late sends | innocents once, twice, three times")
    for name, load in loads.items():
        seeds = 20 if "repeated" in load else 10
        tallies = [play(seed, innocents=40.0, **load) for seed in range(seeds)]
        crashes = [n for x in tallies for n in x.crashes.values()]
        counted = sum((x.counted for x in tallies), Counter())
        late = sum(sum(x.late_sends.values()) for x in tallies)
        refused = sum(x.refused for x in tallies)
        failed = sum(x.failed for x in tallies)
        sent = sum(x.sent for x in tallies)
        down = max(x.most_down for x in tallies)
        print(
            f"{name} | {min(crashes, default=0)} to {max(crashes, default=0)} | {late}"
            f" | {counted[1]} {counted[2]} {counted[3]} {counted[4]} of {sent} sends,"
            f" refused {refused} in {sum(x.refused > 0 for x in tallies)} seeds,"
            f" failed {failed}, at once down {down}"
        )


if __name__ == "__main__":
    main()
