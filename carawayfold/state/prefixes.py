"""Which prompt parts an engine is likely to keep in memory."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.ids import PartId


class KeptPrefixes:
    """Model of one engine's prefix cache: the least recently used parts go first.

    Parameters
    ----------
    capacity : int
        Tokens that fit.

    Attributes
    ----------
    pending : set of PartId
        Parts that the engine was sent but is not known to have read yet.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.tokens = 0
        self.parts: OrderedDict[PartId, int] = OrderedDict()
        self.pending: set[PartId] = set()

    def kept(self, prompt: Iterable[Part]) -> int:
        """Return the tokens at the beginning of `prompt` that need no reading."""
        tokens = 0
        for part in prompt:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def present(self, prompt: Iterable[Part]) -> int:
        """Return the tokens at the beginning of `prompt` that were read already."""
        tokens = 0
        for part in prompt:
            if part.id not in self.parts or part.id in self.pending:
                break
            tokens += part.tokens
        return tokens

    def send(self, prompt: Iterable[Part]) -> None:
        """Note that the engine is sent `prompt` and will read it."""
        for part in prompt:
            if part.id not in self.parts:
                self.pending.add(part.id)
            self._keep(part)
        self._evict()

    def read(self, prompt: Iterable[Part]) -> None:
        """Note that the engine has read `prompt`."""
        for part in prompt:
            self.pending.discard(part.id)
            self._keep(part)
        self._evict()

    def _keep(self, part: Part) -> None:
        if part.id in self.parts:
            self.parts.move_to_end(part.id)
            return
        self.parts[part.id] = part.tokens
        self.tokens += part.tokens

    def _evict(self) -> None:
        while self.tokens > self.capacity and self.parts:
            part, tokens = self.parts.popitem(last=False)
            self.pending.discard(part)
            self.tokens -= tokens
