"""Positions in a log that may come back from a copy and give out offsets again.

A position orders records across such returns: one after the return is later than any
before it, whatever their offsets.
"""

from __future__ import annotations

from carawayfold.state.ids import Position

#: Bits of a position that hold the offset.
OFFSET_BITS = 40


def position(era: int, offset: int) -> Position:
    """Return where the record at `offset` stands.

    Parameters
    ----------
    era : int
        How often the log has come back from a copy.
    offset : int
        Its offset since then.
    """
    return Position(era << OFFSET_BITS | offset)


def era_of(place: Position) -> int:
    """Return how often the log had come back from a copy."""
    return place >> OFFSET_BITS


def offset_of(place: Position) -> int:
    """Return the offset within its era."""
    return place & ((1 << OFFSET_BITS) - 1)
