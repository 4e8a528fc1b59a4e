"""What a scheduler knows of one endpoint: what runs there, how fast, how well."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import msgspec

from carawayfold.state.first_tokens import FirstTokenModel
from carawayfold.state.prefixes import KeptPrefixes

if TYPE_CHECKING:
    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.endpoints import Endpoint
    from carawayfold.state.ids import CallId, RouterId

#: Seconds in which the memory of failures is halved.
FAILURE_HALF_LIFE = 1.5
#: Weight of the newest measurement in moving averages.
NEWEST = 0.1
#: Seconds that an application request runs, before anything is measured.
RESIDENCE = 0.05


class Active(msgspec.Struct, eq=False):
    """A request at an endpoint.

    Attributes
    ----------
    unread : int
        Tokens that the engine has to read for it.
    ahead : int
        Tokens that waited in the engine when it was sent, its own included.
    memory : int
        Tokens of memory that it takes beyond shared parts.
    begun : bool
        Whether its first token has come.
    refreshed : float
        When its router last said that it still runs.
    prompt : tuple of Part
        Its prompt, if this scheduler placed it.
    """

    call: CallId
    router: RouterId
    unread: int
    memory: int
    since: float
    refreshed: float
    ahead: int = 0
    begun: bool = False
    prompt: tuple[Part, ...] = ()


@dataclass(slots=True, eq=False)
class EndpointLoad:
    """What the scheduler knows of one endpoint.

    Attributes
    ----------
    expected_speed : float
        Tokens that it reads a second, before anything is measured.
    first_tokens : FirstTokenModel
        How long it takes to a first token.
    residence : float
        Seconds that a request stays, on average.
    failing : float
        Recent part of its answers that failed, 0 to 1.
    suspended_until : float
        When it may be tried again after it fell silent.
    next_warm_up : float
        When it may get its next request, if it warms up.
    unread : int
        Tokens that wait to be read in it.
    """

    endpoint: Endpoint
    memory_tokens: int
    expected_speed: float
    residence: float = RESIDENCE
    failing: float = 0.0
    failing_at: float = 0.0
    suspended_until: float = 0.0
    next_warm_up: float = 0.0
    silences: int = 0
    unread: int = 0
    memory: int = 0
    active: dict[CallId, Active] = field(default_factory=dict)
    prefixes: KeptPrefixes = field(init=False)
    first_tokens: FirstTokenModel = field(init=False)

    def __post_init__(self) -> None:
        self.prefixes = KeptPrefixes(self.memory_tokens)
        self.first_tokens = FirstTokenModel(self.expected_speed)

    def add(self, active: Active) -> None:
        """Note that a request goes there."""
        self.active[active.call] = active
        self.memory += active.memory
        if not active.begun:
            self.unread += active.unread
        active.ahead = self.unread

    def begin(self, call: CallId, waited: float) -> None:
        """Note a request's first token, `waited` seconds after it was sent."""
        active = self.active.get(call)
        if active is None or active.begun:
            return
        active.begun = True
        self.prefixes.read(active.prompt)
        self.unread -= active.unread
        self.silences = 0
        self.suspended_until = 0.0
        if waited > 0 and active.unread:
            self.first_tokens.note(active.ahead, waited)

    def remove(self, call: CallId) -> Active | None:
        """Note that a request has left; return it if it was there."""
        active = self.active.pop(call, None)
        if active is None:
            return None
        self.memory -= active.memory
        if not active.begun:
            self.unread -= active.unread
        return active

    def measure_residence(self, seconds: float) -> None:
        """Note how long a request that was served stayed."""
        self.residence += NEWEST * (seconds - self.residence)

    def measure_failure(self, failed: bool, now: float) -> None:
        """Note how an attempt ended."""
        self.failing = self.failure_share(now)
        self.failing_at = now
        self.failing += NEWEST * 2 * (float(failed) - self.failing)

    def failure_share(self, now: float) -> float:
        """Return the recent part of attempts that failed."""
        return self.failing * 0.5 ** ((now - self.failing_at) / FAILURE_HALF_LIFE)
