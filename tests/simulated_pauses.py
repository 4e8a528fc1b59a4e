"""Sound endpoints that fall silent and go on, and the containment of a fleet.

Attempts that are moved away from a silent endpoint are reported as the product's
routers report them. Endpoints may also be replaced without notice, and all their
entries may lapse for a while. Harmful requests end their endpoint without a reset of
its connections. ``python -m tests.simulated_pauses`` prints a table of several loads.
"""

from __future__ import annotations

import asyncio
import sys
from dataclasses import dataclass

import logbook

from carawayfold.coordination.containment.crash_reports import LostAttempt
from carawayfold.coordination.containment.endpoint_activity import (
    EndpointActivity,
)
from carawayfold.state.contents import content_id, part_content_id
from carawayfold.state.crashes import MIN_QUARANTINE_WEIGHT
from carawayfold.state.quarantine import REJECTION_DURATIONS
from carawayfold.transport.probes import ProbeResult
from tests.simulated_crashes import (
    ALLOWED_FOR,
    CRASH_DELAY,
    LEASE,
    RESTART,
    RUN_TIME,
    Run,
    SimulatedCrashes,
    killers_of,
)
from tests.simulated_fleet import simulate, started

#: Seconds for which a sound endpoint is silent.
PAUSE = (0.9, 1.6)
#: Seconds between the bytes of an answer, and between two checks of a router.
BYTE_INTERVAL = 0.05
CHECK_INTERVAL = 0.25
#: Seconds for which a replaced endpoint serves on after its entry was removed.
DRAIN = 3.0
#: Seconds for which all entries are missing after they have lapsed.
LAPSE = 1.5
#: Seconds until the first event of a sound answer.
FIRST_EVENT = (0.12, 0.6)
#: Seconds until all routers of a fleet are connected.
CONNECTED = 5.0
#: Popular contents, and documents of which each prompt has one.
POPULAR, DOCUMENTS = 10, 20


@dataclass(frozen=True)
class PauseLoad:
    """What happens in one round.

    Attributes
    ----------
    sound : float
        Sound requests a second.
    pauses : float
        Silences a second, each of one endpoint.
    replaced : float
        Endpoints a second whose entry is removed without notice.
    lapses : float
        Times a second that all entries lapse.
    killers : int
        Harmful contents, each of which callers send once a second.
    hanging : bool
        Whether the endpoints that they end go on accepting connections.
    """

    sound: float = 20.0
    pauses: float = 3.0
    replaced: float = 0.0
    lapses: float = 0.0
    killers: int = 0
    hanging: bool = False


LOADS = {
    "pauses": PauseLoad(),
    "pauses, replaced": PauseLoad(replaced=0.5),
    "pauses, replaced, few requests": PauseLoad(sound=4.0, replaced=0.5),
    "pauses, entries lapse": PauseLoad(lapses=0.15),
    "pauses, entries lapse, few requests": PauseLoad(sound=4.0, lapses=0.15),
    "harmful, dark": PauseLoad(pauses=0.0, killers=2),
    "harmful, hanging": PauseLoad(pauses=0.0, killers=2, hanging=True),
    "harmful, dark, pauses, replaced": PauseLoad(replaced=0.2, killers=2),
}


