"""The command line."""

from __future__ import annotations


def main() -> None:
    """Run the command line."""
    # Imported late, so that one command can be started without all the others.
    from carawayfold.commands.line import app

    app()
