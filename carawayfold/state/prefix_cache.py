"""Model of an engine's prefix cache: the prompt parts that it is likely to hold."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from carawayfold.protocol.exchanges import Part
    from carawayfold.state.ids import PartId


class PrefixCache:
    """Model of one engine's prefix cache, which evicts the least recently used part.

    Parameters
    ----------
    capacity : int
        Most tokens in the cache.

    Attributes
    ----------
    tokens : int
        Tokens in the cache.
    parts : OrderedDict
        Tokens by part, the most recently used part last.
    pending : set of PartId
        Parts that were sent to the engine and are not known to be read yet.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.tokens = 0
        self.parts: OrderedDict[PartId, int] = OrderedDict()
        self.pending: set[PartId] = set()

    def kept(self, prompt: Iterable[Part]) -> int:
        """Return the tokens of the longest prefix of `prompt` in the cache.

        Parts that are still to be read are included.
        """
        tokens = 0
        for part in prompt:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def present(self, prompt: Iterable[Part]) -> int:
        """Return the tokens of the longest prefix of `prompt` that has been read."""
        tokens = 0
        for part in prompt:
            if part.id not in self.parts or part.id in self.pending:
                break
            tokens += part.tokens
        return tokens

    def send(self, prompt: Iterable[Part]) -> None:
        """Record that `prompt` is sent to the engine, which will read it."""
        for part in prompt:
            if part.id not in self.parts:
                self.pending.add(part.id)
            self._insert_or_refresh(part)
        self._evict()

    def read(self, prompt: Iterable[Part]) -> None:
        """Record that the engine has read `prompt`."""
        for part in prompt:
            self.pending.discard(part.id)
            self._insert_or_refresh(part)
        self._evict()

    def _insert_or_refresh(self, part: Part) -> None:
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
