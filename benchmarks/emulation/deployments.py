"""Emulated deployments: engines, load and prices."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.emulation.engine import EngineModel
from benchmarks.emulation.load import BOOKING, RESALE, SURVEY, Kind


@dataclass(frozen=True, slots=True)
class EmulatedDeployment:
    """A deployment.

    Attributes
    ----------
    throughput : float
        Configured throughput in tokens per second.
    reread_price, copy_price : float
        Price in worth of 1,000 shared tokens that are prefilled again, and that are
        copied from another engine.
    """

    name: str
    kinds: tuple[Kind, ...]
    engines: int
    model: EngineModel
    throughput: float
    reread_price: float
    copy_price: float = 0.0235


#: Deployments by name.
DEPLOYMENTS = {
    "altiplano": EmulatedDeployment(
        "altiplano", SURVEY, 6, EngineModel(), 360_000.0, 0.29
    ),
    "tipanan": EmulatedDeployment(
        "tipanan",
        BOOKING,
        5,
        EngineModel(
            step=0.0022,
            read_per_token=1 / 140_000,
            stride=9,
            memory_tokens=444_000,
        ),
        360_000.0,
        0.52,
    ),
    "resale": EmulatedDeployment(
        "resale",
        RESALE,
        9,
        EngineModel(
            slots=32,
            step=0.00355,
            step_per_request=0.0000462,
            step_per_token=1.15e-9,
            read_per_token=1 / 157_000,
            memory_tokens=881_075,
        ),
        860_000.0,
        0.25,
        0.0221,
    ),
}
