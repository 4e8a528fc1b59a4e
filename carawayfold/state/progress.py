"""Comparison of versions and positions, of which there may be none yet."""

from __future__ import annotations


def is_newer(progress: int | None, known: int | None) -> bool:
    """Return whether a version or position is newer than the known one.

    Parameters
    ----------
    progress, known : int or None
        Versions or positions; None stands for none, which is older than the first one,
        whatever its number.
    """
    return progress is not None and (known is None or progress > known)
