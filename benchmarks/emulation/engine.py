"""Engine with continuous batching in simulated time.

Each step prefills up to a chunk of prompts in order of arrival, and generates one token
for each request whose prompt is complete. Its duration grows with the prefilled tokens
and the number of requests. Prefixes stay cached until the memory is needed.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

from carawayfold.protocol.exchanges import Part
from carawayfold.state.prefix_cache import PrefixCache


@dataclass(frozen=True, slots=True)
class EngineModel:
    """Speed and size of an engine; times in seconds.

    Attributes
    ----------
    step, step_per_request : float
        Duration of a step, and its increase per request.
    step_per_token : float
        Increase of a step per token in memory.
    read_per_token : float
        Time to prefill a token.
    chunk : int
        Maximum tokens prefilled in a step.
    stride : int
        Tokens in one event of a stream.
    """

    slots: int = 64
    step: float = 0.00303
    step_per_request: float = 0.000121
    step_per_token: float = 2.44e-9
    read_per_token: float = 1 / 92_100
    chunk: int = 2048
    stride: int = 6
    memory_tokens: int = 639_273


@dataclass(slots=True, eq=False)
class Run:
    """A request in an engine.

    Attributes
    ----------
    copied : int
        Tokens at the start of the prompt that are copied from another engine.
    unread : int
        Tokens of the prompt that have not been prefilled.
    made : int
        Tokens generated.
    """

    name: str
    prompt: tuple[Part, ...]
    prompt_tokens: int
    output_tokens: int
    sent: float
    copied: int = 0
    unread: int = 0
    made: int = 0
    first_at: float | None = None
    longest_pause: float = 0.0
    event_at: float = 0.0


@dataclass(slots=True)
class EmulatedEngine:
    """An engine.

    Attributes
    ----------
    now : float
        Simulated seconds up to which it has been emulated.
    read_tokens, reread_tokens, copied_tokens : int
        Prefilled tokens, those of shared parts that some engine had prefilled before,
        and tokens copied from other engines.
    """

    name: str
    model: EngineModel
    known: set[str]
    now: float = 0.0
    waiting: deque[Run] = field(default_factory=deque)
    reading: deque[Run] = field(default_factory=deque)
    making: list[Run] = field(default_factory=list)
    read_tokens: int = 0
    reread_tokens: int = 0
    copied_tokens: int = 0
    busy: float = 0.0
    prefixes: PrefixCache = field(init=False)

    def __post_init__(self) -> None:
        self.prefixes = PrefixCache(self.model.memory_tokens)

    @property
    def running(self) -> int:
        """Return the number of requests in slots."""
        return len(self.reading) + len(self.making)

    def send(self, run: Run) -> None:
        """Queue a request."""
        self.waiting.append(run)

    def cancel(self, name: str) -> None:
        """Drop a request."""
        for queue in (self.waiting, self.reading, self.making):
            for run in list(queue):
                if run.name == name:
                    queue.remove(run)

    def end(self) -> list[Run]:
        """Crash: drop all requests and the cache, and return the requests."""
        lost = [*self.waiting, *self.reading, *self.making]
        self.waiting.clear()
        self.reading.clear()
        self.making.clear()
        self.prefixes = PrefixCache(self.model.memory_tokens)
        return lost

    def advance(self, until: float) -> tuple[list[Run], list[Run]]:
        """Run until a time; return the requests that began and those that ended."""
        begun: list[Run] = []
        ended: list[Run] = []
        while self.now < until:
            self._admit()
            if not self.running:
                self.now = until
                break
            self._step(begun, ended)
        return begun, ended

    def _admit(self) -> None:
        while self.waiting and self.running < self.model.slots:
            run = self.waiting.popleft()
            own = self.prefixes.kept(run.prompt)
            kept = max(own, run.copied)
            self.copied_tokens += kept - own
            run.unread = run.prompt_tokens - kept
            self._count_reread(run, kept)
            self.prefixes.read(run.prompt)
            self.reading.append(run)

    def _count_reread(self, run: Run, kept: int) -> None:
        for part in run.prompt[:-1]:
            kept -= part.tokens
            if kept >= 0:
                continue
            if part.id in self.known:
                self.reread_tokens += part.tokens
            self.known.add(part.id)

    def _step(self, begun: list[Run], ended: list[Run]) -> None:
        room = self.model.chunk
        read: list[Run] = []
        while self.reading and room > 0:
            run = self.reading[0]
            part = min(room, run.unread)
            run.unread -= part
            room -= part
            if run.unread > 0:
                break
            read.append(self.reading.popleft())
        tokens = self.model.chunk - room
        self.read_tokens += tokens
        took = self._duration(tokens)
        self.now += took
        self.busy += took
        self._generate(ended)
        for run in read:
            run.first_at = run.event_at = self.now
            run.made = 1
            begun.append(run)
            self.making.append(run)

    def _duration(self, read: int) -> float:
        model = self.model
        held = sum(run.prompt_tokens + run.made for run in self.making)
        return (
            model.step
            + model.step_per_request * len(self.making)
            + model.step_per_token * held
            + model.read_per_token * read
        )

    def _generate(self, ended: list[Run]) -> None:
        for run in list(self.making):
            run.made += 1
            if run.made % self.model.stride == 0:
                run.longest_pause = max(run.longest_pause, self.now - run.event_at)
                run.event_at = self.now
            if run.made >= run.output_tokens:
                self.making.remove(run)
                ended.append(run)
