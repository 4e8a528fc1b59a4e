"""A router fleet that shares model and application capacity fairly."""

from __future__ import annotations

#: Version of the program, also shown by ``carawayfold --version``.
__version__ = "0.1.0"
