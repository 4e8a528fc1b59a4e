"""Sizes of two deployments."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Deployment:
    """Data centres, services and organisations of a deployment.

    Attributes
    ----------
    routers : int
        Routers, distributed over the data centres.
    engines, workers : int
        Endpoints of the model and of the application.
    organisations : dict of str to float
        Shares of the organisations.
    """

    name: str
    data_centres: tuple[str, ...]
    model: str
    application: str
    routers: int
    engines: int
    workers: int
    organisations: dict[str, float]


def _organisations(prefix: str, large: int, count: int) -> dict[str, float]:
    return {
        f"{prefix}-{number:02}": 4.0 if number < large else 1.0
        for number in range(count)
    }


ALTIPLANO = Deployment(
    "altiplano",
    ("queretaro-a", "queretaro-b", "celaya-hall"),
    "caraway-survey",
    "tile-desk",
    6,
    6,
    3,
    _organisations("agency", 3, 16),
)
BANTAYOG = Deployment(
    "bantayog",
    ("pasig-a", "pasig-b", "makati-c", "qc-d"),
    "dila-llm",
    "tipanan-app",
    8,
    5,
    4,
    _organisations("centre", 3, 16),
)
