"""The command line."""

from __future__ import annotations

from carawayfold.commands.line import app


def main() -> None:
    """Run the command line."""
    app()