class SimulatedPauses(SimulatedCrashes):
    """Endpoints that are silent at times, with the bytes that each router receives."""

    def __init__(self, fleet, engines, places, load):
        self.activities = {}
        self.silent_until = {}
        self.load = load
        super().__init__(fleet, engines, places)
        self.made = 0
        self.spawn(self.send_bytes())
        self.spawn(self.check())

    def attach(self, name, router):
        made = super().attach(name, router)
        made.reports.endpoint_activity = self.activities[name] = EndpointActivity()
        return made

    async def probe(self, router, address):
        result = await super().probe(router, address)
        if result is not ProbeResult.REFUSED:
            return result
        return ProbeResult.ACCEPTED if self.load.hanging else ProbeResult.SILENT

    # Endpoints

    def is_silent(self, engine):
        until = self.silent_until.get(engine.endpoint.id, 0.0)
        return engine.ended or self.loop.time() < until

    def live(self):
        return [item for item in self.engines if not item.ended and item.registered]

    def pause(self):
        engine = self.draw.choice(self.live())
        until = self.loop.time() + self.draw.uniform(*PAUSE)
        self.silent_until[engine.endpoint.id] = until

    def replace(self):
        """Remove an endpoint's entry without notice; it serves on for a while."""
        engine = self.draw.choice(self.live())
        self.lapse(engine)
        self.start_engine()

    def lapse_all(self):
        """Remove the entries of all endpoints, which register again after `LAPSE`."""
        for engine in self.live():
            self.lapse(engine)
            self.loop.call_later(LAPSE, setattr, engine, "registered", True)

    def end_engine(self, engine):
        """End an endpoint without a byte to anybody."""
        if engine.ended:
            return
        engine.ended = True
        self.loop.call_later(self.draw.uniform(*LEASE), self.lapse, engine)
        self.loop.call_later(self.draw.uniform(*RESTART), self.start_engine)
        for run in engine.runs:
            if not run.harmful:
                continue
            self.tally.crashes[run.content] += 1
            if self.tally.crashes[run.content] == MIN_QUARANTINE_WEIGHT:
                self.tally.third[run.content] = self.loop.time()

    # Requests

    def send(self, router, content, harmful, number=1, attempt=1):
        made = self.containments[router]
        live = self.live()
        if not live:
            return
        now = self.loop.time()
        run = Run(router, content, harmful, number, attempt, now)
        own = content if harmful else f"d-{self.draw.randrange(DOCUMENTS)}"
        run.parts = tuple(part_content_id("alder", name) for name in ("all", own))
        if any(
            made.quarantine.rejection_remaining(name, now)
            for name in (content, *run.parts)
        ):
            self.tally.refused += not harmful
            return
        self.tally.sent += not harmful
        if harmful:
            third = self.tally.third.get(content)
            late = third is not None and now > third + ALLOWED_FOR
            self.tally.late_sends[content] += late
        engine = min(live, key=lambda item: (len(item.runs), self.draw.random()))
        run.sent_at = now
        run.work = self.draw.uniform(*(CRASH_DELAY if harmful else FIRST_EVENT))
        run.left = self.draw.uniform(*RUN_TIME)
        run.begun = False
        engine.runs.append(run)

    async def send_bytes(self):
        """Let each endpoint that is not silent work on its requests."""
        while True:
            await asyncio.sleep(BYTE_INTERVAL)
            for engine in list(self.engines):
                if not self.is_silent(engine):
                    for run in list(engine.runs):
                        self.work_on(engine, run)

    def work_on(self, engine, run):
        if engine.ended:
            return
        if run.work > 0:
            run.work -= BYTE_INTERVAL
            return
        if run.harmful:
            self.end_engine(engine)
            return
        made = self.containments[run.router]
        now = self.loop.time()
        self.activities[run.router].record_bytes(engine.endpoint.id, now)
        if not run.begun:
            run.begun = True
            made.record_begun(run)
        run.left -= BYTE_INTERVAL
        if run.left <= 0:
            engine.runs.remove(run)
            made.record_success(run, b"")

    async def check(self):
        """Move requests away from endpoints that are silent at their router."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            now = self.loop.time()
            for engine in list(self.engines):
                for run in list(engine.runs):
                    activity = self.activities[run.router]
                    if activity.is_silent(engine.endpoint.id, run.sent_at, now):
                        engine.runs.remove(run)
                        self.lose(run, engine, now)

    def lose(self, run, engine, now):
        activity = self.activities[run.router]
        silence = activity.silence(engine.endpoint.id, run.sent_at, now)
        loss = LostAttempt(
            run.content,
            "alder",
            engine.endpoint,
            now - silence,
            run.begun,
            run.sent_at,
            run.parts,
            **SILENT,
        )
        self.containments[run.router].reports.note(loss)
        if not run.harmful:
            self.loop.call_later(0.01, self.send_again, run)

    async def offer_load(self, seconds):
        """Send requests and let endpoints pause, leave and lapse for a while."""
        load = self.load
        killers = killers_of(load.killers)
        events = {
            self.send_sound: load.sound,
            self.pause: load.pauses,
            self.replace: load.replaced,
            self.lapse_all: load.lapses,
            lambda: self.send(self.any_router(), self.draw.choice(killers), True): (
                float(load.killers)
            ),
        }
        end = self.loop.time() + seconds
        while self.loop.time() < end:
            await asyncio.sleep(self.draw.expovariate(sum(events.values())))
            [event] = self.draw.choices(list(events), list(events.values()))
            if event in (self.pause, self.replace) and not self.live():
                continue
            event()

    def send_sound(self):
        self.made += 1
        popular = self.draw.random() < 0.3
        number = -self.draw.randrange(1, POPULAR + 1) if popular else self.made
        content = content_id("alder", b"POST", b"/", b"%d" % number)
        self.send(self.any_router(), content, False)

    def levels(self):
        """Return the sound contents and parts that were suspected, and rejected."""
        killers = killers_of(self.load.killers)
        harmful = {*killers, *(part_content_id("alder", name) for name in killers)}
        entries = [
            (name, entry.level)
            for made in self.containments.values()
            for name, entry in made.quarantine.entries.items()
            if not entry.level.is_clear and name not in harmful
        ]
        suspected = {name for name, _ in entries}
        rejected = {name for name, level in entries if level in REJECTION_DURATIONS}
        return suspected, rejected


#: Fields of a loss by silence.
SILENT = {"silent": True} if "silent" in LostAttempt.__struct_fields__ else {}


async def play_pauses(load, seed, routers, places, seconds):
    """Return the tally of one round, and the sound contents with a verdict."""
    fleet = started(routers, places, seed)
    world = SimulatedPauses(fleet, 12, places, load)
    await asyncio.sleep(CONNECTED)
    suspected, rejected = set(), set()

    async def watch():
        while True:
            await asyncio.sleep(0.5)
            some, more = world.levels()
            suspected.update(some)
            rejected.update(more)

    world.spawn(watch())
    await world.offer_load(seconds)
    await asyncio.sleep(2.0)
    await fleet.close()
    for task in list(world.tasks):
        task.cancel()
    return world.tally, suspected, rejected


def tally_of(load, seed, routers=6, places=3, seconds=40.0):
    """Return the results of one round."""
    with logbook.NullHandler().applicationbound():
        return simulate(lambda: play_pauses(load, seed, routers, places, seconds))


def main(rounds):
    """Print a row for each load."""
    print("load | suspected, rejected, refused of sound | ends, late sends of harmful")
    for name, load in LOADS.items():
        results = [tally_of(load, seed) for seed in range(rounds)]
        tallies = [tally for tally, _, _ in results]
        ends = sorted(n for item in tallies for n in item.crashes.values())
        print(
            f"{name:36} | {sum(len(item) for _, item, _ in results)}"
            f" {sum(len(item) for _, _, item in results)}"
            f" {sum(item.refused for item in tallies)}"
            f" of {sum(item.sent for item in tallies)} sends | {ends}"
            f" {sum(sum(item.late_sends.values()) for item in tallies)}",
            flush=True,
        )


if __name__ == "__main__":
    main(int((sys.argv[1:] or ["5"])[0]))
