"""Positions in a log that may be restored from a backup, which reuses offsets.

A position consists of an era, the number of restorations, and an offset. Any position
after a restoration is greater than all positions before it, whatever their offsets.
"""

from __future__ import annotations

from carawayfold.state.ids import Position

#: Bits of a position that hold the offset.
OFFSET_BITS = 40


def position(era: int, offset: int) -> Position:
    """Return the position of a record.

    Parameters
    ----------
    era : int
        Number of times that the log has been restored from a backup.
    offset : int
        Offset of the record within the era.
    """
    return Position(era << OFFSET_BITS | offset)


def era_of(place: Position) -> int:
    """Return the era of a position: the restorations of the log before it."""
    return place >> OFFSET_BITS


def offset_of(place: Position) -> int:
    """Return the offset of a position within its era."""
    return place & ((1 << OFFSET_BITS) - 1)
