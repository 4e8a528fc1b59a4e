"""Command line of the program."""

from __future__ import annotations


def main() -> None:
    """Run the command line."""
    # Imported here so that a module of one command loads without all the others.
    from carawayfold.commands.line import app

    app()
