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
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.tokens = 0
        self.parts: OrderedDict[PartId, int] = OrderedDict()

    def kept(self, prompt: Iterable[Part]) -> int:
        """Return the tokens at the beginning of `prompt` that need no reading."""
        tokens = 0
        for part in prompt:
            if part.id not in self.parts:
                break
            tokens += part.tokens
        return tokens

    def read(self, prompt: Iterable[Part]) -> None:
        """Note that the engine reads `prompt`."""
        for part in prompt:
            if part.id in self.parts:
                self.parts.move_to_end(part.id)
                continue
            self.parts[part.id] = part.tokens
            self.tokens += part.tokens
        while self.tokens > self.capacity and self.parts:
            _, tokens = self.parts.popitem(last=False)
            self.tokens -= tokens
