"""Commands of the program: run, check, and the operators' calls."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, TypeVar

import typer

from carawayfold import __version__, settings
from carawayfold.commands import explain, logs, operate, quarantine
from carawayfold.commands.exits import BAD_SETTINGS

if TYPE_CHECKING:
    from expression import Result

T = TypeVar("T")

app = typer.Typer(
    help="Routers that share model and application capacity fairly.",
    no_args_is_help=True,
    pretty_exceptions_enable=False,
)
operate.register(app)
quarantine.register(app)
explain.register(app)

SettingsFile = Annotated[Path, typer.Argument(help="Settings: JSON with comments.")]


def show_version(requested: bool) -> None:
    """Print the version and exit if the option is given."""
    if requested:
        typer.echo(f"carawayfold {__version__}")
        raise typer.Exit


@app.callback()
def common(
    version: Annotated[
        bool,
        typer.Option(
            "--version", callback=show_version, is_eager=True, help="Show the version."
        ),
    ] = False,
) -> None:
    """Accept the options common to all commands."""


def load_settings(path: Path) -> settings.Settings:
    """Return the settings at `path`, or print all errors and exit."""
    return ok_or_exit(settings.load(path))


def ok_or_exit(result: Result[T, list[str]]) -> T:
    """Return the value of a successful result, or print all errors and exit."""
    if result.is_error():
        for message in result.error:
            typer.echo(message, err=True)
        raise typer.Exit(BAD_SETTINGS)
    return result.ok


@app.command()
def run(path: SettingsFile) -> None:
    """Run one router until SIGTERM; a second SIGTERM stops it at once."""
    from carawayfold import application

    checked = load_settings(path)
    logs.set_up(checked.log_level)
    asyncio.run(application.run(checked))


@app.command()
def check(path: SettingsFile) -> None:
    """Check a settings file without starting a router."""
    load_settings(path)
    typer.echo(f"{path}: good")


@app.command()
def forward(path: SettingsFile) -> None:
    """Run one forwarding router with the operators' routes until it is stopped."""
    from carawayfold.commands import forwarding

    code = forwarding.start(path)
    if code:
        raise typer.Exit(code)


@app.command()
def check_forward(path: SettingsFile) -> None:
    """Check the settings file of a forwarding router."""
    from carawayfold import gateway_settings

    ok_or_exit(gateway_settings.load(path))
    typer.echo(f"{path}: good")
