"""The deployments that are emulated: engines, load and prices."""

from __future__ import annotations

from dataclasses import dataclass

from benchmarks.emulation.engine import EngineModel
from benchmarks.emulation.load import BOOKING, SURVEY, Kind


@dataclass(frozen=True, slots=True)
class EmulatedDeployment:
    """One deployment.

    Attributes
    ----------
    throughput : float
        Tokens a second that the operators state.
    reread_price : float
        Price of 1,000 tokens of shared parts that are read again, in worth.
    """

    name: str
    kinds: tuple[Kind, ...]
    engines: int
    model: EngineModel
    throughput: float
    reread_price: float


#: Figures from the users' sheets of the two deployments.
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
}
